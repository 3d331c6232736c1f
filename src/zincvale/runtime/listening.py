"""Binds HTTP servers to addresses, with typed errors that contain a remedy."""

from __future__ import annotations

import errno
import socket

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets
from tornado.web import Application

from zincvale.model.addresses import split_address
from zincvale.model.errors import StartupError

IDLE_CONNECTION_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 10.0
"""Time limit for receiving a request body; bounds how long a slow sender occupies a connection."""
MAX_HEADER_BYTES = 64 * 1024
LISTEN_BACKLOG = 1_024
"""Number of connections that may wait to be accepted; a smaller one refuses bursts of callers."""


def listen(
    application: Application | HTTPServerConnectionDelegate,
    address: str,
    field_name: str,
    max_body_bytes: int,
    *,
    expands_bodies: bool = False,
) -> HTTPServer:
    """Serve `application` at `address`; raises `StartupError`.

    A connection is closed when the headers of a request take longer than
    `IDLE_CONNECTION_TIMEOUT_S` or its body longer than `BODY_TIMEOUT_S`. With `expands_bodies`,
    requests may be compressed with gzip; it is meant for peers only, since the expanded size is
    not limited.
    """
    server = HTTPServer(
        application,
        idle_connection_timeout=IDLE_CONNECTION_TIMEOUT_S,
        body_timeout=BODY_TIMEOUT_S,
        max_header_size=MAX_HEADER_BYTES,
        max_body_size=max_body_bytes,
        decompress_request=expands_bodies,
        max_buffer_size=max(max_body_bytes, 2 * MAX_HEADER_BYTES),
    )
    server.add_sockets(_bind(address, field_name))
    return server


def _bind(address: str, field_name: str) -> list[socket.socket]:
    host, port = split_address(address)
    try:
        return bind_sockets(port, host, backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise StartupError(
            f"cannot listen on {field_name} {address}: {error.strerror}",
            _remedy(error),
            address=address,
        ) from error


def _remedy(error: OSError) -> str:
    if error.errno == errno.EADDRINUSE:
        return "stop the process that listens there or choose another port"
    if error.errno == errno.EADDRNOTAVAIL:
        return "use an address of this machine"
    return "check the address and the permissions of this user"
