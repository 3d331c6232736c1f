"""The byte stream of an accepted connection, which counts what is received and what is unsent."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable
from typing import Any, Protocol

from tornado.concurrent import Future
from tornado.iostream import IOStream, UnsatisfiableReadError

READ_BYTES = 16 * 1024
"""Largest single read; most requests arrive in one."""
MAX_BUFFER_BYTES = 16 * 1024 * 1024
"""Never reached: a read ends when its result, which is limited, is complete."""


class StreamObserver(Protocol):
    """Is notified of what happens on a stream."""

    def on_received(self, size_bytes: int) -> None:
        """Handle that bytes were read from the socket."""
        ...

    def on_allowance_spent(self) -> None:
        """Handle that the stream may not read until the observer sets another allowance."""
        ...

    def on_unsent_changed(self, unsent_bytes: int) -> None:
        """Handle that another number of written bytes waits for the client to read."""
        ...

    def last_response(self) -> bytes:
        """Return what a client gets whose line or headers are too long; empty for nothing."""
        ...


class AdmittedStream(IOStream):
    """A stream whose reads are limited.

    While `allowance_bytes` is not None, the stream reads no more than that in total, even if more
    has arrived, until its observer sets another allowance.

    Parameters
    ----------
    close_late : closes a socket whose client still has to read a response.
    """

    def __init__(
        self, connection: socket.socket, close_late: Callable[[socket.socket], None]
    ) -> None:
        super().__init__(connection, MAX_BUFFER_BYTES, READ_BYTES)
        self.allowance_bytes: int | None = None
        self.observer: StreamObserver | None = None
        self.closes_late = False
        self.unsent_bytes = 0
        self._has_unsent = False
        self._close_late = close_late

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read within the allowance; None when nothing can be read now."""
        if self.allowance_bytes == 0 and self.observer is not None:
            self.observer.on_allowance_spent()
        size = len(buf)
        if self.allowance_bytes is not None:
            size = min(size, self.allowance_bytes)
        if not size:
            return None
        try:
            received: int = self.socket.recv_into(buf, size)
        except BlockingIOError:
            return None
        if self.allowance_bytes is not None:
            self.allowance_bytes -= received
        if received and self.observer is not None:
            self.observer.on_received(received)
        return received

    def write(self, data: bytes | memoryview) -> Future[None]:
        """Write and count what could not be sent at once."""
        self.unsent_bytes += len(data)
        future = super().write(data)
        if self.unsent_bytes:
            self._has_unsent = True
            self._notify_unsent()
        return future

    def write_to_fd(self, data: memoryview) -> int:
        """Send and count what was sent."""
        sent: int = super().write_to_fd(data)
        self.unsent_bytes -= sent
        if sent and self._has_unsent:
            self._has_unsent = bool(self.unsent_bytes)
            self._notify_unsent()
        return sent

    def close(self, exc_info: Any = False) -> None:
        """Close; a client whose line or headers were too long is told so, if it reads."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self.closed():
            self._send_last_response()
        super().close(exc_info)
        if self.error is not None:
            # The traceback refers to this stream, whose buffers would wait for the collector.
            self.error.__traceback__ = None

    def close_fd(self) -> None:
        """Close the socket, or hand it over while its client may still read."""
        connection, self.socket = self.socket, None  # type: ignore[assignment]
        if self.closes_late:
            self._close_late(connection)
        else:
            connection.close()

    def _notify_unsent(self) -> None:
        if self.observer is not None:
            self.observer.on_unsent_changed(self.unsent_bytes)

    def _send_last_response(self) -> None:
        response = self.observer.last_response() if self.observer is not None else b""
        if response:
            self.closes_late = True
            with contextlib.suppress(OSError):
                self.socket.send(response)
