"""Closes the sockets of refused clients late enough for them to read the response.

A socket that is closed while bytes are unread is reset, and the reset may overtake the response.
"""

from __future__ import annotations

import socket

import attrs
from tornado.ioloop import IOLoop

LINGER_S = 1.0
LINGER_BYTES = 4 * 1024 * 1024
"""How much of a refused request is read and dropped before its socket is closed."""
SCRATCH_BYTES = 64 * 1024


@attrs.define(eq=False)
class _LingeringSocket:
    socket: socket.socket
    remaining_bytes: int = LINGER_BYTES


class LingeringSockets:
    """Sockets whose client was refused, until the client closes them or time runs out."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._open: set[_LingeringSocket] = set()
        self._scratch = bytearray(SCRATCH_BYTES)

    def close(self, connection: socket.socket) -> None:
        """Close a socket once its client has read what was sent, or at once if there are many."""
        try:
            connection.shutdown(socket.SHUT_WR)
        except OSError:
            connection.close()
            return
        if len(self._open) >= self._limit:
            connection.close()
            return
        lingering = _LingeringSocket(connection)
        self._open.add(lingering)
        loop = IOLoop.current()
        loop.add_handler(connection, lambda _fd, _events: self._discard(lingering), IOLoop.READ)
        loop.call_later(LINGER_S, self._end, lingering)

    def _discard(self, lingering: _LingeringSocket) -> None:
        """Read once and drop what was read."""
        try:
            received = lingering.socket.recv_into(self._scratch)
        except BlockingIOError:
            return
        except OSError:
            received = 0
        lingering.remaining_bytes -= received
        if not received or lingering.remaining_bytes <= 0:
            self._end(lingering)

    def _end(self, lingering: _LingeringSocket) -> None:
        if lingering not in self._open:
            return
        self._open.discard(lingering)
        IOLoop.current().remove_handler(lingering.socket)
        lingering.socket.close()
