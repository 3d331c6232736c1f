"""Max-min fair sharing of the bandwidth of a store among its pulls, each of which has a cap.

Performs no I/O; time is passed in.
"""

from __future__ import annotations

import attrs

LONGEST_ADVANCE_S = 0.25
"""Limit on the time that one `advance` counts as sending. A longer gap between calls means that the
store was frozen and sent nothing during the rest of it."""


@attrs.define
class Pull:
    """One pull in progress; sizes and rates are in declared bytes."""

    pull_id: int
    size_bytes: int
    cap_bytes_per_second: float
    sent_bytes: float = 0.0

    def is_complete(self) -> bool:
        """Return whether all bytes were sent."""
        return self.sent_bytes >= self.size_bytes


class SharedBandwidth:
    """The open pulls of one store, and their progress.

    Parameters
    ----------
    bytes_per_second : total bandwidth of the store.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._pulls: dict[int, Pull] = {}
        self._advanced_at = 0.0

    def open(self, pull: Pull, now: float) -> None:
        """Add a pull, which shares the bandwidth from now on."""
        self.advance(now)
        self._pulls[pull.pull_id] = pull

    def close(self, pull_id: int, now: float) -> None:
        """Remove a pull, whether it is complete or was aborted."""
        self.advance(now)
        self._pulls.pop(pull_id, None)

    def count(self) -> int:
        """Return how many pulls are open."""
        return len(self._pulls)

    def advance(self, now: float) -> None:
        """Credit each pull with the bytes sent since the last call."""
        elapsed = min(now - self._advanced_at, LONGEST_ADVANCE_S)
        self._advanced_at = now
        for pull_id, rate in self.rates().items():
            pull = self._pulls[pull_id]
            pull.sent_bytes = min(float(pull.size_bytes), pull.sent_bytes + rate * elapsed)

    def rates(self) -> dict[int, float]:
        """Return bytes per second by pull id; what a capped pull leaves is shared by the others."""
        incomplete = sorted(
            (pull for pull in self._pulls.values() if not pull.is_complete()),
            key=lambda pull: (pull.cap_bytes_per_second, pull.pull_id),
        )
        remaining = self._bytes_per_second
        rates = {}
        for position, pull in enumerate(incomplete):
            share = remaining / (len(incomplete) - position)
            rates[pull.pull_id] = min(share, pull.cap_bytes_per_second)
            remaining -= rates[pull.pull_id]
        return rates
