"""One HTTP/1.1 connection to a server.

The connection is read also while it is idle, so that it is noticed when the server closes it or
sends bytes that were not requested. A connection that received anything unexpected is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable
from typing import cast

from zincvale.transport.response_reader import ResponseEnd, ResponseReader, UnreadableResponse
from zincvale.transport.server_exchange import OutgoingRequest, ResponseHead, ResponseListener

READ_BYTES = 65_536
"""Size of the read buffer."""
RESPONSE_START = b"HTTP/"
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)
LINE_BREAKS = re.compile(r"[\r\n\0]")
BODILESS_METHOD = "HEAD"
PROBE_IDLE_S = 2
"""Idle time after which TCP keep-alive probes are sent. With the two values below, an idle
connection to an unreachable peer fails within 4 s."""
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
UNACKNOWLEDGED_LIMIT_MS = 1_500
"""Time for which sent bytes may stay unacknowledged before the connection fails (TCP_USER_TIMEOUT).
Larger values delay the retry of requests after a machine lost its network."""

_read_buffer = memoryview(bytearray(READ_BYTES))
"""Read buffer shared by all connections: its content is parsed before anything else is read."""


class ServerConnection(asyncio.BufferedProtocol):
    """A connection that carries one exchange at a time.

    Parameters
    ----------
    on_idle : called when an exchange has ended and the connection can be used again.
    on_closed : called once, when the connection is closed.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_idle: Callable[[ServerConnection], None],
        on_closed: Callable[[ServerConnection], None],
    ) -> None:
        self._clock = clock
        self._on_idle = on_idle
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader()
        self._request: OutgoingRequest | None = None
        self._listener: ResponseListener | None = None
        self._is_own_response = False
        self._awaits_response = False
        """Whether nothing was received since the request was sent."""
        self._is_closed = False
        self._is_paused = False
        self.was_reset = False
        """Whether the server's side reset the connection, in place of closing it."""
        self.used = False
        self.idle_since = clock()
        self.keep_alive_s: float | None = None
        """How long the server keeps an idle connection open, according to its Keep-Alive header."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closed."""
        return not self._is_closed and self._transport is not None

    def send(self, request: OutgoingRequest, listener: ResponseListener) -> bool:
        """Send a request; return whether it was sent.

        Nothing is sent when the connection is closed or the head cannot be encoded. The listener is
        called only after this returns.
        """
        content = _encode(request)
        if content is None or self._transport is None or self._is_closed:
            return False
        self._request = request
        self._listener = listener
        self._is_own_response = False
        self._awaits_response = True
        self._reader.expect(has_body=request.method != BODILESS_METHOD)
        self._transport.write(content)
        self.used = True
        return True

    def pause(self) -> None:
        """Stop reading until `resume`, because the caller is slow."""
        if self._transport is not None and not self._is_closed:
            self._is_paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Continue reading."""
        if self._is_paused and self._transport is not None and not self._is_closed:
            self._is_paused = False
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection; the listener is not called any more."""
        self._listener = None
        self._request = None
        if self._is_closed:
            return
        self._is_closed = True
        self._reader.close()
        if self._transport is not None:
            # Unsent bytes must not reach the server after the request was cancelled.
            self._transport.abort()
        self._on_closed(self)

    # --- Callbacks of the event loop ---------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection."""
        self._transport = cast(asyncio.Transport, transport)
        if self._is_closed:
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 (asyncio's interface)
        """Return the buffer to read into."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read."""
        if self._is_closed:
            return
        if self._request is None:
            # The bytes belong to no request: a later request must not take them for its response.
            self.close()
            return
        self._parse(_read_buffer[:nbytes])

    def eof_received(self) -> bool:
        """Handle that the server closed its side of the connection."""
        self._end_of_stream("the server closed the connection", is_clean=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle that the connection was closed or failed."""
        self.was_reset = isinstance(exc, ConnectionResetError)
        reason = "the server closed the connection" if exc is None else repr(exc)
        self._end_of_stream(reason, is_clean=False)

    # --- Reading --------------------------------------------------------------------------

    def _end_of_stream(self, reason: str, *, is_clean: bool) -> None:
        if self._is_closed:
            return
        reader = self._reader
        if is_clean and reader.is_in_message and reader.ends_with_connection:
            self._handle_end(ResponseEnd.LAST, is_last_event=True, is_delimited=False)
        self._fail(reason)

    def _parse(self, data: memoryview) -> None:
        if self._awaits_response and not _may_begin_response(bytes(data[: len(RESPONSE_START)])):
            self._fail("not an HTTP response: it does not begin with HTTP/")
            return
        self._awaits_response = False
        events = self._reader.feed(data)
        last = len(events) - 1
        for index, event in enumerate(events):
            if self._request is None or self._is_closed:
                return
            if isinstance(event, bytes):
                if self._is_own_response and self._listener is not None:
                    self._listener.on_content(event)
            elif isinstance(event, ResponseHead):
                self._handle_head(event)
            elif isinstance(event, ResponseEnd):
                self._handle_end(event, is_last_event=index == last)
            elif isinstance(event, UnreadableResponse):
                self._fail(event.problem)

    def _handle_head(self, head: ResponseHead) -> None:
        headers = head.lower_case_headers()
        assert self._request is not None
        self._is_own_response = self._request.is_own_response(head.status, headers)
        limit = KEEP_ALIVE_TIMEOUT.search(headers.get("keep-alive", ""))
        if limit is not None:
            self.keep_alive_s = float(limit.group(1))
        if self._is_own_response and self._listener is not None:
            self._listener.on_head(head)

    def _handle_end(
        self, end: ResponseEnd, *, is_last_event: bool, is_delimited: bool = True
    ) -> None:
        if not self._is_own_response:
            # This is a late response to an earlier request; the one to this request may follow.
            if end is not ResponseEnd.REUSABLE:
                self._fail("the server sent the response to another request")
            return
        listener = self._listener
        self._listener = None
        self._request = None
        self._finish_exchange(end, is_last_event=is_last_event)
        if listener is not None:
            listener.on_complete(is_delimited=is_delimited)

    def _finish_exchange(self, end: ResponseEnd, *, is_last_event: bool) -> None:
        """Report the connection as idle, or close it if it cannot be reused.

        It cannot when the connection ends, more bytes were received, or the request was not
        completely sent.
        """
        is_clean = (
            end is ResponseEnd.REUSABLE
            and is_last_event
            and not self._reader.is_in_message
            and self._transport is not None
            and not self._transport.get_write_buffer_size()
            and not self._transport.is_closing()
        )
        if not is_clean or self._is_closed:
            self.close()
            return
        # The caller of this exchange may be slow, but the next response belongs to another one.
        self.resume()
        self.idle_since = self._clock()
        self._on_idle(self)

    def _fail(self, reason: str) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.on_broken(reason)


def _may_begin_response(start: bytes) -> bool:
    return RESPONSE_START.startswith(start)


def _encode(request: OutgoingRequest) -> bytes | None:
    """Return the encoded request, or None when its head contains a line break or null character."""
    headers = list(request.headers)
    if request.body is not None:
        headers.append(("Content-Length", str(len(request.body))))
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if LINE_BREAKS.search("".join(lines)):
        return None
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1", "replace") + (request.body or b"")


def set_socket_options(client_socket: socket.socket) -> None:
    """Disable Nagle's algorithm, and detect an unreachable peer.

    It is detected by unacknowledged bytes, or by keep-alive probes while the connection is idle.
    """
    client_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    ):
        with contextlib.suppress(OSError):
            client_socket.setsockopt(socket.IPPROTO_TCP, option, value)
