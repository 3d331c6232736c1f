"""Limits that all nodes keep together: each node spends a share that it works out by itself.

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
    """What a deployment allows of second sends, over all nodes.

    Attributes
    ----------
    ratio : second sends for each request, in a window.
    slack : second sends beyond that in a window.
    """

    ratio: float = 0.2
    slack: float = 20.0
    window_s: float = 10.0


class RetryBudget:
    """Second sends of one node to one pool.

    The node's share is `ratio` of the requests it saw itself, plus its part of the slack. Only
    `SAFETY` of either is used, since windows of the terms slide.
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
        """Count a second send, if one is left."""
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
    """What a deployment allows towards a cold server, over all nodes.

    `factor` times the pool's rate plus `slack` may arrive in one second.
    """

    factor: float = 1.0
    slack: float = 0.0


SLOW_START_SAFETY_FACTOR = 0.6
"""Nodes that are cut off count by an old number of nodes; the rest is left for that."""


class SlowStartLimiter:
    """When this node may send to one cold server.

    The allowance of a second goes to as many nodes as it has requests, by rendezvous hash, one
    request each; fewer nodes than requests share it evenly.
    """

    def __init__(self) -> None:
        self._sent: deque[float] = deque()

    def may_send(self, allowed: float, rank: int, node_count: int, now: float) -> bool:
        """Whether one more request may leave at `now`.

        Parameters
        ----------
        allowed : requests a second that all nodes may send together.
        rank : this node's place for the server, 0 is first.
        """
        usable = math.floor(allowed * SLOW_START_SAFETY_FACTOR)
        share = max(usable // max(1, node_count), 1 if rank < usable else 0)
        while self._sent and self._sent[0] <= now - 1.0:
            self._sent.popleft()
        return len(self._sent) < share

    def record_sent(self, now: float) -> None:
        """Count a request that leaves."""
        self._sent.append(now)


def rendezvous_weight(name: str, key: str) -> int:
    """Return the weight of `name` for `key`; the highest weight wins."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())


def rendezvous_rank(own: str, others: list[str], key: str) -> int:
    """Return how many of `others` come before `own` for `key`."""
    mine = rendezvous_weight(own, key)
    return sum(1 for other in others if other != own and rendezvous_weight(other, key) > mine)
