"""An HTTP server that accepts connections and requests within the limits of the process."""

from __future__ import annotations

import contextlib
import errno
import socket
import sys
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate, HTTPServerConnectionDelegate
from tornado.ioloop import IOLoop
from tornado.web import Application

from zincvale.runtime.admission.admission import REQUEST_BYTES, Admission, Refusal
from zincvale.runtime.admission.budget import Reservation
from zincvale.runtime.admission.connections import Connection, Phase
from zincvale.runtime.admission.limits import CONNECTION_BYTES, ListenerLimits
from zincvale.runtime.admission.request_receiver import TOO_SLOW, RequestReceiver
from zincvale.runtime.admission.stream import AdmittedStream

RECEIVE_BUFFER_BYTES = 32 * 1024
"""What the kernel holds of a connection that is not read; the kernel doubles the number."""
REQUEST_LINE_BYTES = 8 * 1024
"""Longest request line; the operators' limit is for the headers."""
ACCEPTS_PER_TURN = 64
ACCEPT_PAUSE_S = 0.1
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors that mean that the process or the machine has no descriptor or memory left."""
_NO_BODY_AND_CLOSE = b"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
HEADERS_TOO_LARGE_RESPONSE = b"HTTP/1.1 431 Request Header Fields Too Large" + _NO_BODY_AND_CLOSE
MALFORMED_RESPONSE = b"HTTP/1.1 400 Bad Request" + _NO_BODY_AND_CLOSE


@attrs.define(eq=False, kw_only=True)
class _AdmittedConnection(Connection):
    """A connection with its stream, whose `StreamObserver` it is."""

    admission: Admission
    stream: AdmittedStream
    unsent_connections: set[Connection]
    """Connections of the same server whose clients have not read everything; shared by them."""
    receiver: RequestReceiver | None = None
    headers: Reservation | None = None
    unsent: Reservation | None = None
    headers_bytes: int = 0

    def on_received(self, size_bytes: int) -> None:
        """Count received bytes; headers beyond the usual ones reserve memory."""
        if self.phase is Phase.IDLE:
            self.admission.update_now()
            self.admission.connections.enter(self, Phase.HEADERS, self.admission.now)
        if self.phase is Phase.HEADERS:
            self._on_headers_received(size_bytes)
        if self.receiver is not None:
            self.receiver.on_received(size_bytes)

    def on_allowance_spent(self) -> None:
        """Let the request wait for its next turn to be received."""
        if self.receiver is not None:
            self.receiver.take_turn()

    def on_unsent_changed(self, unsent_bytes: int) -> None:
        """Reserve memory for the part of a response that its client has not read."""
        now = self.admission.update_now()
        if unsent_bytes:
            self.unsent_connections.add(self)
        else:
            self.unsent_connections.discard(self)
        if self.unsent is None:
            self.unsent = Reservation(now, self.stream.close)
        growth = unsent_bytes - self.unsent.size_bytes
        if not unsent_bytes:
            self.stalled_since = None
        elif growth < 0 or self.stalled_since is None:
            self.stalled_since = now
        if growth < 0:
            self.admission.budget.shrink(self.unsent, -growth)
        elif not self.admission.budget.grow(self.unsent, growth, now):
            self.admission.record(Refusal.MEMORY)
            IOLoop.current().add_callback(self.stream.close)
        if not unsent_bytes:
            self.unsent = None

    def last_response(self) -> bytes:
        """Return what a client gets whose headers, or the line before a chunk, are too long."""
        is_body = self.phase is Phase.BODY
        return MALFORMED_RESPONSE if is_body else HEADERS_TOO_LARGE_RESPONSE

    def begin_request(self, receiver: RequestReceiver) -> None:
        """Receive the next request; the one before has ended."""
        self.end_request()
        self.receiver = receiver
        self.stream.allowance_bytes = None
        self.admission.connections.enter(self, Phase.IDLE, self.admission.now)

    def end_request(self) -> None:
        """Return the memory of the request that has ended."""
        if self.receiver is None:
            return
        self.receiver.release()
        self.has_served = self.phase is Phase.RESPONSE
        self.receiver = None
        self._release_headers()

    def close(self) -> None:
        """Close the connection; a request that is not complete is refused first."""
        if self.phase is Phase.BODY and self.receiver is not None:
            self.receiver.refuse(TOO_SLOW)
        self.stream.close()

    def on_closed(self) -> None:
        """Return everything that the connection held."""
        self.end_request()
        self._release_headers()
        if self.unsent is not None:
            self.admission.budget.release(self.unsent)
        self.unsent_connections.discard(self)
        self.admission.connections.remove(self)
        self.stream.observer = None

    def _on_headers_received(self, size_bytes: int) -> None:
        self.headers_bytes += size_bytes
        if self.headers_bytes <= CONNECTION_BYTES:
            return
        now = self.admission.now
        if self.headers is None:
            self.headers = Reservation(now, self.stream.close)
        if not self.admission.budget.grow(self.headers, size_bytes, now):
            self.admission.record(Refusal.MEMORY)
            IOLoop.current().add_callback(self.stream.close)

    def _release_headers(self) -> None:
        self.headers_bytes = 0
        if self.headers is not None:
            self.admission.budget.release(self.headers)
            self.headers = None


class AdmittingServer(HTTPServer):
    """Serves one listener; `admission` is shared with the other listeners of the process."""

    def initialize(  # type: ignore[override]
        self,
        application: Application | HTTPServerConnectionDelegate,
        admission: Admission,
        limits: ListenerLimits,
        *,
        expands_bodies: bool = False,
        request_bytes: int = REQUEST_BYTES,
    ) -> None:
        """Set what tornado's constructor passes on; the receiver enforces the limits of bodies."""
        self._admission = admission
        self._limits = limits
        self._request_bytes = request_bytes
        self._listeners: list[socket.socket] = []
        self._unsent_connections: set[Connection] = set()
        super().initialize(
            application,
            decompress_request=expands_bodies,
            max_header_size=self._max_header_bytes(),
            max_body_size=sys.maxsize,
        )
        # The admission closes connections that take too long, without a timer for each request.
        self.conn_params.header_timeout = None

    def serve(self, listeners: list[socket.socket]) -> None:
        """Accept connections at bound sockets."""
        self._admission.start()
        for listener in listeners:
            with contextlib.suppress(OSError):
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._listeners.append(listener)
            self._watch(listener)

    def stop(self) -> None:
        """Stop accepting connections."""
        for listener in self._listeners:
            IOLoop.current().remove_handler(listener)
            listener.close()
        self._listeners.clear()

    @property
    def has_unsent_responses(self) -> bool:
        """Whether a client has not read everything that was written to it."""
        return bool(self._unsent_connections)

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        """Return the receiver of the next request of a connection."""
        admitted = request_conn.stream.observer
        # Tornado reads this for each request, and the operators may have changed the limit.
        self.conn_params.max_header_size = self._max_header_bytes()
        inner = super().start_request(server_conn, request_conn)
        receiver = RequestReceiver(
            self._admission, admitted, request_conn, inner, self._request_bytes
        )
        admitted.begin_request(receiver)
        return receiver

    def on_close(self, server_conn: object) -> None:
        """Return what a closed connection held."""
        super().on_close(server_conn)
        server_conn.stream.observer.on_closed()  # type: ignore[attr-defined]

    def _max_header_bytes(self) -> int:
        return self._limits.current().max_header_bytes + REQUEST_LINE_BYTES

    def _watch(self, listener: socket.socket) -> None:
        if listener in self._listeners:
            IOLoop.current().add_handler(listener, self._accept, IOLoop.READ)

    def _accept(self, listener: Any, _events: int) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, address = listener.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                if error.errno not in EXHAUSTED:
                    raise
                self._pause(listener)
                return
            self._admit(connection, address)

    def _pause(self, listener: socket.socket) -> None:
        """Close a connection and accept again later: the process has no descriptor left."""
        self._admission.replace_one(Refusal.DESCRIPTORS)
        loop = IOLoop.current()
        loop.remove_handler(listener)
        loop.call_later(ACCEPT_PAUSE_S, self._watch, listener)

    def _admit(self, connection: socket.socket, address: Any) -> None:
        admission = self._admission
        admission.update_now()
        if not admission.make_room():
            connection.close()
            return
        stream = AdmittedStream(connection, admission.close_late)
        admitted = _AdmittedConnection(
            limits=self._limits,
            phase_since=admission.now,
            admission=admission,
            stream=stream,
            unsent_connections=self._unsent_connections,
        )
        stream.observer = admitted
        admission.connections.add(admitted)
        self.handle_stream(stream, address)
