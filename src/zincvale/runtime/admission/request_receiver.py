"""Receives requests of admitted connections, within the limits that are in force meanwhile."""

from __future__ import annotations

import http.client
from collections.abc import Awaitable
from typing import Any

import attrs
import orjson
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from zincvale.runtime.admission.admission import (
    BODY_COPIES,
    Admission,
    Refusal,
)
from zincvale.runtime.admission.budget import Reservation
from zincvale.runtime.admission.connections import Connection, Phase
from zincvale.runtime.admission.stream import AdmittedStream

TURN_BYTES = 64 * 1024
"""How much of a body of stated length is received in one turn."""
CHUNKED_TURN_BYTES = 8 * 1024
"""How much of a chunked body is received in one turn, since its framing costs processor time."""
SMALL_CHUNKS_TURN_BYTES = 512
"""The same for a body with more framing than content, each byte of which costs most."""
MAX_LENGTH_DIGITS = 18
"""A stated length with more digits is over every limit; Python does not read very long numbers."""
HEADER_SEPARATORS_BYTES = 4
"""Bytes that each header has besides its name and value."""
RETRY_AFTER_S = 0.5


@attrs.frozen
class RefusedRequest:
    """Why a request is refused that has not been passed on, and how its client is told."""

    reason: Refusal
    status: int
    problem: str
    remedy: str
    retry_after_s: float | None = None


NO_MEMORY = RefusedRequest(
    Refusal.MEMORY,
    503,
    "this process has no memory left for the request, which has not run",
    "send it again later, or to another process",
    RETRY_AFTER_S,
)
TOO_SLOW = RefusedRequest(
    Refusal.TIMEOUT,
    408,
    "the request was not received in time and has not run",
    "send the body without pauses",
)
BODY_TOO_LARGE = RefusedRequest(
    Refusal.TOO_LARGE, 413, "the body is larger than the limit", "send a smaller body"
)
HEADERS_TOO_LARGE = RefusedRequest(
    Refusal.TOO_LARGE, 431, "the headers are larger than the limit", "send fewer headers"
)


class RequestReceiver(HTTPMessageDelegate):
    """Receives one request, and passes it to `receiver` once it is complete.

    Until then the body is held here and can be given up, because nothing of it has run.
    """

    def __init__(
        self,
        admission: Admission,
        connection: Connection,
        request_connection: Any,
        receiver: HTTPMessageDelegate,
        request_bytes: int,
    ) -> None:
        self._admission = admission
        self._connection = connection
        self._request_connection = request_connection
        self._stream: AdmittedStream = request_connection.stream
        self._receiver = receiver
        self._request_bytes = request_bytes
        self._reservation = Reservation(admission.now, lambda: self.refuse(NO_MEMORY))
        self._body = bytearray()
        self._headers_bytes = 0
        """Counted only where the headers may be over the limit."""
        self._received_bytes = 0
        self._turns = 0
        self._is_turn_due = False
        self._is_chunked = False
        self._has_headers = False
        self._is_refused = False

    def on_received(self, size_bytes: int) -> None:
        """Count bytes of this request that were read from the socket."""
        self._received_bytes += size_bytes

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        """Refuse the request, or pass on its headers."""
        refusal = self._refusal_of_headers(headers)
        if refusal is not None:
            self.refuse(refusal)
            return None
        has_body = "Transfer-Encoding" in headers or headers.get("Content-Length", "0") != "0"
        if has_body:
            self._enter(Phase.BODY)
            self._is_chunked = "Transfer-Encoding" in headers
            self._begin_turn()
        self._has_headers = True
        return self._receiver.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a part of the body, or refuse the request."""
        if self._is_refused:
            self._end_refused()
            return None
        if len(self._body) + len(chunk) > self._connection.limits.current().max_body_bytes:
            self.refuse(self._unless_outdated(BODY_TOO_LARGE))
            return None
        if not self._reserve(BODY_COPIES * len(chunk)):
            self.refuse(NO_MEMORY)
            return None
        self._body += chunk
        return None

    def finish(self) -> None:
        """Pass on the complete request."""
        if self._is_refused:
            return
        self._reservation.revoke = None
        self._stream.allowance_bytes = None
        self._enter(Phase.RESPONSE)
        body, self._body = bytes(self._body), bytearray()
        if body:
            self._receiver.data_received(body)
        self._receiver.finish()

    def on_connection_close(self) -> None:
        """Drop what was received: the client closed its connection, or was refused."""
        self._body = bytearray()
        if self._has_headers:
            self._receiver.on_connection_close()

    def take_turn(self) -> None:
        """Wait until other requests have had their turns, and then receive the next part."""
        if self._is_turn_due:
            return
        self._is_turn_due = True
        self._turns += 1
        turn = self._admission.turns.wait(self._turns)
        if turn is None:
            self._begin_turn()
        else:
            turn.add_done_callback(lambda _done: self._begin_turn())

    def release(self) -> None:
        """Return the memory of the request: its response ended or its connection closed."""
        self._reservation.revoke = None
        self._admission.budget.release(self._reservation)

    def refuse(self, refusal: RefusedRequest) -> None:
        """Refuse the request, which has not been passed on, and close the connection."""
        if self._is_refused:
            return
        self._is_refused = True
        self._body = bytearray()
        self.release()
        self._admission.record(refusal.reason)
        self._respond(refusal)

    def _refusal_of_headers(self, headers: HTTPHeaders) -> RefusedRequest | None:
        limits = self._connection.limits.current()
        if self._received_bytes > limits.max_header_bytes:
            self._headers_bytes = sum(
                len(name) + len(value) + HEADER_SEPARATORS_BYTES
                for name, value in headers.get_all()
            )
        if self._headers_bytes > limits.max_header_bytes:
            return self._unless_outdated(HEADERS_TOO_LARGE)
        if _announces_more(headers.get("Content-Length", ""), limits.max_body_bytes):
            return self._unless_outdated(BODY_TOO_LARGE)
        return None if self._reserve(self._request_bytes) else NO_MEMORY

    def _unless_outdated(self, refusal: RefusedRequest) -> RefusedRequest:
        """Return `refusal`, or one that allows a retry while newer limits may be in force."""
        if self._connection.limits.are_certain():
            return refusal
        return attrs.evolve(refusal, status=503, retry_after_s=RETRY_AFTER_S)

    def _reserve(self, size_bytes: int) -> bool:
        admission = self._admission
        return admission.budget.grow(self._reservation, size_bytes, admission.now)

    def _enter(self, phase: Phase) -> None:
        self._admission.connections.enter(self._connection, phase, self._admission.now)

    def _begin_turn(self) -> None:
        """Allow the stream to read the next part of the body."""
        self._is_turn_due = False
        if self._connection.phase is not Phase.BODY:
            return
        self._stream.allowance_bytes = self._turn_bytes()

    def _turn_bytes(self) -> int:
        if not self._is_chunked:
            return TURN_BYTES
        framed_bytes = self._received_bytes - self._headers_bytes
        has_small_chunks = framed_bytes > 2 * (len(self._body) + CHUNKED_TURN_BYTES)
        return SMALL_CHUNKS_TURN_BYTES if has_small_chunks else CHUNKED_TURN_BYTES

    def _end_refused(self) -> None:
        """End the reading of a refused body whose connection is closed."""
        if self._stream.closed():
            raise HTTPInputError("the request was refused")

    def _respond(self, refusal: RefusedRequest) -> None:
        body = orjson.dumps({"problem": refusal.problem, "remedy": refusal.remedy})
        headers = HTTPHeaders(
            {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
                "Connection": "close",
            }
        )
        if refusal.retry_after_s is not None:
            headers["Retry-After"] = f"{refusal.retry_after_s:.2f}"
        reason = http.client.responses[refusal.status]
        line = ResponseStartLine("HTTP/1.1", refusal.status, reason)
        self._stream.closes_late = True
        try:
            written = self._request_connection.write_headers(line, headers, body)
            written.add_done_callback(lambda done: done.exception())
            self._request_connection.finish()
        except StreamClosedError:
            """The client has left."""


def _announces_more(length: str, limit_bytes: int) -> bool:
    """Whether a `Content-Length` is over a limit; an invalid one is left to the HTTP server."""
    if not length.isdecimal():
        return False
    return len(length) > MAX_LENGTH_DIGITS or int(length) > limit_bytes
