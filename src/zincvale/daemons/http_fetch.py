"""HTTP client of a core for JSON requests to servers and the platform.

A request that was abandoned must not arrive later: an order that a partition delayed would reach
its server while the next leader already gives orders. So closing a connection resets it, which
discards bytes that the other side has not acknowledged, and the kernel aborts a connection whose
bytes stay unacknowledged.
"""

from __future__ import annotations

import socket
import struct
import time
from collections.abc import Mapping

import attrs
import orjson

from zincvale.model.addresses import split_address
from zincvale.transport.complete_exchange import NoResponseError, fetch_response
from zincvale.transport.server_client import ServerClient
from zincvale.transport.server_exchange import OutgoingRequest

MEMBER_HEADER = "X-Zincvale-Member"
"""Header with the member id of the daemon that sends an order or probe."""
UNACKNOWLEDGED_LIMIT_MS = 300
"""Time after which the kernel aborts a connection with unacknowledged bytes. It is at most the
margin by which a leader stops before its lease ends, so that by then its orders have arrived or
never will."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes closing reset the connection: on, with 0 seconds."""
NO_RESPONSE_STATUS = 0


@attrs.frozen
class FetchResult:
    """An HTTP response; status 0 means that there was none, with the reason in `error`."""

    status: int
    body: bytes = b""
    error: str = ""
    connected: bool = True
    """False when no connection was established: the request was certainly not handled."""


class HttpFetcher:
    """Sends GET and POST requests; the address map translates every address."""

    def __init__(self, address_map: dict[str, str], member_id: str, own_address: str) -> None:
        self._address_map = address_map
        self._member_id = member_id
        self._own_host = split_address(own_address)[0]
        self._client = ServerClient(time.monotonic, address_map, self._prepare)

    async def get(self, address: str, path: str, timeout_s: float) -> FetchResult:
        """Return the response to `GET path`."""
        return await self.call(address, "GET", path, None, {}, timeout_s)

    async def post(
        self, address: str, path: str, body: dict[str, object], timeout_s: float
    ) -> FetchResult:
        """Return the response to `POST path` with a JSON body."""
        return await self.call(address, "POST", path, orjson.dumps(body), {}, timeout_s)

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> FetchResult:
        """Send a request with additional headers and an optional JSON body; return the response.

        A request is never sent twice: the outcome of an order that may have been handled is
        unknown.
        """
        sent_headers = {
            "Host": self._address_map.get(address, address),
            MEMBER_HEADER: self._member_id,
        }
        if body is not None:
            sent_headers["Content-Type"] = "application/json"
        request = OutgoingRequest(
            method,
            path,
            list({**sent_headers, **headers}.items()),
            body,
            _accept_any_response,
            may_repeat=False,
        )
        try:
            response = await fetch_response(self._client, address, request, timeout_s)
        except NoResponseError as error:
            return FetchResult(NO_RESPONSE_STATUS, error=str(error), connected=error.connected)
        return FetchResult(response.status, response.body)

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    def _prepare(self, connected: socket.socket) -> None:
        """Bind to the daemon's own address, so that a server sees which machine calls it."""
        discard_on_close(connected)
        connected.bind((self._own_host, 0))


def discard_on_close(connected: socket.socket) -> None:
    """Set the socket to discard unacknowledged bytes on closing, and to abort when they stay so."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)


def _accept_any_response(_status: int, _headers: Mapping[str, str]) -> bool:
    """Accept every response, since a connection carries one request at a time."""
    return True
