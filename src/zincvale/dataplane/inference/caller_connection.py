"""The caller's side over tornado's HTTP server, one level below its request handlers.

Requests of callers make up nearly all of a node's work; speaking to the server's connection
directly costs a third less processor time than a `RequestHandler` does.
"""

from __future__ import annotations

import http.client
import time
from typing import Any

import attrs
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    format_timestamp,
)
from tornado.iostream import StreamClosedError

from zincvale.dataplane import log_events
from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.ingress import RequestIngress
from zincvale.dataplane.inference.runner import RequestRunner
from zincvale.dataplane.inference.stream_relay import CallerLostError
from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import RequestId
from zincvale.model.outcomes import REQUEST_ID_HEADER


class CallerConnections(HTTPServerConnectionDelegate):
    """Target of a routing rule: takes the requests of callers, whatever their path."""

    def __init__(self, ingress: RequestIngress) -> None:
        self._ingress = ingress

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        return CallerMessage(self._ingress, request_conn)


class CallerMessage(HTTPMessageDelegate):
    """Receives one request and hands it over when it is complete."""

    def __init__(self, ingress: RequestIngress, connection: Any) -> None:
        self._ingress = ingress
        self._connection = connection
        self._body: list[bytes] = []
        self._runner: RequestRunner | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the head."""
        assert isinstance(start_line, RequestStartLine)
        self._method = start_line.method
        self._path = start_line.path.partition("?")[0]
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body; the server bounds its size."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Begin the request."""
        sink = ConnectionSink(self._connection, self._ingress)
        self._connection.set_close_callback(self._on_caller_disconnected)
        try:
            if self._method != "POST":
                self._refuse_method(sink)
                return
            body = b"".join(self._body)
            self._runner = self._ingress.begin(self._path, self._headers, body, sink)
        except Exception as error:  # a defect must not leave the caller without response
            self._end_by_defect(sink, error)

    def on_connection_close(self) -> None:
        """Forget a request that did not arrive completely; nothing was begun."""
        self._on_caller_disconnected()

    def _on_caller_disconnected(self) -> None:
        if self._runner is not None:
            self._runner.on_caller_lost()

    def _refuse_method(self, sink: ConnectionSink) -> None:
        error = MalformedBodyError(f"{self._method} is not taken here", "send a POST")
        response = responses.malformed(self._request_id(), error)
        sink.send_response(response.status, dict(response.headers), response.body)

    def _end_by_defect(self, sink: ConnectionSink, error: Exception) -> None:
        log = self._ingress.context.log
        log(log_events.REQUEST_DEFECT, request_id=self._request_id(), error=repr(error))
        response = responses.unknown(self._request_id(), "a defect of this node")
        sink.send_response(response.status, dict(response.headers), response.body)

    def _request_id(self) -> RequestId:
        return RequestId(self._headers.get(REQUEST_ID_HEADER, ""))


@attrs.define(eq=False)
class ConnectionSink:
    """The caller's side of one request (`stream_relay.CallerSink`) over its connection."""

    connection: Any
    ingress: RequestIngress
    begun: bool = False
    _waiting_head: HTTPHeaders | None = None

    def send_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete response."""
        if self.begun:
            return
        self.begun = True
        headers["Content-Length"] = str(len(body))
        self.connection.write_headers(_start_line(status), self._head(headers), body)
        self.connection.finish()

    def open_stream(self, headers: dict[str, str]) -> None:
        """Prepare the head of an event stream; it leaves with the first event."""
        self.begun = True
        self._waiting_head = self._head(headers)

    async def write(self, data: bytes) -> None:
        """Write and wait until the connection takes more."""
        head, self._waiting_head = self._waiting_head, None
        try:
            if head is None:
                await self.connection.write(data)
            else:
                await self.connection.write_headers(_start_line(http.client.OK), head, data)
        except StreamClosedError:
            raise CallerLostError from None

    async def end(self) -> None:
        """Close the response as complete."""
        try:
            self.connection.finish()
        except StreamClosedError:
            raise CallerLostError from None

    def cut(self) -> None:
        """Cut the connection without the closing chunk."""
        self.connection.close()

    def _head(self, headers: dict[str, str]) -> HTTPHeaders:
        head = HTTPHeaders()
        for name, value in headers.items():
            head[name] = value
        head["Date"] = _DATE.now()
        if self.ingress.draining:
            head["Connection"] = "close"
        return head


@attrs.define
class _Date:
    """The `Date` header, written once a second."""

    _second: int = 0
    _text: str = ""

    def now(self) -> str:
        second = int(time.time())
        if second != self._second:
            self._second = second
            self._text = format_timestamp(second)
        return self._text


_DATE = _Date()


def _start_line(status: int) -> ResponseStartLine:
    return ResponseStartLine("HTTP/1.1", status, http.client.responses.get(status, "Unknown"))
