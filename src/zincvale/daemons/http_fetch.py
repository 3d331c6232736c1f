"""Plain JSON exchanges of the core with servers and the platform.

What was given up must not arrive later: a leader's order that a partition held up would reach its
server under the next leader. So closing a connection resets it, which discards what the other side
has not acknowledged, and the kernel gives a connection up whose bytes nobody acknowledges.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Mapping
from typing import Any

import attrs
import orjson
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest

from zincvale.model.addresses import split_address
from zincvale.transport.peer_client import CURL_COULD_NOT_CONNECT

MAX_CONCURRENT_FETCHES = 256
MEMBER_HEADER = "X-Zincvale-Member"
"""Names the daemon behind an order or probe."""
CONNECT_TIMEOUT_S = 0.5
UNACKNOWLEDGED_LIMIT_MS = 300
"""At most the margin by which a leader stops before its lease ends: when the lease ends, what it
sent has arrived or never will."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER, switched on, for no time at all."""
NO_ANSWER_STATUS = 0
CLIENT_FAILURE_STATUS = 599
"""What tornado's client reports when no answer came."""


@attrs.frozen
class FetchResult:
    """An HTTP answer; status 0 means that none came, with the reason in `error`."""

    status: int
    body: bytes = b""
    error: str = ""
    connected: bool = True
    """False when no connection was made: the request certainly was not handled."""


class HttpFetcher:
    """GET and POST through curl; every address goes through the address map."""

    def __init__(self, address_map: dict[str, str], member_id: str, own_address: str) -> None:
        self._address_map = address_map
        self._headers = {MEMBER_HEADER: member_id}
        self._own_host = split_address(own_address)[0]
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CONCURRENT_FETCHES)

    async def get(self, address: str, path: str, timeout_s: float) -> FetchResult:
        """Return the answer to `GET path`."""
        return await self.call(address, "GET", path, None, {}, timeout_s)

    async def post(
        self, address: str, path: str, body: dict[str, object], timeout_s: float
    ) -> FetchResult:
        """Return the answer to `POST path` with a JSON body."""
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
        """Return the answer to a call with further headers; a body is JSON."""
        dialled = self._address_map.get(address, address)
        headers = {**self._headers, **headers}
        if body is not None:
            headers["Content-Type"] = "application/json"
        request = HTTPRequest(
            f"http://{dialled}{path}",
            method=method,
            body=body,
            headers=headers,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            prepare_curl_callback=self._prepare,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            connected = error.errno != CURL_COULD_NOT_CONNECT
            return FetchResult(NO_ANSWER_STATUS, error=str(error), connected=connected)
        except (HTTPClientError, OSError) as error:
            return FetchResult(NO_ANSWER_STATUS, error=str(error))
        if response.code == CLIENT_FAILURE_STATUS:
            failure = response.error
            connected = getattr(failure, "errno", None) != CURL_COULD_NOT_CONNECT
            return FetchResult(NO_ANSWER_STATUS, error=str(failure), connected=connected)
        return FetchResult(response.code, response.body or b"")

    def _prepare(self, curl: Any) -> None:
        """Send from the daemon's own address, so that a server sees which machine calls."""
        curl.setopt(pycurl.INTERFACE, self._own_host)
        curl.setopt(pycurl.SOCKOPTFUNCTION, discard_on_close)


def discard_on_close(descriptor: int, purpose: int) -> int:
    """Let a new connection lose what is on its way when it is given up; called by libcurl."""
    borrowed = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=descriptor)
    try:
        borrowed.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        borrowed.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
    finally:
        borrowed.detach()
    return int(pycurl.SOCKOPT_OK)
