"""Binds HTTP servers to addresses, with typed errors that contain a remedy."""

from __future__ import annotations

import errno
import socket

from tornado.httputil import HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets
from tornado.web import Application

from zincvale.model.addresses import split_address
from zincvale.model.errors import StartupError
from zincvale.runtime.admission.admission import REQUEST_BYTES, Admission
from zincvale.runtime.admission.limits import ListenerLimits
from zincvale.runtime.admission.server import AdmittingServer

LISTEN_BACKLOG = 1_024
"""Number of connections that may wait to be accepted; a smaller one refuses bursts of callers."""


def listen(
    application: Application | HTTPServerConnectionDelegate,
    address: str,
    field_name: str,
    admission: Admission,
    limits: ListenerLimits,
    *,
    expands_bodies: bool = False,
    request_bytes: int = REQUEST_BYTES,
) -> AdmittingServer:
    """Serve `application` at `address`; raises `StartupError`.

    Parameters
    ----------
    admission : what all listeners of the process share.
    limits : what a client of this listener may send, and how long it may take.
    expands_bodies : whether requests may be compressed with gzip; the limits hold for the
        expanded size.
    request_bytes : memory that a request is counted for besides its body.
    """
    server = AdmittingServer(
        application,
        admission,
        limits,
        expands_bodies=expands_bodies,
        request_bytes=request_bytes,
    )
    server.serve(_bind(address, field_name))
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
