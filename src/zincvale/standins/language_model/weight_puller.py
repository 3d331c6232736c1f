"""Pulls weights from a store over HTTP; the store paces the transfer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from zincvale.standins.settings import dialled_address

CONNECT_TIMEOUT_S = 1.0
STALL_TIMEOUT_S = 15
"""A pull that receives no byte for so long fails. A timeout shorter than a pause of the store would
abort healthy pulls."""
NO_TOTAL_TIMEOUT = 0.0
MAX_CONCURRENT_PULLS = 64


class PullError(Exception):
    """Raised when a pull ends before all of the weights have arrived."""


class WeightPuller:
    """Client of the weight stores.

    Parameters
    ----------
    puller : name of this server, for the journal of the store.
    bytes_per_second : the highest rate at which this server receives.
    address_map : addresses to dial in place of advertised ones, by advertised address.
    """

    def __init__(self, puller: str, bytes_per_second: int, address_map: dict[str, str]) -> None:
        self._puller = puller
        self._bytes_per_second = bytes_per_second
        self._address_map = address_map
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CONCURRENT_PULLS)

    async def pull(
        self, store: str, name: str, size_bytes: int, is_needed: Callable[[], bool]
    ) -> None:
        """Return when all of `name` has arrived; raises `PullError`.

        `is_needed` is polled while bytes arrive; the pull is aborted once it returns False.
        """
        address = dialled_address(store, self._address_map)
        query = f"bytes={size_bytes}&puller={self._puller}&rate={self._bytes_per_second}"
        request = HTTPRequest(
            f"http://{address}/v1/weights/{name}?{query}",
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=NO_TOTAL_TIMEOUT,
            prepare_curl_callback=lambda curl: _configure_curl(curl, is_needed),
        )
        try:
            await self._client.fetch(request)
        except (HTTPClientError, OSError) as error:
            raise PullError(str(error)) from error

    def close(self) -> None:
        """Abort every pull."""
        self._client.close()


def _configure_curl(curl: Any, is_needed: Callable[[], bool]) -> None:
    curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
    curl.setopt(pycurl.LOW_SPEED_TIME, STALL_TIMEOUT_S)
    curl.setopt(pycurl.NOPROGRESS, 0)
    curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_sizes: 0 if is_needed() else 1)
