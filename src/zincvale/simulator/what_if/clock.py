"""Virtual time of a what-if run: a heap of scheduled actions, ordered by time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

import attrs


@attrs.define(eq=False)
class Timer:
    """One scheduled action; a cancelled one is skipped when its time comes."""

    at: float
    action: Callable[[], None] | None

    def cancel(self) -> None:
        """Cancel the action."""
        self.action = None


class VirtualClock:
    """Runs actions in the order of their times; those of equal times in the order of scheduling.

    Times are virtual seconds from the start of the run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.actions_run = 0
        self._scheduled = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def read(self) -> float:
        """Return the current virtual time."""
        return self.now

    def call_at(self, at: float, action: Callable[[], None]) -> Timer:
        """Schedule `action` for the time `at`, or for now when that has passed."""
        timer = Timer(max(at, self.now), action)
        self._scheduled += 1
        heapq.heappush(self._heap, (timer.at, self._scheduled, timer))
        return timer

    def call_later(self, delay_s: float, action: Callable[[], None]) -> Timer:
        """Schedule `action` for `delay_s` from now."""
        return self.call_at(self.now + delay_s, action)

    def call_every(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run `action` at the current time and then once every `interval_s`."""

        def run_and_reschedule() -> None:
            action()
            self.call_later(interval_s, run_and_reschedule)

        self.call_later(0.0, run_and_reschedule)

    def run_until(self, end: float) -> None:
        """Run every action that is due up to and including `end`, and set the time to `end`."""
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
