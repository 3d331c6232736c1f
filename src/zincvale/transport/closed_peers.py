"""Tells whether the peer of a connection has closed it, before the event loop has read that."""

from __future__ import annotations

import socket


def is_closed_by_peer(connection: socket.socket) -> bool:
    """Whether the next thing to read from a non-blocking connection is its end."""
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
