"""One request and its whole answer, over the connections of a `ServerClient`."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import attrs

from zincvale.transport.server_client import Exchange, ServerClient
from zincvale.transport.server_exchange import AnswerHead, OutgoingRequest


@attrs.frozen
class WholeAnswer:
    """Status, headers (names in lower case) and body of an answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class NoResponseError(Exception):
    """No whole answer came.

    Attributes
    ----------
    connected : False when no connection was made: nothing of the request left.
    reused : the request left on a connection that had served another one, and broke off before
        any answer; the other side may have closed it before the request arrived.
    """

    def __init__(self, reason: str, connected: bool = True, reused: bool = False) -> None:
        super().__init__(reason)
        self.connected = connected
        self.reused = reused


async def fetch_whole(
    client: ServerClient, address: str, request: OutgoingRequest, timeout_s: float
) -> WholeAnswer:
    """Return the answer to `request`; raises `NoResponseError`, and closes the connection."""
    loop = asyncio.get_running_loop()
    listener = _Collector(loop.create_future())
    exchange = client.start(address, "", request, listener)
    listener.exchange = exchange
    timer = loop.call_later(timeout_s, listener.give_up, timeout_s)
    try:
        return await listener.answer
    finally:
        timer.cancel()
        if not listener.is_over:
            exchange.cancel()


class _Collector:
    """Listens to an exchange and keeps its answer."""

    def __init__(self, answer: asyncio.Future[WholeAnswer]) -> None:
        self.answer = answer
        self.exchange: Exchange | None = None
        self.is_over = False
        """The exchange ended by itself: its connection is not its own any more."""
        self._head: AnswerHead | None = None
        self._body: list[bytes] = []

    def not_sent(self, reason: str) -> None:
        """No connection came up."""
        self._fail(NoResponseError(reason, connected=False))

    def head(self, head: AnswerHead) -> None:
        """Keep the head."""
        self._head = head

    def content(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body.append(data)

    def ended(self) -> None:
        """The answer is whole."""
        self.is_over = True
        assert self._head is not None
        if not self.answer.done():
            body = b"".join(self._body)
            self.answer.set_result(WholeAnswer(self._head.status, self._head.lowered(), body))

    def broken(self, reason: str) -> None:
        """The exchange broke."""
        is_unanswered = self._head is None
        reused = is_unanswered and self.exchange is not None and self.exchange.reused
        self._fail(NoResponseError(reason, reused=reused))

    def give_up(self, after_s: float) -> None:
        """Nothing came in time."""
        connected = self.exchange is not None and self.exchange.is_attached
        if not self.answer.done():
            self.answer.set_exception(NoResponseError(f"no answer within {after_s} s", connected))

    def _fail(self, failure: NoResponseError) -> None:
        self.is_over = True
        if not self.answer.done():
            self.answer.set_exception(failure)
