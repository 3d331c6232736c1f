"""Limits that learn: concurrency and rate per server, and a budget for retries.

All are pure; the time is passed in. Several nodes share the servers, so each node holds only its
own share and finds its size from latency and from the servers' refusals (additive increase,
multiplicative decrease).
"""

from __future__ import annotations

import math

import attrs

MIN_CONCURRENCY = 1.0
OVERLOAD_DECREASE = 0.8
LATENCY_DECREASE = 0.95
DECREASE_INTERVAL_S = 0.2
"""One burst of refusals or slow answers counts once."""
LATENCY_TOLERANCE = 2.5
"""Recent latency over its baseline that counts as queueing at the server."""
RECENT_WEIGHT = 0.1
BASELINE_RISE_WEIGHT = 0.002
BASELINE_FALL_WEIGHT = 0.2
UTILISED = 0.8
"""A limit is only learned from while at least this part of it is in use."""


@attrs.define
class AdaptiveConcurrency:
    """How many requests this node keeps at one server.

    Attributes
    ----------
    ceiling : most that configuration and the server allow.
    limit : what is allowed now, a float so that it can grow slowly.
    """

    ceiling: float
    limit: float = 0.0
    _recent_s: float = 0.0
    _baseline_s: float = 0.0
    _decreased_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        if self.limit <= 0.0:
            self.limit = max(MIN_CONCURRENCY, self.ceiling / 2)

    def set_ceiling(self, ceiling: float) -> None:
        """Apply a changed configuration."""
        self.ceiling = max(MIN_CONCURRENCY, ceiling)
        self.limit = min(self.limit, self.ceiling)

    def on_answered(self, unit_latency_s: float, outstanding: int, now: float) -> None:
        """Learn from an answer; `unit_latency_s` is the latency per unit of work."""
        self._observe(unit_latency_s)
        if outstanding < self.limit * UTILISED:
            return
        if self._recent_s > self._baseline_s * LATENCY_TOLERANCE:
            self._decrease(LATENCY_DECREASE, now)
        else:
            self.limit = min(self.ceiling, self.limit + 1.0 / self.limit)

    def on_overloaded(self, now: float) -> None:
        """Learn from an explicit refusal."""
        self._decrease(OVERLOAD_DECREASE, now)

    def _observe(self, latency_s: float) -> None:
        if self._baseline_s == 0.0:
            self._baseline_s = self._recent_s = latency_s
            return
        self._recent_s += RECENT_WEIGHT * (latency_s - self._recent_s)
        falling = latency_s < self._baseline_s
        weight = BASELINE_FALL_WEIGHT if falling else BASELINE_RISE_WEIGHT
        self._baseline_s += weight * (latency_s - self._baseline_s)

    def _decrease(self, factor: float, now: float) -> None:
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self.limit = max(MIN_CONCURRENCY, self.limit * factor)


RATE_DECREASE = 0.8
RATE_INCREASE_FRACTION = 0.2
"""Part of the ceiling that an answer adds: nodes are not equally busy, and a refusal costs little,
so a node only keeps to its share while the server really refuses."""
BURST_REQUESTS = 2.0
MIN_RATE_PER_S = 0.2
RATE_WINDOW_WEIGHT = 0.2


@attrs.define
class AdaptiveRate:
    """Token bucket for one server whose rate follows the server's refusals.

    Attributes
    ----------
    ceiling_per_s : the server's configured rate; infinite when none is configured.
    nodes : how many nodes share it.
    """

    ceiling_per_s: float
    nodes: int = 1
    rate_per_s: float = 0.0
    _tokens: float = 1.0
    _refilled_at: float = 0.0
    _decreased_at: float = -math.inf
    _interval_s: float = 1.0
    _taken_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        self.rate_per_s = self.ceiling_per_s

    def configure(self, ceiling_per_s: float, nodes: int) -> None:
        """Apply a changed rate or number of nodes and learn anew."""
        if ceiling_per_s == self.ceiling_per_s and nodes == self.nodes:
            return
        self.ceiling_per_s = ceiling_per_s
        self.nodes = max(1, nodes)
        self.rate_per_s = ceiling_per_s

    def wait_s(self, now: float) -> float:
        """Return how long until a request may leave; 0 when it may now."""
        if math.isinf(self.rate_per_s):
            return 0.0
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s

    def take(self, now: float) -> None:
        """Count a request that leaves now."""
        if not math.isinf(self.rate_per_s):
            self._refill(now)
            self._tokens -= 1.0
        if not math.isinf(self._taken_at):
            gap_s = max(1e-4, now - self._taken_at)
            self._interval_s += RATE_WINDOW_WEIGHT * (gap_s - self._interval_s)
        self._taken_at = now

    def on_answered(self) -> None:
        """Grow after an answer."""
        if not math.isinf(self.rate_per_s):
            step = RATE_INCREASE_FRACTION * self._growth_base()
            self.rate_per_s = min(self.ceiling_per_s, self.rate_per_s + step)

    def on_refused(self, now: float) -> None:
        """Shrink after a refusal for rate; without a configured rate, start from the measured."""
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        if math.isinf(self.rate_per_s):
            self.rate_per_s = 1.0 / max(self._interval_s, 1e-4)
            self._refilled_at = now
        lowest = max(MIN_RATE_PER_S, self._min_share())
        self.rate_per_s = max(lowest, self.rate_per_s * RATE_DECREASE)
        self._tokens = min(self._tokens, 0.0)

    def _growth_base(self) -> float:
        return self.rate_per_s if math.isinf(self.ceiling_per_s) else self.ceiling_per_s

    def _fair_share(self) -> float:
        return self.ceiling_per_s / self.nodes

    def _min_share(self) -> float:
        return 0.0 if math.isinf(self.ceiling_per_s) else self._fair_share() / 2

    def _refill(self, now: float) -> None:
        gained = max(0.0, now - self._refilled_at) * self.rate_per_s
        self._tokens = min(BURST_REQUESTS, self._tokens + gained)
        self._refilled_at = now


RETRY_RATIO = 0.2
RETRY_RESERVE = 10.0


@attrs.define
class RetryBudget:
    """Retries are a bounded part of the requests, with a small reserve for quiet times."""

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    _balance: float = RETRY_RESERVE

    def on_request(self) -> None:
        """Earn a part of a retry."""
        self._balance = min(self.reserve, self._balance + self.ratio)

    def take(self) -> bool:
        """Spend one retry; False when the budget is used up."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
