"""Listens to one exchange with a back end and feeds the request machine with what it proves."""

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
    """The part of `transport.curl_exchange.CurlExchange` that is used here."""

    @property
    def sent(self) -> bool:
        """Whether a byte of the request may have left."""
        ...

    def cancel(self) -> None:
        """Close the connection; nothing more is heard."""
        ...

    def pause(self) -> None:
        """Stop reading."""
        ...

    def resume(self) -> None:
        """Go on reading."""
        ...

    def close_connection(self) -> None:
        """Never use the connection again."""
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
    stopped: bool = False
    _stream: StreamReader | None = None
    _body: list[bytes] = attrs.field(factory=list)
    _body_bytes: int = 0

    @property
    def first_piece_s(self) -> float:
        """How long the first chunk took; 0 without one."""
        return 0.0 if self.first_chunk_at is None else self.first_chunk_at - self.started_at

    def on_connected(self) -> None:
        """Nothing to do: `exchange.sent` says it."""

    def on_headers(self, status: int, headers: Mapping[str, str]) -> None:
        """See whether the body is a stream."""
        self.status = status
        self.last_received_at = self.now()
        is_stream = headers.get("content-type", "").startswith("text/event-stream")
        if self.request.inference_request.stream and status == STATUS_OK and is_stream:
            self._stream = StreamReader()

    def on_body(self, data: bytes) -> None:
        """Read events, or collect the body of what turned out not to be a stream."""
        self.last_received_at = self.now()
        if self._stream is None:
            self._collect(data)
            return
        if self.first_chunk_at is None:
            self.first_chunk_at = self.last_received_at
        for read in self._stream.feed(data):
            if self.stopped:
                return
            if isinstance(read, ServerFailed):
                self._fail(read)
                return
            self.feed(read)

    def on_done(self, body: bytes) -> None:
        """Read the complete response, or see that a stream had its explicit end."""
        if self.stopped:
            return
        if self._stream is not None:
            if not self._stream.ended:
                self.feed(ServerFailed("the stream closed without its end", sent=True))
            return
        reply = self.adapter.read_reply(self.request, self.status, body or b"".join(self._body))
        if isinstance(reply, ServerFailed) and self.exchange is not None:
            # Whatever else comes on this connection cannot be trusted to be in step.
            self.exchange.close_connection()
        self.feed(reply)

    def on_failed(self, failure: ExchangeFailure) -> None:
        """Notify the machine, unless the stream had already ended complete."""
        if self.stopped or (self._stream is not None and self._stream.ended):
            return
        self.feed(ServerFailed(failure.reason, failure.sent))

    def stop(self) -> None:
        """Close the connection; the machine hears nothing more of this exchange."""
        self.stopped = True
        if self.exchange is not None:
            self.exchange.cancel()

    def _collect(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > MAX_BODY_BYTES:
            self._fail(ServerFailed("the answer is too large", sent=True))
            return
        self._body.append(data)

    def _fail(self, failure: ServerFailed) -> None:
        self.stop()
        self.feed(failure)


def is_mismatch(failure: ServerFailed) -> bool:
    """Whether a failure means that the response was another request's."""
    return failure.reason == MISMATCHED_RESPONSE
