"""One HTTP/1.1 connection to a server.

The connection is read all the time, so that a server that closes it or sends what nobody asked for
is noticed while the connection rests. A connection on which anything unexpected arrived is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable
from typing import cast

from zincvale.transport.response_reader import AnswerEnd, AnswerReader, Unreadable
from zincvale.transport.server_exchange import AnswerHead, AnswerListener, OutgoingRequest

READ_BYTES = 65_536
ANSWER_START = b"HTTP/"
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)
LINE_BREAKS = re.compile(r"[\r\n\0]")
BODILESS_METHOD = "HEAD"
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
UNACKNOWLEDGED_LIMIT_MS = 1_500
"""Bytes that a peer does not acknowledge for so long end the connection."""

_received = memoryview(bytearray(READ_BYTES))
"""Shared by all connections: what is read into it is parsed before anything else is read."""


class ServerConnection(asyncio.BufferedProtocol):
    """A connected stream; carries one exchange at a time.

    Parameters
    ----------
    on_rest : called when an exchange ended and the connection can be used again.
    on_closed : called once, when the connection is gone.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_rest: Callable[[ServerConnection], None],
        on_closed: Callable[[ServerConnection], None],
    ) -> None:
        self._clock = clock
        self._on_rest = on_rest
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._reader = AnswerReader()
        self._request: OutgoingRequest | None = None
        self._listener: AnswerListener | None = None
        self._is_ours = False
        self._awaits_answer = False
        """Nothing was received since the request was sent."""
        self._is_closed = False
        self.used = False
        self.rests_since = clock()
        self.keep_alive_s: float | None = None
        """The server's own word on how long a resting connection lives."""

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return not self._is_closed and self._transport is not None

    def send(self, request: OutgoingRequest, listener: AnswerListener) -> bool:
        """Send a request; False when nothing left: the connection is gone, or the head is not one.

        The listener is called later, never from here.
        """
        content = _encode(request)
        if content is None or self._transport is None or self._is_closed:
            return False
        self._request = request
        self._listener = listener
        self._is_ours = False
        self._awaits_answer = True
        self._reader.expect(has_body=request.method != BODILESS_METHOD)
        self._transport.write(content)
        self.used = True
        return True

    def pause(self) -> None:
        """Read nothing more until `resume`: the caller is slow."""
        if self._transport is not None and not self._is_closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and not self._is_closed:
            self._transport.resume_reading()

    def close(self) -> None:
        """Close the connection; its listener is told nothing."""
        self._listener = None
        self._request = None
        if self._is_closed:
            return
        self._is_closed = True
        self._reader.close()
        if self._transport is not None:
            # What was not sent yet must not follow the caller's leaving.
            self._transport.abort()
        self._on_closed(self)

    # --- called by the event loop ---------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self._transport = cast(asyncio.Transport, transport)
        if self._is_closed:
            self._transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read into."""
        return _received

    def buffer_updated(self, nbytes: int) -> None:
        """Bytes were read."""
        if self._is_closed:
            return
        if self._request is None:
            # Bytes that no request asked for belong to nobody.
            self.close()
            return
        self._take(_received[:nbytes])

    def eof_received(self) -> bool:
        """The server will send nothing more."""
        self._end_of_stream("the server closed the connection", is_clean=True)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        reason = "the server closed the connection" if exc is None else repr(exc)
        self._end_of_stream(reason, is_clean=False)

    # --- reading --------------------------------------------------------------------------

    def _end_of_stream(self, reason: str, is_clean: bool) -> None:
        if self._is_closed:
            return
        reader = self._reader
        if is_clean and reader.is_within and reader.ends_with_connection:
            self._take_end(AnswerEnd.LAST, is_last_event=True)
        self._break(reason)

    def _take(self, data: memoryview) -> None:
        if self._awaits_answer and not _may_begin_answer(bytes(data[: len(ANSWER_START)])):
            self._break("not an answer: it begins with other bytes")
            return
        self._awaits_answer = False
        events = self._reader.feed(data)
        last = len(events) - 1
        for place, event in enumerate(events):
            if self._request is None or self._is_closed:
                return
            if isinstance(event, bytes):
                if self._is_ours and self._listener is not None:
                    self._listener.content(event)
            elif isinstance(event, AnswerHead):
                self._take_head(event)
            elif isinstance(event, AnswerEnd):
                self._take_end(event, is_last_event=place == last)
            elif isinstance(event, Unreadable):
                self._break(event.problem)

    def _take_head(self, head: AnswerHead) -> None:
        lowered = head.lowered()
        assert self._request is not None
        self._is_ours = self._request.belongs(head.status, lowered)
        limit = KEEP_ALIVE_TIMEOUT.search(lowered.get("keep-alive", ""))
        if limit is not None:
            self.keep_alive_s = float(limit.group(1))
        if self._is_ours and self._listener is not None:
            self._listener.head(head)

    def _take_end(self, end: AnswerEnd, is_last_event: bool) -> None:
        if not self._is_ours:
            # An answer to another request came in the place of ours: ours may follow.
            if end is not AnswerEnd.REUSABLE:
                self._break("an answer of another request")
            return
        listener = self._listener
        self._listener = None
        self._request = None
        self._finish_exchange(end, is_last_event)
        if listener is not None:
            listener.ended()

    def _finish_exchange(self, end: AnswerEnd, is_last_event: bool) -> None:
        """Rest, unless the stream ended, more than the answer came, or the request still leaves."""
        is_clean = (
            end is AnswerEnd.REUSABLE
            and is_last_event
            and not self._reader.is_within
            and self._transport is not None
            and not self._transport.get_write_buffer_size()
            and not self._transport.is_closing()
        )
        if not is_clean or self._is_closed:
            self.close()
            return
        self.rests_since = self._clock()
        self._on_rest(self)

    def _break(self, reason: str) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.broken(reason)


def _may_begin_answer(start: bytes) -> bool:
    return ANSWER_START.startswith(start)


def _encode(request: OutgoingRequest) -> bytes | None:
    """Return the request as it travels; None when a part of its head would end a line."""
    headers = list(request.headers)
    if request.body is not None:
        headers.append(("Content-Length", str(len(request.body))))
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if LINE_BREAKS.search("".join(lines)):
        return None
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1", "replace") + (request.body or b"")


def set_options(connected: socket.socket) -> None:
    """Have a peer noticed that went dark: with unread bytes soon, when silent by probes."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS),
    ):
        with contextlib.suppress(OSError):
            connected.setsockopt(socket.IPPROTO_TCP, option, value)
