"""The rig's HTTP client: short calls to loopback addresses, which raise no HTTP errors."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import attrs
import orjson
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

NO_RESPONSE = 0
"""The status of a call that got no HTTP response, so that its effect is unknown."""
CLIENT_TIMEOUT_STATUS = 599
"""The status that tornado's client reports when a connection fails or times out."""
MAX_CLIENTS = 64
CONNECT_TIMEOUT_S = 1.0


@attrs.frozen
class RigResponse:
    """The response to a call; `status` 0 means that there was none."""

    status: int
    body: Any = None
    problem: str = ""

    @property
    def ok(self) -> bool:
        """Whether the status is 200."""
        return self.status == HTTPStatus.OK

    def field(self, name: str) -> Any:
        """Return a field of a JSON object body, or None."""
        return self.body.get(name) if isinstance(self.body, dict) else None


class RigClient:
    """Calls daemons and stand-ins; a call that fails returns a `RigResponse` with status 0."""

    def __init__(self) -> None:
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def get(self, address: str, path: str, timeout_s: float = 1.0) -> RigResponse:
        """Send a GET request."""
        return await self._fetch(HTTPRequest(f"http://{address}{path}"), timeout_s)

    async def post(
        self,
        address: str,
        path: str,
        body: Any,
        timeout_s: float = 1.0,
        headers: Mapping[str, str] | None = None,
    ) -> RigResponse:
        """Send JSON by POST."""
        return await self.send("POST", address, path, body, timeout_s, headers)

    async def send(
        self,
        method: str,
        address: str,
        path: str,
        body: Any = None,
        timeout_s: float = 1.0,
        headers: Mapping[str, str] | None = None,
    ) -> RigResponse:
        """Send JSON by any method."""
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=None if body is None else orjson.dumps(body),
            headers={"Content-Type": "application/json", **(headers or {})},
            allow_nonstandard_methods=True,
        )
        return await self._fetch(request, timeout_s)

    async def _fetch(self, request: HTTPRequest, timeout_s: float) -> RigResponse:
        request.connect_timeout = min(timeout_s, CONNECT_TIMEOUT_S)
        request.request_timeout = timeout_s
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            return RigResponse(NO_RESPONSE, problem=str(error))
        if response.code in (NO_RESPONSE, CLIENT_TIMEOUT_STATUS):
            return RigResponse(NO_RESPONSE, problem=str(response.error))
        return RigResponse(response.code, _json_or_text(response.body or b""))


def _json_or_text(body: bytes) -> Any:
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError:
        return body.decode("utf-8", "replace")
