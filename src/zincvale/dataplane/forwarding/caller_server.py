"""The caller side of forwarding: a delegate of tornado's HTTP server, without request handlers.

The native request path has its own delegate (`inference.caller_connection`). The two are not
merged: this one relays the headers of callers and servers in their order and spelling and writes
any framing, while the other implements the product's own protocol with its outcomes.
"""

from __future__ import annotations

import http.client
from collections.abc import Callable
from typing import Any, Protocol

from tornado.concurrent import Future
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from zincvale.dataplane.forwarding.caller_sink import CallerSink, IncomingRequest
from zincvale.transport.server_exchange import HeaderList


class RequestHandler(Protocol):
    """Handles complete requests; `forwarding.service.ForwardingService` implements it."""

    @property
    def is_draining(self) -> bool:
        """Whether responses ask callers to close their connections."""
        ...

    def now(self) -> float:
        """Return the present time on the node's clock, in seconds."""
        ...

    def handle_request(self, incoming: IncomingRequest, sink: CallerSink) -> CallerHandle | None:
        """Begin a request or respond to it at once; returns None when nothing is left to cancel."""
        ...


class CallerHandle(Protocol):
    """A request that has not ended and must be told when its caller disconnects."""

    def on_caller_disconnected(self) -> None:
        """End the request: the caller closed its connection."""
        ...


class CallerServer(HTTPServerConnectionDelegate):
    """Passes the requests of all paths to one handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        return _CallerRequestReceiver(self._handler, request_conn)


class _CallerRequestReceiver(HTTPMessageDelegate):
    """Receives one request and passes it to the handler when it is complete."""

    def __init__(self, handler: RequestHandler, connection: Any) -> None:
        self._handler = handler
        self._connection = connection
        self._body: list[bytes] = []
        self._handle: CallerHandle | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the request line and the headers."""
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._read_at = self._handler.now()

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body; the HTTP server limits the size of the whole."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Handle the complete request."""
        has_body = "Content-Length" in self._headers or "Transfer-Encoding" in self._headers
        incoming = IncomingRequest(
            self._start_line.method,
            self._start_line.path,
            list(self._headers.get_all()),
            b"".join(self._body) if has_body else None,
            self._read_at,
        )
        self._connection.set_close_callback(self._notify_disconnected)
        self._handle = self._handler.handle_request(
            incoming, _ConnectionSink(self._connection, self._handler)
        )

    def on_connection_close(self) -> None:
        """Notify the request, if one has begun, that its connection was closed."""
        self._notify_disconnected()

    def _notify_disconnected(self) -> None:
        if self._handle is not None:
            self._handle.on_caller_disconnected()


class _ConnectionSink:
    """Implements `CallerSink` with a connection of tornado."""

    def __init__(self, connection: Any, handler: RequestHandler) -> None:
        self._connection = connection
        self._handler = handler
        self._is_open = True

    @property
    def unsent_bytes(self) -> int:
        """Bytes that were written and not yet sent to the caller.

        The futures of tornado's `HTTPConnection.write` do not tell: only the newest one ends.
        """
        stream = self._connection.stream
        if stream is None or stream.closed():
            return 0
        unsent: int = stream.unsent_bytes
        return unsent

    def open(self, status: int, reason: str, headers: HeaderList) -> None:
        """Send the status and headers of a server's response."""
        head = HTTPHeaders()
        for name, value in headers:
            head.add(name, value)
        if self._handler.is_draining:
            head["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason or _reason_phrase(status))
        self._run_unless_closed(lambda: self._connection.write_headers(line, head))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._run_unless_closed(lambda: self._connection.write(data))

    def end(self) -> None:
        """End the complete response."""
        if self._is_open:
            self._run_unless_closed(self._connection.finish)
        self._is_open = False

    def abort(self) -> None:
        """Close the connection without ending the response."""
        self._is_open = False
        self._connection.close()

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response that this node made itself."""
        self.open(status, _reason_phrase(status), [*headers, ("Content-Length", str(len(body)))])
        self.write(body)
        self.end()

    def _run_unless_closed(self, action: Callable[[], Future[None] | None]) -> None:
        """Run `action` unless the connection is closed."""
        if not self._is_open:
            return
        try:
            future = action()
        except StreamClosedError:
            self._is_open = False
            return
        if future is not None:
            future.add_done_callback(lambda done: done.exception())


def _reason_phrase(status: int) -> str:
    return http.client.responses.get(status, "Unknown")
