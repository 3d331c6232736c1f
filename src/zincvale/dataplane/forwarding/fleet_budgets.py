"""Limits over all nodes: each node uses a share that it computes by itself.

A share depends only on the number of nodes and this node's rank among them, so no message is
exchanged for a request. Times are seconds on the daemon's clock.
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
    ratio : retries for each request, in a window.
    slack : retries beyond that in a window.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_s: float = 10.0


class RetryBudget:
    """The retries of one node to one pool.

    The native request path has `resilience.limits.RetryBudget`. They are not merged: that one
    bounds one node by a balance of tokens, this one keeps all nodes together within a bound in any
    sliding window.

    The node's share is `ratio` of the requests it saw itself, plus its part of the slack. Only
    `SAFETY` of either is used: the bound holds in every window, wherever it starts.
    """

    SAFETY = 0.7

    def __init__(self, config: RetryConfig) -> None:
        self._config = config
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request for the pool."""
        self._requests.append(now)
        self._forget(now)

    def take(self, node_count: int, now: float) -> bool:
        """Spend one retry; False when the budget is spent."""
        self._forget(now)
        config = self._config
        allowed = config.ratio * len(self._requests) + config.slack / max(1, node_count)
        if len(self._retries) + 1 > allowed * self.SAFETY:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        since = now - self._config.window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= since:
                times.popleft()


@attrs.frozen
class SlowStartConfig:
    """How fast all nodes together may send to a server in slow start.

    `factor` times the pool's `cold_per_s` plus `slack` may arrive in one second.
    """

    factor: float = 1.0
    slack: float = 0.0


SLOW_START_SAFETY_FACTOR = 0.6
"""Partitioned nodes compute their shares from an old number of nodes; the rest is left for them."""


class SlowStartLimiter:
    """When this node may send to one server in slow start.

    The requests allowed in a second go to as many nodes, by rendezvous hash, one request each;
    fewer nodes than requests share them evenly.
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
    """Return how many of `others` come before `own` for `key`."""
    mine = rendezvous_weight(own, key)
    return sum(1 for other in others if other != own and rendezvous_weight(other, key) > mine)
