"""Callers' connections on tornado's HTTP server, one level below its request handlers.

Callers' requests are nearly all of a node's work, and using the server's connection directly takes
a third less processor time than a `RequestHandler`.
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
from zincvale.dataplane.inference.stream_relay import CallerDisconnectedError
from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import RequestId
from zincvale.model.outcomes import REQUEST_ID_HEADER


class CallerConnections(HTTPServerConnectionDelegate):
    """Target of a routing rule: accepts the requests of callers on any path."""

    def __init__(self, ingress: RequestIngress) -> None:
        self._ingress = ingress

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of one request."""
        return CallerMessage(self._ingress, request_conn)


class CallerMessage(HTTPMessageDelegate):
    """Receives one request and passes it to the ingress when it is complete."""

    def __init__(self, ingress: RequestIngress, connection: Any) -> None:
        self._ingress = ingress
        self._connection = connection
        self._body: list[bytes] = []
        self._runner: RequestRunner | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the method, path and headers."""
        assert isinstance(start_line, RequestStartLine)
        self._method = start_line.method
        self._path = start_line.path.partition("?")[0]
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body, whose size the HTTP server limits."""
        self._body.append(chunk)

    def finish(self) -> None:
        """Start the completely received request."""
        sink = ConnectionSink(self._connection, self._ingress)
        self._connection.set_close_callback(self._on_caller_disconnected)
        try:
            if self._method != "POST":
                self._refuse_method(sink)
                return
            body = b"".join(self._body)
            self._runner = self._ingress.begin(self._path, self._headers, body, sink)
        except Exception as error:  # a bug must not leave the caller without a response
            self._respond_to_defect(sink, error)

    def on_connection_close(self) -> None:
        """Handle that the caller disconnected before its request was completely received."""
        self._on_caller_disconnected()

    def _on_caller_disconnected(self) -> None:
        if self._runner is not None:
            self._runner.on_caller_disconnected()

    def _refuse_method(self, sink: ConnectionSink) -> None:
        error = MalformedBodyError(f"{self._method} requests are not supported", "send a POST")
        response = responses.malformed(self._request_id(), error)
        sink.send_response(response.status, dict(response.headers), response.body)

    def _respond_to_defect(self, sink: ConnectionSink, error: Exception) -> None:
        log = self._ingress.context.log
        log(log_events.REQUEST_DEFECT, request_id=self._request_id(), error=repr(error))
        response = responses.unknown(self._request_id(), "internal error of this node")
        sink.send_response(response.status, dict(response.headers), response.body)

    def _request_id(self) -> RequestId:
        return RequestId(self._headers.get(REQUEST_ID_HEADER, ""))


@attrs.define(eq=False)
class ConnectionSink:
    """The caller's side of one request (`stream_relay.CallerSink`) over its connection."""

    connection: Any
    ingress: RequestIngress
    is_response_started: bool = False
    _unsent_head: HTTPHeaders | None = None

    def send_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete response."""
        if self.is_response_started:
            return
        self.is_response_started = True
        headers["Content-Length"] = str(len(body))
        self.connection.write_headers(_start_line(status), self._make_head(headers), body)
        self.connection.finish()

    def open_stream(self, headers: dict[str, str]) -> None:
        """Prepare the response head of an event stream, which is sent with the first event."""
        self.is_response_started = True
        self._unsent_head = self._make_head(headers)

    async def write(self, data: bytes) -> None:
        """Write and wait until the connection accepts more data."""
        head, self._unsent_head = self._unsent_head, None
        try:
            if head is None:
                await self.connection.write(data)
            else:
                await self.connection.write_headers(_start_line(http.client.OK), head, data)
        except StreamClosedError:
            raise CallerDisconnectedError from None

    async def end(self) -> None:
        """Close the response as complete."""
        try:
            self.connection.finish()
        except StreamClosedError:
            raise CallerDisconnectedError from None

    def cut(self) -> None:
        """Close the connection without the final HTTP chunk."""
        self.connection.close()

    def _make_head(self, headers: dict[str, str]) -> HTTPHeaders:
        head = HTTPHeaders()
        for name, value in headers.items():
            head[name] = value
        head["Date"] = _DATE_HEADER.value()
        if self.ingress.is_draining:
            head["Connection"] = "close"
        return head


@attrs.define
class _DateHeader:
    """The value of the `Date` header, formatted once a second."""

    _second: int = 0
    _text: str = ""

    def value(self) -> str:
        second = int(time.time())
        if second != self._second:
            self._second = second
            self._text = format_timestamp(second)
        return self._text


_DATE_HEADER = _DateHeader()


def _start_line(status: int) -> ResponseStartLine:
    return ResponseStartLine("HTTP/1.1", status, http.client.responses.get(status, "Unknown"))
