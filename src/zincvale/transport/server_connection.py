"""One HTTP/1.1 connection to a server: framing by h11, bytes by tornado's stream.

The connection is read all the time, so that a server that closes it or sends what nobody asked for
is noticed while the connection rests. A connection on which anything unexpected arrived is closed.
"""

from __future__ import annotations

import contextlib
import re
import socket
from collections.abc import Callable

import h11
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError

from zincvale.transport.server_exchange import AnswerHead, AnswerListener, OutgoingRequest

READ_BYTES = 65_536
ANSWER_START = b"HTTP/"
MAX_HEAD_BYTES = 65_536
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d+)", re.IGNORECASE)
PROBE_IDLE_S = 2
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
UNACKNOWLEDGED_LIMIT_MS = 1_500
"""Bytes that a peer does not acknowledge for so long end the connection."""


class ServerConnection:
    """A connected stream; carries one exchange at a time.

    Parameters
    ----------
    on_rest : called when an exchange ended and the connection can be used again.
    on_closed : called once, when the connection is gone.
    """

    def __init__(
        self,
        stream: IOStream,
        clock: Callable[[], float],
        on_rest: Callable[[ServerConnection], None],
        on_closed: Callable[[ServerConnection], None],
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._on_rest = on_rest
        self._on_closed = on_closed
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: OutgoingRequest | None = None
        self._listener: AnswerListener | None = None
        self._is_ours = False
        self._awaits_answer = False
        """Nothing was received since the request was sent."""
        self._is_closed = False
        self._paused = False
        self._resume: Callable[[], None] | None = None
        self.used = False
        self.rests_since = clock()
        self.keep_alive_s: float | None = None
        """The server's own word on how long a resting connection lives."""

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return not self._is_closed and not self._stream.closed()

    def begin_reading(self) -> None:
        """Start the loop that reads for as long as the connection lives."""
        IOLoop.current().add_callback(self._read_forever)

    def send(self, request: OutgoingRequest, listener: AnswerListener) -> bool:
        """Send a request; False when the connection is known to be gone and nothing left."""
        if not self.is_open:
            return False
        self._request = request
        self._listener = listener
        self._is_ours = False
        self._awaits_answer = True
        content = self._encode(request)
        try:
            written = self._stream.write(content)
        except StreamClosedError:
            self._request = self._listener = None
            self.close()
            return False
        written.add_done_callback(lambda future: future.exception())
        self.used = True
        return True

    def pause(self) -> None:
        """Read nothing more until `resume`: the caller is slow."""
        self._paused = True

    def resume(self) -> None:
        """Read on."""
        self._paused = False
        if self._resume is not None:
            resume, self._resume = self._resume, None
            resume()

    def close(self) -> None:
        """Close the connection; its listener is told nothing."""
        self._listener = None
        self._request = None
        if self._is_closed:
            return
        self._is_closed = True
        self._stream.close()
        self.resume()
        self._on_closed(self)

    # --- sending --------------------------------------------------------------------------

    def _encode(self, request: OutgoingRequest) -> bytes:
        headers = list(request.headers)
        if request.body is not None:
            headers.append(("Content-Length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self._parser.send(head)]
        if request.body:
            parts.append(self._parser.send(h11.Data(data=request.body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    # --- reading --------------------------------------------------------------------------

    async def _read_forever(self) -> None:
        while not self._is_closed:
            try:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
            except StreamClosedError:
                self._handle_end_of_stream()
                return
            self._handle_data(data)
            if self._paused and not self._is_closed:
                await self._until_resumed()

    async def _until_resumed(self) -> None:
        future = IOLoop.current().asyncio_loop.create_future()  # type: ignore[attr-defined]
        self._resume = lambda: None if future.done() else future.set_result(None)
        await future

    def _handle_data(self, data: bytes) -> None:
        if self._request is None:
            # Bytes that no request asked for belong to nobody.
            self.close()
            return
        self._feed(data)

    def _handle_end_of_stream(self) -> None:
        if self._is_closed:
            return
        error = self._stream.error
        if self._request is not None and error is None:
            self._feed(b"")
        self._break("the server closed the connection" if error is None else repr(error))

    def _feed(self, data: bytes) -> None:
        if self._awaits_answer and data and not _may_begin_answer(data):
            self._break("not an answer: it begins with other bytes")
            return
        self._awaits_answer = False
        try:
            self._parser.receive_data(data)
            self._take_events()
        except h11.ProtocolError as error:
            self._break(f"not an answer: {error}")

    def _take_events(self) -> None:
        while self._request is not None and not self._is_closed:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                if self._is_ours and self._listener is not None:
                    self._listener.content(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._take_end()
            elif isinstance(event, h11.ConnectionClosed):
                self._break("the server closed the connection")

    def _take_head(self, response: h11.Response) -> None:
        head = AnswerHead(
            response.status_code,
            response.reason.decode("latin-1"),
            [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in response.headers.raw_items()
            ],
        )
        lowered = head.lowered()
        assert self._request is not None
        self._is_ours = self._request.belongs(head.status, lowered)
        limit = KEEP_ALIVE_TIMEOUT.search(lowered.get("keep-alive", ""))
        if limit is not None:
            self.keep_alive_s = float(limit.group(1))
        if self._is_ours and self._listener is not None:
            self._listener.head(head)

    def _take_end(self) -> None:
        if not self._is_ours:
            self._read_next_answer()
            return
        listener = self._listener
        self._listener = None
        self._request = None
        self._finish_cycle()
        if listener is not None:
            listener.ended()

    def _read_next_answer(self) -> None:
        """An answer to another request came in the place of ours: ours may follow."""
        trailing, _ = self._parser.trailing_data
        if self._parser.their_state is not h11.DONE or self._request is None:
            self._break("an answer of another request")
            return
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._encode(self._request)
        self._parser.receive_data(trailing)

    def _finish_cycle(self) -> None:
        """Rest, unless the stream ended, more than the answer came, or the request still leaves."""
        trailing, _ = self._parser.trailing_data
        is_clean = (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not trailing
            and not self._stream.writing()
            and not self._stream.closed()
        )
        if not is_clean or self._is_closed:
            self.close()
            return
        self._parser.start_next_cycle()
        self.rests_since = self._clock()
        self._on_rest(self)

    def _break(self, reason: str) -> None:
        listener = self._listener
        self.close()
        if listener is not None:
            listener.broken(reason)


def _may_begin_answer(data: bytes) -> bool:
    return data.startswith(ANSWER_START) or ANSWER_START.startswith(data)


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
