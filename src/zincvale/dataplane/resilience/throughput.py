"""Measures the throughput that this node gets from a pool."""

from __future__ import annotations

import math

import attrs

BUCKET_S = 0.25
BUCKETS = 32
"""Number of buckets of the sliding window, which is 8 s long. A longer window would follow changes
of the servers more slowly."""
MIN_BACKLOG_S = 1.0
BACKLOG_SERVICE_TIMES = 2.0
"""The measured throughput is used once requests have waited without interruption for MIN_BACKLOG_S
and for BACKLOG_SERVICE_TIMES times the usual service time."""
MEASURED_TOLERANCE = 1.2
"""Factor on the measured throughput; at 1 a node could never find out that its servers became
faster."""


@attrs.define
class ThroughputMeter:
    """Counts completed requests in a sliding window of fixed buckets.

    The throughput that a node gets from shared servers does not follow from their limits. It is
    measured while the node always has more requests to send.
    """

    backlogged_since: float = math.inf
    _index: int = 0
    _counts: list[int] = attrs.field(factory=lambda: [0] * BUCKETS)

    def on_completed(self, now: float) -> None:
        """Count one request that was completed."""
        self._advance(now)
        self._counts[self._index % BUCKETS] += 1

    def on_backlog(self, waiting: int, now: float) -> None:
        """Record how many requests wait for a busy server."""
        if not waiting:
            self.backlogged_since = math.inf
        elif math.isinf(self.backlogged_since):
            self.backlogged_since = now

    def bounded_rate_per_s(self, rate_per_s: float, service_s: float, now: float) -> float:
        """Return the estimated rate, limited to the measured one after a long enough backlog."""
        backlogged_s = now - self.backlogged_since
        if backlogged_s < max(MIN_BACKLOG_S, service_s * BACKLOG_SERVICE_TIMES):
            return rate_per_s
        self._advance(now)
        window_s = min(BUCKETS * BUCKET_S, backlogged_s)
        covered = min(BUCKETS, max(1, round(window_s / BUCKET_S)))
        newest_counts = [self._counts[(self._index - age) % BUCKETS] for age in range(covered)]
        measured = (sum(newest_counts) + 1) / window_s * MEASURED_TOLERANCE
        return min(rate_per_s, measured)

    def _advance(self, now: float) -> None:
        index = int(now / BUCKET_S)
        for elapsed in range(self._index + 1, min(index, self._index + BUCKETS) + 1):
            self._counts[elapsed % BUCKETS] = 0
        if index > self._index + BUCKETS:
            self._counts = [0] * BUCKETS
        self._index = max(self._index, index)
