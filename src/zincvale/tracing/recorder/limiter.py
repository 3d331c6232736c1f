"""Adaptive limiter that draws the head decision of new traces.

Source: "Trace sampling: head, tail, adaptive". As there: the 10 s window, the adjustment about once
a second, target / observed, the clamp, the smoothing and the starting rate. Changed: requests are
counted in a fixed number of buckets, where the source stores one deque entry per request (which
grows with the rate), and until the window is full the rate is taken over the time since the first
trace.
"""

from __future__ import annotations

import attrs

from zincvale.tracing.recorder.context import LOW_BITS_RANGE

WINDOW_S = 10.0
"""Time over which the rate of new traces is observed."""
BUCKET_S = 0.25
BUCKET_COUNT = int(WINDOW_S / BUCKET_S)
ADJUST_INTERVAL_S = 1.0
TARGET_TRACES_PER_S = 500.0
MIN_RATE = 0.001
MAX_RATE = 1.0
START_RATE = 0.05
OLD_RATE_SHARE = 0.7
NEW_RATE_SHARE = 0.3
"""Weight of the desired rate in an adjustment; the current rate has the rest."""
MIN_OBSERVED_PER_S = 0.001
"""Observed rate of new traces up to which the sampling rate is not adjusted."""
MIN_PRESSURE = 0.02
"""Smallest factor that `AdaptiveLimiter.pressure` puts on the target."""


@attrs.define(slots=True)
class AdaptiveLimiter:
    """Decides which new traces are sampled, so that about `target_per_s` of them are.

    Attributes
    ----------
    target_per_s : number of traces to sample per second.
    rate : current sampling probability, in [`min_rate`, `MAX_RATE`].
    pressure : factor on the target, in [0, 1]; backpressure of the collectors lowers it.
    """

    target_per_s: float = TARGET_TRACES_PER_S
    rate: float = START_RATE
    min_rate: float = MIN_RATE
    pressure: float = 1.0
    counted: int = 0
    """Traces decided so far, without those in the newest bucket."""
    _buckets: list[int] = attrs.field(factory=lambda: [0] * BUCKET_COUNT)
    """Traces counted in each completed bucket of the window."""
    _total: int = 0
    """Sum of the completed buckets."""
    _newest: int = 0
    """Traces counted in the newest bucket."""
    _bucket: int = -1
    """Index of the newest bucket, counted from time 0; -1 before the first trace."""
    _bucket_ends_at: float = float("-inf")
    _first_at: float = 0.0
    _adjust_at: float = float("inf")
    _bound: int = 0
    """Traces whose low identifier bits are below this number are sampled."""

    def __attrs_post_init__(self) -> None:
        self.set_rate(self.rate)

    def decide(self, trace_id_low_bits: int, now: float) -> bool:
        """Count one new trace and return whether it is sampled."""
        if now >= self._bucket_ends_at:
            self._advance(now)
        self._newest += 1
        if now >= self._adjust_at:
            self._adjust(now)
        return trace_id_low_bits < self._bound

    def set_rate(self, rate: float) -> None:
        """Sample with probability `rate` from now on."""
        self.rate = rate
        self._bound = int(rate * LOW_BITS_RANGE)

    def observed_per_s(self, now: float) -> float:
        """Return the rate of new traces over the window, or since the first trace."""
        oldest_start = self._bucket_ends_at - WINDOW_S
        covered_s = min(now - oldest_start, now - self._first_at)
        return (self._total + self._newest) / max(covered_s, BUCKET_S)

    def _advance(self, now: float) -> None:
        bucket = int(now / BUCKET_S)
        if self._bucket < 0:
            self._first_at = now
            self._adjust_at = now + ADJUST_INTERVAL_S
        else:
            self._close_buckets(min(bucket - self._bucket, BUCKET_COUNT))
        self._bucket = bucket
        self._bucket_ends_at = (bucket + 1) * BUCKET_S

    def _close_buckets(self, bucket_steps: int) -> None:
        """Complete the newest bucket, and clear the `bucket_steps` buckets that are reused."""
        self._buckets[self._bucket % BUCKET_COUNT] = self._newest
        self._total += self._newest
        self.counted += self._newest
        self._newest = 0
        for step in range(1, bucket_steps + 1):
            index = (self._bucket + step) % BUCKET_COUNT
            self._total -= self._buckets[index]
            self._buckets[index] = 0

    def _adjust(self, now: float) -> None:
        self._adjust_at = now + ADJUST_INTERVAL_S
        observed_rate = self.observed_per_s(now)
        if observed_rate <= MIN_OBSERVED_PER_S:
            return
        desired = self.target_per_s * max(self.pressure, MIN_PRESSURE) / observed_rate
        clamped = max(self.min_rate, min(MAX_RATE, desired))
        self.set_rate(OLD_RATE_SHARE * self.rate + NEW_RATE_SHARE * clamped)
