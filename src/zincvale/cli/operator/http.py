"""HTTP transport of the operator commands, on tornado's curl client."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPRequest

from zincvale.cli.operator.session import CoreResponse, CoreUnreachableError

CONNECT_TIMEOUT_S = 1.0
"""Limit for connecting to one core, short so that the next core is tried soon."""
MAX_RESPONSE_BYTES = 256 * 1024 * 1024

_NOT_SENT_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
"""Errors after which no byte of the request can have been sent."""


class CurlTransport:
    """Implements `CoreTransport`; must be created inside a running event loop."""

    def __init__(self) -> None:
        self._client = CurlAsyncHTTPClient(force_instance=True)

    async def fetch(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout_s: float,
    ) -> CoreResponse:
        """Return the response; raises `CoreUnreachableError`."""
        request = HTTPRequest(
            f"http://{address}{target}",
            method=method,
            headers=dict(headers),
            body=body if method == "POST" else None,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except CurlError as error:
            raise CoreUnreachableError(
                str(error.message), error.errno not in _NOT_SENT_ERRORS
            ) from error
        except OSError as error:
            raise CoreUnreachableError(str(error), sent=True) from error
        return CoreResponse(response.code, bytes(response.body or b""))

    async def pause(self, seconds: float) -> None:
        """Wait for this many seconds."""
        await asyncio.sleep(seconds)

    def now(self) -> float:
        """Return seconds on a monotonic clock."""
        return time.monotonic()

    def close(self) -> None:
        """Close every connection."""
        self._client.close()
