"""Shares the event loop among the requests whose bodies are arriving."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from tornado.concurrent import Future


class TurnQueue:
    """Grants one turn in each iteration of the event loop, to the request that had fewest turns.

    Parameters
    ----------
    call_soon : runs a function in the next iteration of the event loop.
    new_future : returns a future of that event loop.
    """

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object],
        new_future: Callable[[], Future[None]] = Future,
    ) -> None:
        self._call_soon = call_soon
        self._new_future = new_future
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Future[None]]] = []
        self._is_turn_taken = False

    def wait(self, turns: int) -> Future[None] | None:
        """Return a future that ends the wait for a turn; None when the turn is granted at once.

        Parameters
        ----------
        turns : how many turns the request has had.
        """
        if not self._is_turn_taken:
            self._is_turn_taken = True
            self._call_soon(self._grant_next)
            return None
        future = self._new_future()
        heapq.heappush(self._waiting, (turns, next(self._numbers), future))
        return future

    def _grant_next(self) -> None:
        self._is_turn_taken = False
        while self._waiting and not self._is_turn_taken:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                self._is_turn_taken = True
        if self._is_turn_taken:
            self._call_soon(self._grant_next)
