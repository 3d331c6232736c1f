"""The callers' side over tornado's HTTP server, one level below its request handlers."""

from __future__ import annotations

import http.client
from typing import Any, Protocol

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
    """Takes whole requests; `dataplane.forwarding.service` is one."""

    @property
    def is_draining(self) -> bool:
        """Whether callers are asked to close their connections."""
        ...

    def now(self) -> float:
        """The node's clock, in seconds."""
        ...

    def take(self, incoming: IncomingRequest, sink: CallerSink) -> CallerHandle | None:
        """Begin a request, or answer it at once."""
        ...


class CallerHandle(Protocol):
    """A request under way."""

    def on_caller_disconnected(self) -> None:
        """The caller closed its connection."""
        ...


class CallerServer(HTTPServerConnectionDelegate):
    """Takes every request of every path."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        return _CallerMessage(self._handler, request_conn)


class _CallerMessage(HTTPMessageDelegate):
    """Receives one request and hands it over when it is whole."""

    def __init__(self, handler: RequestHandler, connection: Any) -> None:
        self._handler = handler
        self._connection = connection
        self._body: list[bytes] = []
        self._handle: CallerHandle | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the head."""
        assert isinstance(start_line, RequestStartLine)
        self._start_line = start_line
        self._headers = headers
        self._read_at = self._handler.now()

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body; the server bounds its size."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Hand the request over."""
        has_body = "Content-Length" in self._headers or "Transfer-Encoding" in self._headers
        incoming = IncomingRequest(
            self._start_line.method,
            self._start_line.path,
            list(self._headers.get_all()),
            b"".join(self._body) if has_body else None,
            self._read_at,
        )
        self._connection.set_close_callback(self._caller_left)
        self._handle = self._handler.take(
            incoming, _ConnectionSink(self._connection, self._handler)
        )

    def on_connection_close(self) -> None:
        """Forget a request that did not arrive whole."""
        self._caller_left()

    def _caller_left(self) -> None:
        if self._handle is not None:
            self._handle.on_caller_disconnected()


class _ConnectionSink:
    """A `CallerSink` over tornado's connection."""

    def __init__(self, connection: Any, handler: RequestHandler) -> None:
        self._connection = connection
        self._handler = handler
        self._unsent_bytes = 0
        self._is_open = True

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the caller has not taken yet."""
        return self._unsent_bytes

    def open(self, status: int, reason: str, headers: HeaderList) -> None:
        """Send the head of a server's answer."""
        head = HTTPHeaders()
        for name, value in headers:
            head.add(name, value)
        if self._handler.is_draining:
            head["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", status, reason or _reason(status))
        self._guard(lambda: self._connection.write_headers(line, head))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        self._unsent_bytes += len(data)
        future = self._guard(lambda: self._connection.write(data))
        if future is None:
            self._unsent_bytes -= len(data)
            return
        future.add_done_callback(lambda done: self._sent(len(data), done))

    def end(self) -> None:
        """Close the answer whole."""
        if self._is_open:
            self._guard(self._connection.finish)
        self._is_open = False

    def abort(self) -> None:
        """Break the connection."""
        self._is_open = False
        self._connection.close()

    def respond(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer of this node."""
        self.open(status, _reason(status), [*headers, ("Content-Length", str(len(body)))])
        self.write(body)
        self.end()

    def _sent(self, size: int, future: Any) -> None:
        self._unsent_bytes -= size
        future.exception()

    def _guard(self, action: Any) -> Any:
        """Run `action` unless the caller is gone; returns its future, if it has one."""
        if not self._is_open:
            return None
        try:
            future = action()
        except StreamClosedError:
            self._is_open = False
            return None
        if future is not None:
            future.add_done_callback(lambda done: done.exception())
        return future


def _reason(status: int) -> str:
    return http.client.responses.get(status, "Unknown")
