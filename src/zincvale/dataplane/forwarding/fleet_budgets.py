"""Limits that hold over all nodes together: each node uses a share that it computes by itself.

A share depends only on the number of nodes and on this node's rank among them, so that no messages
are exchanged for a request. Times are seconds on the daemon's clock.
"""

from __future__ import annotations

import math
from collections import deque

import attrs
import xxhash


@attrs.frozen
class RetryConfig:
    """How many retries a deployment allows, over all nodes.

    Attributes
    ----------
    ratio : allowed retries per request, in a window.
    slack : allowed retries beyond that, in a window.
    window_s : length of the sliding window in seconds.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_s: float = 10.0


class RetryBudget:
    """Limits the retries of one node to one pool.

    The native request path has `resilience.limits.RetryBudget`. The two are not merged: that one
    limits one node by a balance of tokens, this one keeps all nodes together within a limit in any
    sliding window.

    The node's share is `ratio` of its own requests plus its part of the slack. Only the fraction
    `SAFETY_FACTOR` of the share is used, so that the limit holds in every window, wherever it
    starts.
    """

    SAFETY_FACTOR = 0.7

    def __init__(self, config: RetryConfig) -> None:
        self._config = config
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request for the pool."""
        self._requests.append(now)
        self._discard_old(now)

    def take(self, node_count: int, now: float) -> bool:
        """Spend one retry; returns False when the budget is spent."""
        self._discard_old(now)
        config = self._config
        allowed = config.ratio * len(self._requests) + config.slack / max(1, node_count)
        if len(self._retries) + 1 > allowed * self.SAFETY_FACTOR:
            return False
        self._retries.append(now)
        return True

    def _discard_old(self, now: float) -> None:
        window_start = now - self._config.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= window_start:
                times.popleft()


@attrs.frozen
class SlowStartConfig:
    """How fast all nodes together may send to a server in slow start.

    In one second, `factor` times the pool's `cold_per_s` plus `slack` requests may arrive there.
    """

    factor: float = 1.0
    slack: float = 0.0


SLOW_START_SAFETY_FACTOR = 0.6
"""Fraction of the allowed rate that nodes use. The rest is left for partitioned nodes, which
compute their shares from an old number of nodes."""


class SlowStartLimiter:
    """Limits how often this node may send to one server in slow start.

    When a server may receive fewer requests in a second than there are nodes, the nodes that rank
    first by rendezvous hash send one request each. Otherwise all nodes share the requests evenly.
    """

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def may_send(self, allowed: float, rank: int, node_count: int, now: float) -> bool:
        """Whether one more request may be sent at `now`.

        Parameters
        ----------
        allowed : requests a second that all nodes may send together.
        rank : this node's rendezvous rank for the server; 0 is first.
        """
        usable = math.floor(allowed * SLOW_START_SAFETY_FACTOR)
        share = max(usable // max(1, node_count), 1 if rank < usable else 0)
        while self._sent and self._sent[0] <= now - 1.0:
            self._sent.popleft()
        return len(self._sent) < share

    def record_sent(self, now: float) -> None:
        """Count a request that is sent."""
        self._sent.append(now)


def rendezvous_weight(name: str, key: str) -> int:
    """Return the weight of `name` for `key`; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())


def rendezvous_rank(own: str, others: list[str], key: str) -> int:
    """Return how many of `others` have a higher weight than `own` for `key`."""
    own_weight = rendezvous_weight(own, key)
    return sum(1 for other in others if other != own and rendezvous_weight(other, key) > own_weight)
