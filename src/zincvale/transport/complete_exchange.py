"""Sends a request with a `ServerClient` and waits for its complete response."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs

from zincvale.transport.server_client import ServerClient, ServerExchange
from zincvale.transport.server_exchange import OutgoingRequest, ResponseHead


@attrs.frozen
class CompleteResponse:
    """Status, headers (names in lower case) and body of a response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class NoResponseError(Exception):
    """No complete response was received.

    Attributes
    ----------
    connected : False when no connection was established, so that nothing of the request was sent.
    reused : the connection had served another request, and failed before any response; the other
        side may have closed it before the request arrived.
    """

    def __init__(self, reason: str, *, connected: bool = True, reused: bool = False) -> None:
        super().__init__(reason)
        self.connected = connected
        self.reused = reused


async def fetch_response(
    client: ServerClient, address: str, request: OutgoingRequest, timeout_s: float
) -> CompleteResponse:
    """Return the response to `request`.

    Raises `NoResponseError`. The connection is closed unless the exchange ended by itself.
    """
    loop = asyncio.get_running_loop()
    listener = _ResponseCollector(loop.create_future())
    exchange = client.start(address, "", request, listener)
    listener.exchange = exchange
    timer = loop.call_later(timeout_s, listener.on_timeout, timeout_s)
    try:
        return await listener.response
    finally:
        timer.cancel()
        if not listener.is_finished:
            exchange.cancel()


class _ResponseCollector:
    """Listener that collects the response of an exchange."""

    def __init__(self, response: asyncio.Future[CompleteResponse]) -> None:
        self.response = response
        self.exchange: ServerExchange | None = None
        self.is_finished = False
        """The exchange completed or failed; its connection may already serve another request."""
        self._head: ResponseHead | None = None
        self._body: list[bytes] = []

    def on_not_sent(self, reason: str) -> None:
        """Fail: no connection was established."""
        self._fail(NoResponseError(reason, connected=False))

    def on_head(self, head: ResponseHead) -> None:
        """Store the head."""
        self._head = head

    def on_content(self, data: bytes) -> None:
        """Store a part of the body."""
        self._body.append(data)

    def on_complete(self, *, is_delimited: bool) -> None:  # noqa: ARG002 (the interface)
        """Resolve the response; its reader finds out whether one without a length is whole."""
        self.is_finished = True
        assert self._head is not None
        if not self.response.done():
            body = b"".join(self._body)
            self.response.set_result(
                CompleteResponse(self._head.status, self._head.lower_case_headers(), body)
            )

    def on_broken(self, reason: str) -> None:
        """Fail: the exchange failed after the request may have been sent."""
        has_no_head = self._head is None
        reused = has_no_head and self.exchange is not None and self.exchange.reused
        self._fail(NoResponseError(reason, reused=reused))

    def on_timeout(self, timeout_s: float) -> None:
        """Fail: the response was not complete in time."""
        connected = self.exchange is not None and self.exchange.is_attached
        if not self.response.done():
            self.response.set_exception(
                NoResponseError(f"no response within {timeout_s} s", connected=connected)
            )

    def _fail(self, failure: NoResponseError) -> None:
        self.is_finished = True
        if not self.response.done():
            self.response.set_exception(failure)
