"""Sharing of a store's bandwidth among its pulls: max-min fair, each with a cap. Pure."""

from __future__ import annotations

import attrs

LONGEST_ADVANCE_S = 0.25
"""A longer gap means that the store was frozen: nothing was sent meanwhile."""


@attrs.define
class Pull:
    """One pull in progress, in declared bytes."""

    pull_id: int
    size_bytes: int
    cap_bytes_per_second: float
    sent_bytes: float = 0.0

    def complete(self) -> bool:
        """Return whether everything was sent."""
        return self.sent_bytes >= self.size_bytes


class SharedBandwidth:
    """All pulls of one store.

    Parameters
    ----------
    bytes_per_second : what the store sends in all.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._pulls: dict[int, Pull] = {}
        self._advanced_at = 0.0

    def open(self, pull: Pull, now: float) -> None:
        """Add a pull."""
        self.advance(now)
        self._pulls[pull.pull_id] = pull

    def close(self, pull_id: int, now: float) -> None:
        """Remove a pull, complete or broken off."""
        self.advance(now)
        self._pulls.pop(pull_id, None)

    def count(self) -> int:
        """Return how many pulls are open."""
        return len(self._pulls)

    def advance(self, now: float) -> None:
        """Send what the time since the last call allows."""
        elapsed = min(now - self._advanced_at, LONGEST_ADVANCE_S)
        self._advanced_at = now
        for pull_id, rate in self.rates().items():
            pull = self._pulls[pull_id]
            pull.sent_bytes = min(float(pull.size_bytes), pull.sent_bytes + rate * elapsed)

    def rates(self) -> dict[int, float]:
        """Return bytes per second by pull: equal shares; a cap's rest is shared again."""
        waiting = sorted(
            (pull for pull in self._pulls.values() if not pull.complete()),
            key=lambda pull: (pull.cap_bytes_per_second, pull.pull_id),
        )
        remaining = self._bytes_per_second
        rates = {}
        for position, pull in enumerate(waiting):
            share = remaining / (len(waiting) - position)
            rates[pull.pull_id] = min(share, pull.cap_bytes_per_second)
            remaining -= rates[pull.pull_id]
        return rates
