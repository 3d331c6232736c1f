"""Measured throughput of a pool as this node gets it."""

from __future__ import annotations

import math

import attrs

BUCKET_S = 0.25
BUCKETS = 32
MIN_BACKLOG_S = 1.0
BACKLOG_SERVICE_TIMES = 2.0
"""A measurement counts once requests have waited this long, and this many times the usual service
time, without a pause."""
MEASURED_TOLERANCE = 1.2


@attrs.define
class ThroughputMeter:
    """Completions in a sliding window of fixed buckets.

    What a node gets of servers that it shares is not known from their limits, only from what it
    got while it always had more to send.
    """

    backlogged_since: float = math.inf
    _index: int = 0
    _counts: list[int] = attrs.field(factory=lambda: [0] * BUCKETS)

    def on_completed(self, now: float) -> None:
        """Count one request that was served."""
        self._advance(now)
        self._counts[self._index % BUCKETS] += 1

    def on_backlog(self, waiting: int, now: float) -> None:
        """Note whether requests wait for a busy server."""
        if not waiting:
            self.backlogged_since = math.inf
        elif math.isinf(self.backlogged_since):
            self.backlogged_since = now

    def bound(self, rate_per_s: float, service_s: float, now: float) -> float:
        """Return the smaller of an estimated rate and the measured one, where that counts."""
        backlogged_s = now - self.backlogged_since
        if backlogged_s < max(MIN_BACKLOG_S, service_s * BACKLOG_SERVICE_TIMES):
            return rate_per_s
        self._advance(now)
        window_s = min(BUCKETS * BUCKET_S, backlogged_s)
        covered = min(BUCKETS, max(1, round(window_s / BUCKET_S)))
        newest = [self._counts[(self._index - back) % BUCKETS] for back in range(covered)]
        measured = (sum(newest) + 1) / window_s * MEASURED_TOLERANCE
        return min(rate_per_s, measured)

    def _advance(self, now: float) -> None:
        index = int(now / BUCKET_S)
        for passed in range(self._index + 1, min(index, self._index + BUCKETS) + 1):
            self._counts[passed % BUCKETS] = 0
        if index > self._index + BUCKETS:
            self._counts = [0] * BUCKETS
        self._index = max(self._index, index)
