"""Encodes requests for back ends and determines from a response whether the request ran.

This module has the protocols of language models and lookup services; each other protocol needs a
`BackendAdapter` of its own. A request may have run unless the response proves the opposite: only a
4xx or 503 whose body says `"ran": false` is a refusal.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol
from urllib.parse import urlencode

import attrs
import orjson

from zincvale.dataplane.http.event_reader import EventReader, EventTooLargeError, ServerSentEvent
from zincvale.dataplane.inference.events import (
    ChunksReceived,
    ResponseReceived,
    ServerFailed,
    ServerRefused,
    StreamEnded,
)
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.identifiers import Address
from zincvale.model.resources import PoolKind
from zincvale.transport.curl_exchange import ClientRequest

STATUS_OK = 200
MIN_REFUSAL_STATUS = 400
MAX_REFUSAL_STATUS = 499
STATUS_UNAVAILABLE = 503
JSON_HEADERS = ("Content-Type: application/json",)
EXCHANGE_END_BY_ERROR = {
    "overloaded": ExchangeEnd.OVERLOADED,
    "cold": ExchangeEnd.COLD,
    "rate": ExchangeEnd.RATE_LIMITED,
    "not-resident": ExchangeEnd.NOT_RESIDENT,
}
FINAL_ERRORS = frozenset({"too-large", "malformed", "invalid"})
"""Error codes with which every server would refuse the same request, so it is not retried."""

Reply = ResponseReceived | ServerRefused | ServerFailed
StreamInput = ChunksReceived | StreamEnded | ServerFailed


class BackendAdapter(Protocol):
    """Encodes requests for one kind of back end and interprets its responses."""

    def build(
        self, request: CallerRequest, address: Address, prefix: tuple[str, ...]
    ) -> ClientRequest:
        """Return the HTTP request to send; a stream continues after the chunks of `prefix`."""
        ...

    def read_reply(self, request: CallerRequest, status: int, body: bytes) -> Reply:
        """Classify a complete HTTP response as a successful response, a refusal or a failure."""
        ...


@attrs.frozen
class LanguageModelAdapter:
    """Protocol of language models: requests are sent by `POST /v1/generate`."""

    def build(
        self, request: CallerRequest, address: Address, prefix: tuple[str, ...]
    ) -> ClientRequest:
        """Return the generation request, which continues after `prefix`."""
        inference_request = request.inference_request
        body = orjson.dumps(
            {
                "request_id": request.request_id,
                "model": inference_request.model,
                "adapter": inference_request.adapter,
                "prompt": inference_request.prompt,
                "max_tokens": inference_request.max_tokens,
                "stream": inference_request.stream,
                "prefix": list(prefix),
            }
        )
        return ClientRequest(
            address, "/v1/generate", body, JSON_HEADERS, streaming=inference_request.stream
        )

    def read_reply(self, request: CallerRequest, status: int, body: bytes) -> Reply:
        """Classify a complete HTTP response as a successful response, a refusal or a failure."""
        return _read_reply(request, status, body, units_field="tokens")


@attrs.frozen
class LookupAdapter:
    """Protocol of lookup services: requests are sent by `GET /v1/lookup`."""

    def build(
        self, request: CallerRequest, address: Address, prefix: tuple[str, ...]
    ) -> ClientRequest:
        """Return the lookup request; `prefix` is ignored, because lookups do not stream."""
        query = urlencode({"key": request.inference_request.key, "request_id": request.request_id})
        return ClientRequest(address, f"/v1/lookup?{query}")

    def read_reply(self, request: CallerRequest, status: int, body: bytes) -> Reply:
        """Classify a complete HTTP response as a successful response, a refusal or a failure."""
        return _read_reply(request, status, body, units_field="")


ADAPTER_BY_KIND: Mapping[PoolKind, BackendAdapter] = {
    PoolKind.LANGUAGE_MODEL: LanguageModelAdapter(),
    PoolKind.LOOKUP: LookupAdapter(),
}


@attrs.define
class StreamReader:
    """Parses the body of a generation stream into inputs of the request machine."""

    _events: EventReader = attrs.field(factory=EventReader)
    is_ended: bool = False

    def feed(self, data: bytes) -> list[StreamInput]:
        """Return the inputs that `data` completes; consecutive chunks are merged into one."""
        try:
            events = self._events.feed(data)
        except EventTooLargeError:
            return [ServerFailed("an event of the stream is too large", sent=True)]
        inputs: list[StreamInput] = []
        for event in events:
            self._append_event(event, inputs)
        return inputs

    def _append_event(self, event: ServerSentEvent, inputs: list[StreamInput]) -> None:
        if self.is_ended:
            inputs.append(ServerFailed("received an event after the end of the stream", sent=True))
            return
        read = _read_event(event)
        self.is_ended = isinstance(read, StreamEnded)
        last = inputs[-1] if inputs else None
        if (
            isinstance(last, ChunksReceived)
            and isinstance(read, ChunksReceived)
            and read.first_index == last.first_index + len(last.chunks)
        ):
            last.chunks.extend(read.chunks)
        else:
            inputs.append(read)


def _read_event(event: ServerSentEvent) -> StreamInput:
    try:
        data = orjson.loads(event.data)
        if event.name == "end":
            return StreamEnded(int(data["count"]))
        if event.name == "" and event.number is not None and isinstance(data["text"], str):
            return ChunksReceived(event.number, [data["text"]])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        pass
    return ServerFailed(f"unreadable event {event.name or event.number!r}", sent=True)


def _read_reply(request: CallerRequest, status: int, body: bytes, units_field: str) -> Reply:
    try:
        data: Any = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ServerFailed(f"status {status} with a body that is not complete JSON", sent=True)
    if not isinstance(data, dict):
        return ServerFailed(f"status {status} with a body that is not a JSON object", sent=True)
    if status == STATUS_OK:
        return _read_response(request, data, body, units_field)
    if data.get("ran") is False and _is_refusal_status(status):
        return _read_refusal(request, data)
    return ServerFailed(f"status {status} without proof that the request did not run", sent=True)


def _read_response(
    request: CallerRequest, data: dict[str, Any], body: bytes, units_field: str
) -> Reply:
    if data.get("request_id") != request.request_id:
        return ServerFailed(MISMATCHED_RESPONSE, sent=True)
    units = data.get(units_field, 1)
    return ResponseReceived(body, units if isinstance(units, int) else 1)


MISMATCHED_RESPONSE = "the response belongs to another request"


def _read_refusal(request: CallerRequest, data: dict[str, Any]) -> Reply:
    named_request_id = data.get("request_id", request.request_id)
    if named_request_id != request.request_id:
        return ServerFailed(MISMATCHED_RESPONSE, sent=True)
    error = str(data.get("error", "refused"))
    end = EXCHANGE_END_BY_ERROR.get(error, ExchangeEnd.REFUSED)
    missing: tuple[str, ...] = ()
    if end is ExchangeEnd.NOT_RESIDENT:
        inference_request = request.inference_request
        missing = (inference_request.adapter or inference_request.model,)
    return ServerRefused(end, error, missing, final=error in FINAL_ERRORS)


def _is_refusal_status(status: int) -> bool:
    is_client_error = MIN_REFUSAL_STATUS <= status <= MAX_REFUSAL_STATUS
    return is_client_error or status == STATUS_UNAVAILABLE
