"""A weight store in virtual time, whose pulls share its bandwidth as at the stand-in."""

from __future__ import annotations

from collections.abc import Callable

from zincvale.simulator.what_if.clock import Timer, VirtualClock
from zincvale.standins.weight_store.bandwidth import LONGEST_ADVANCE_S, Pull, SharedBandwidth

ROUNDING_BYTES = 1.0
"""A pull with fewer bytes than this left to send is complete."""


class VirtualStore:
    """One weight store.

    Parameters
    ----------
    clock : virtual time.
    bytes_per_second : its bandwidth, shared by all pulls.
    max_concurrent_pulls : limit of open pulls; one beyond it is refused.
    """

    def __init__(
        self, clock: VirtualClock, bytes_per_second: float, max_concurrent_pulls: int
    ) -> None:
        self.max_concurrent_pulls = max_concurrent_pulls
        self.pulled_bytes = 0.0
        self.refused_pulls = 0
        self._clock = clock
        self._bandwidth = SharedBandwidth(bytes_per_second)
        self._advanced_at = 0.0
        self._pulls: dict[int, tuple[Pull, Callable[[], None]]] = {}
        self._pull_count = 0
        self._timer: Timer | None = None

    def pull(
        self, size_bytes: int, max_bytes_per_second: float, on_done: Callable[[], None]
    ) -> int:
        """Begin a pull; return its identifier, or 0 when it is refused."""
        if len(self._pulls) >= self.max_concurrent_pulls:
            self.refused_pulls += 1
            return 0
        self._advance()
        self._pull_count += 1
        pull = Pull(self._pull_count, size_bytes, max_bytes_per_second)
        self._bandwidth.open(pull, self._clock.now)
        self._pulls[pull.pull_id] = (pull, on_done)
        self._set_timer()
        return pull.pull_id

    def cancel_pull(self, pull_id: int) -> None:
        """Cancel a pull whose server has crashed or unloaded the item."""
        self._advance()
        cancelled = self._pulls.pop(pull_id, None)
        if cancelled is None:
            return
        self.pulled_bytes += cancelled[0].sent_bytes
        self._bandwidth.close(pull_id, self._clock.now)
        self._set_timer()

    def _advance(self) -> None:
        """Send what is due, in steps no longer than `LONGEST_ADVANCE_S`: the bandwidth takes a
        longer one for a frozen process."""
        now = self._clock.now
        while self._advanced_at < now:
            self._advanced_at = min(now, self._advanced_at + LONGEST_ADVANCE_S)
            if not self._pulls:
                self._advanced_at = now
            self._bandwidth.advance(self._advanced_at)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        rates = self._bandwidth.rates()
        if not self._pulls:
            return
        due_s = 0.0
        if len(rates) == len(self._pulls):
            due_s = min(
                (self._pulls[pull_id][0].size_bytes - self._pulls[pull_id][0].sent_bytes) / rate
                for pull_id, rate in rates.items()
            )
        self._timer = self._clock.call_later(due_s, self._on_due)

    def _on_due(self) -> None:
        self._advance()
        completed = [
            pull
            for pull, _ in self._pulls.values()
            if pull.size_bytes - pull.sent_bytes < ROUNDING_BYTES
        ]
        for pull in completed:
            _, on_done = self._pulls.pop(pull.pull_id)
            self.pulled_bytes += pull.size_bytes
            self._bandwidth.close(pull.pull_id, self._clock.now)
            on_done()
        self._set_timer()
