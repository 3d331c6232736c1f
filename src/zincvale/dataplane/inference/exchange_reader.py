"""Listener of one exchange with a back end, which turns its events into request-machine inputs."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from zincvale.dataplane.inference.backend_adapter import (
    MISMATCHED_RESPONSE,
    STATUS_OK,
    BackendAdapter,
    StreamReader,
)
from zincvale.dataplane.inference.events import Input, ServerFailed
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.transport.curl_exchange import ExchangeFailure
from zincvale.transport.curl_handle import MAX_BODY_BYTES


class RunningExchange(Protocol):
    """The part of `transport.curl_exchange.CurlExchange` that the request path uses."""

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have been sent."""
        ...

    def cancel(self) -> None:
        """Close the connection; the listener receives no more events."""
        ...

    def pause(self) -> None:
        """Stop delivering the body."""
        ...

    def resume(self) -> None:
        """Deliver the body again."""
        ...

    def close_connection(self) -> None:
        """Make sure that the connection is never reused."""
        ...


@attrs.define(eq=False)
class ExchangeReader:
    """Listener of one exchange (`transport.curl_exchange.ExchangeListener`)."""

    request: CallerRequest
    adapter: BackendAdapter
    feed: Callable[[Input], None]
    now: Callable[[], float]
    exchange: RunningExchange | None = None
    started_at: float = 0.0
    last_received_at: float = 0.0
    first_chunk_at: float | None = None
    status: int = 0
    is_stopped: bool = False
    _stream: StreamReader | None = None
    _body: list[bytes] = attrs.field(factory=list)
    _body_bytes: int = 0

    @property
    def first_chunk_s(self) -> float:
        """Seconds from the dispatch to a stream's first chunk; 0 when there is none."""
        return 0.0 if self.first_chunk_at is None else self.first_chunk_at - self.started_at

    def on_connected(self) -> None:
        """Do nothing: `exchange.sent` tells whether the request may have been sent."""

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """Record the status and detect whether the body is a stream."""
        self.status = status
        self.last_received_at = self.now()
        is_stream = headers.get("content-type", "").startswith("text/event-stream")
        if self.request.inference_request.stream and status == STATUS_OK and is_stream:
            self._stream = StreamReader()

    def on_body(self, data: bytes) -> None:
        """Parse the events of a stream, or collect the body of a complete response."""
        self.last_received_at = self.now()
        if self._stream is None:
            self._append_body(data)
            return
        if self.first_chunk_at is None:
            self.first_chunk_at = self.last_received_at
        for read in self._stream.feed(data):
            if self.is_stopped:
                return
            if isinstance(read, ServerFailed):
                self._fail(read)
                return
            self.feed(read)

    def on_done(self, body: bytes) -> None:
        """Read the complete response, or fail a stream that closed without its end event."""
        if self.is_stopped:
            return
        if self._stream is not None:
            if not self._stream.is_ended:
                self.feed(ServerFailed("the stream closed without its end event", sent=True))
            return
        reply = self.adapter.read_reply(self.request, self.status, body or b"".join(self._body))
        if isinstance(reply, ServerFailed) and self.exchange is not None:
            # Later responses on this connection could belong to other requests.
            self.exchange.close_connection()
        self.feed(reply)

    def on_failed(self, failure: ExchangeFailure) -> None:
        """Report the failure to the machine, unless the stream had already ended complete."""
        if self.is_stopped or (self._stream is not None and self._stream.is_ended):
            return
        self.feed(ServerFailed(failure.reason, failure.sent))

    def stop(self) -> None:
        """Close the connection; the machine receives no more inputs from this exchange."""
        self.is_stopped = True
        if self.exchange is not None:
            self.exchange.cancel()

    def _append_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(ServerFailed("the response is too large", sent=True))
            return
        self._body.append(data)

    def _fail(self, failure: ServerFailed) -> None:
        self.stop()
        self.feed(failure)


def is_mismatch(failure: ServerFailed) -> bool:
    """Whether the exchange failed because the response belongs to another request."""
    return failure.reason == MISMATCHED_RESPONSE
