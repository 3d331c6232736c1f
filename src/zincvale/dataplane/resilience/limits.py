"""Adaptive limits of concurrency and rate for each server, and a budget for retries.

All classes are pure; the time is passed in. Several nodes share the servers, so each node learns
the size of its own share from the latency and the refusals of the servers (AIMD: additive increase,
multiplicative decrease).
"""

from __future__ import annotations

import math

import attrs

MIN_CONCURRENCY = 1.0
"""The lowest limit: below 1 nothing would be sent, and no response would raise the limit again."""
OVERLOAD_DECREASE = 0.8
"""Factor on the concurrency limit after a refusal; lower values leave capacity unused."""
LATENCY_DECREASE = 0.95
"""Factor on the concurrency limit while responses are slow. It is milder, since it may be the work
itself that takes longer."""
DECREASE_INTERVAL_S = 0.2
"""The shortest time between two decreases, so that a burst of refusals or slow responses counts
once."""
LATENCY_TOLERANCE = 2.5
"""Ratio of the recent latency to its baseline above which requests seem to queue at the server."""
RECENT_WEIGHT = 0.1
"""Weight of the newest sample in the recent latency."""
BASELINE_RISE_WEIGHT = 0.002
BASELINE_FALL_WEIGHT = 0.2
"""Weights of a sample above and below the baseline. The baseline falls fast and rises slowly, so
that latency caused by queueing does not become the baseline."""
MIN_UTILISATION = 0.8
"""A response changes the limit only while at least this fraction of the limit is in use."""


@attrs.define
class AdaptiveConcurrency:
    """How many requests this node may have in flight at one server.

    Attributes
    ----------
    ceiling : the most that the configuration and the server allow.
    limit : the present limit, a float so that it can grow slowly.
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
        """Apply a changed ceiling."""
        self.ceiling = max(MIN_CONCURRENCY, ceiling)
        self.limit = min(self.limit, self.ceiling)

    def on_answered(self, unit_latency_s: float, outstanding: int, now: float) -> None:
        """Learn from a response; `unit_latency_s` is the latency per unit of work."""
        self._observe(unit_latency_s)
        if outstanding < self.limit * MIN_UTILISATION:
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
"""Fraction of the ceiling that each response adds to the rate. Nodes are not equally busy, and a
refusal costs little, so a node is limited to its share only while the server really refuses."""
BURST_REQUESTS = 2.0
"""Size of the token bucket: requests that may be sent at once after a pause."""
MIN_RATE_PER_S = 0.2
"""The lowest rate: below it, the recovery of a server would be noticed too late."""
RATE_WINDOW_WEIGHT = 0.2
"""Weight of the newest gap between two requests in the moving average of the gaps."""
MIN_GAP_S = 1e-4
"""The gap that is assumed between requests that are sent at the same time."""


@attrs.define
class AdaptiveRate:
    """Token bucket for one server, whose rate adapts to the server's refusals.

    Attributes
    ----------
    ceiling_per_s : the server's configured rate; infinite when none is configured.
    nodes : how many nodes share the server.
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
        """Apply a changed rate or number of nodes and start learning again."""
        if ceiling_per_s == self.ceiling_per_s and nodes == self.nodes:
            return
        self.ceiling_per_s = ceiling_per_s
        self.nodes = max(1, nodes)
        self.rate_per_s = ceiling_per_s

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent; 0 when it may be sent now."""
        if math.isinf(self.rate_per_s):
            return 0.0
        self._refill(now)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / self.rate_per_s

    def take(self, now: float) -> None:
        """Count a request that is sent now."""
        if not math.isinf(self.rate_per_s):
            self._refill(now)
            self._tokens -= 1.0
        if not math.isinf(self._taken_at):
            gap_s = max(MIN_GAP_S, now - self._taken_at)
            self._interval_s += RATE_WINDOW_WEIGHT * (gap_s - self._interval_s)
        self._taken_at = now

    def on_answered(self) -> None:
        """Raise the rate after a response."""
        if not math.isinf(self.rate_per_s):
            step = RATE_INCREASE_FRACTION * self._growth_base()
            self.rate_per_s = min(self.ceiling_per_s, self.rate_per_s + step)

    def on_refused(self, now: float) -> None:
        """Lower the rate after a refusal; if no rate is configured, start from the measured one."""
        if now - self._decreased_at < DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        if math.isinf(self.rate_per_s):
            self.rate_per_s = 1.0 / max(self._interval_s, MIN_GAP_S)
            self._refilled_at = now
        minimum = max(MIN_RATE_PER_S, self._min_share())
        self.rate_per_s = max(minimum, self.rate_per_s * RATE_DECREASE)
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
"""Retries that each request adds to the budget; higher values multiply the load of failing
servers."""
RETRY_RESERVE = 10.0
"""How many retries a node may send at once after a quiet time."""


@attrs.define
class RetryBudget:
    """Limits retries to a fraction of the requests, with a small reserve for quiet times.

    Forwarding has `forwarding.fleet_budgets.RetryBudget`. The two are not merged: that one keeps
    all nodes together within a limit in any sliding window, this one limits one node by a balance
    of retries."""

    ratio: float = RETRY_RATIO
    reserve: float = RETRY_RESERVE
    _balance: float = RETRY_RESERVE

    def on_request(self) -> None:
        """Add the fraction of a retry that each request earns to the balance."""
        self._balance = min(self.reserve, self._balance + self.ratio)

    def take(self) -> bool:
        """Spend one retry; returns False when the budget is spent."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
