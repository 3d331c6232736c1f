"""Client through which operators call the cores over HTTP."""

from __future__ import annotations

from typing import Any, Protocol

import attrs
import orjson
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from zincvale.standins.json_body import json_object
from zincvale.standins.operators.retry import NO_RESPONSE
from zincvale.standins.settings import dialled_address

CONNECT_TIMEOUT_S = 1.0
APPLY_TIMEOUT_S = 8.0
READ_TIMEOUT_S = 1.0
MAX_CONCURRENT_CALLS = 256
IDEMPOTENCY_HEADER = "Idempotency-Key"


@attrs.frozen
class CoreResponse:
    """Response of a core; status 0 means that none arrived."""

    status: int
    body: dict[str, Any]
    error: str = ""


class CoreClient(Protocol):
    """Calls that operators make to a core, which is given by its API address."""

    async def apply(self, core: str, order_id: str, body: dict[str, Any]) -> CoreResponse:
        """Send a change to a core once, without retries."""
        ...

    async def version(self, core: str) -> int | None:
        """Return the intent version that a core reports, or None if it does not respond."""
        ...


class HttpCoreClient:
    """Calls cores with curl.

    Parameters
    ----------
    address_map : addresses to dial in place of advertised ones, by advertised address.
    """

    def __init__(self, address_map: dict[str, str]) -> None:
        self._address_map = address_map
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CONCURRENT_CALLS)

    async def apply(self, core: str, order_id: str, body: dict[str, Any]) -> CoreResponse:
        """Send a change to a core once, without retries."""
        headers = {
            "Content-Type": "application/json",
            "Expect": "",
            IDEMPOTENCY_HEADER: order_id,
        }
        request = HTTPRequest(
            f"http://{dialled_address(core, self._address_map)}/v1/intent",
            method="POST",
            body=orjson.dumps(body),
            headers=headers,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=APPLY_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return CoreResponse(NO_RESPONSE, {}, str(error))
        return CoreResponse(response.code, json_object(response.body))

    async def version(self, core: str) -> int | None:
        """Return the intent version that a core reports, or None if it does not respond."""
        request = HTTPRequest(
            f"http://{dialled_address(core, self._address_map)}/v1/intent",
            connect_timeout=READ_TIMEOUT_S,
            request_timeout=READ_TIMEOUT_S,
        )
        try:
            response = await self._client.fetch(request)
        except (HTTPClientError, OSError):
            return None
        version = json_object(response.body).get("version")
        return version if isinstance(version, int) else None
