"""Virtual time of a what-if run: a heap of moments, each with what happens then."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import attrs


@attrs.define(eq=False)
class Timer:
    """One scheduled moment; a cancelled one is skipped when it comes up."""

    at: float
    action: Callable[[], None] | None

    def cancel(self) -> None:
        """Let nothing happen at the moment."""
        self.action = None


class VirtualClock:
    """Runs actions in the order of their moments; equal moments in the order of scheduling.

    Times are virtual seconds from the start of the run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.actions_run = 0
        self._scheduled = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def read(self) -> float:
        """Return the present virtual time."""
        return self.now

    def call_at(self, at: float, action: Callable[[], None]) -> Timer:
        """Run `action` at a moment, at once when it has passed."""
        timer = Timer(max(at, self.now), action)
        self._scheduled += 1
        heapq.heappush(self._heap, (timer.at, self._scheduled, timer))
        return timer

    def call_later(self, delay_s: float, action: Callable[[], None]) -> Timer:
        """Run `action` after `delay_s`."""
        return self.call_at(self.now + delay_s, action)

    def every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run `action` at once and then at each interval."""

        def again() -> None:
            action()
            self.call_later(interval_s, again)

        self.call_later(0.0, again)

    def run_until(self, end: float) -> None:
        """Run everything that is due up to and including `end`."""
        heap = self._heap
        while heap and heap[0][0] <= end:
            at, _, timer = heapq.heappop(heap)
            action = timer.action
            if action is None:
                continue
            self.now = at
            self.actions_run += 1
            action()
        self.now = max(self.now, end)
