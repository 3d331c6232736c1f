"""The queue of one pool: requests that wait for a server, in order of stake and arrival."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.policies.base import Blocked
from zincvale.model.resources import RouteSpec, Stake

PRIORITIES_HIGHEST_FIRST = (Stake.HIGH, Stake.NORMAL, Stake.LOW)


@attrs.define(eq=False)
class PendingRequest:
    """A request that waits for a server.

    Attributes
    ----------
    token : identifies the request within this node.
    excluded : servers that already failed or refused it.
    blocked : why it could not be placed at the last attempt.
    times_out_at : when it is rejected if it was not placed before.
    """

    token: int
    request: CallerRequest
    route: RouteSpec
    queued_at: float
    times_out_at: float
    excluded: frozenset[str] = frozenset()
    blocked: Blocked = Blocked.BUSY

    @property
    def placement_key(self) -> tuple[str, str | None, Stake]:
        """Model, adapter and stake: requests with equal keys are placed alike."""
        inference_request = self.request.inference_request
        return (inference_request.model, inference_request.adapter, self.route.stake)


@attrs.define
class PendingRequestQueue:
    """Pending requests by stake; within a stake, first in, first out."""

    _by_priority: dict[Stake, dict[int, PendingRequest]] = attrs.field(
        factory=lambda: {stake: {} for stake in PRIORITIES_HIGHEST_FIRST}
    )

    def __len__(self) -> int:
        return sum(len(requests) for requests in self._by_priority.values())

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over a snapshot, highest stake first."""
        for stake in PRIORITIES_HIGHEST_FIRST:
            yield from list(self._by_priority[stake].values())

    def add(self, pending: PendingRequest) -> None:
        """Append a request to the queue of its stake."""
        self._by_priority[pending.route.stake][pending.token] = pending

    def remove(self, token: int) -> PendingRequest | None:
        """Remove and return a request, None when it is not queued here."""
        for requests in self._by_priority.values():
            found = requests.pop(token, None)
            if found is not None:
                return found
        return None

    def busy_count(self) -> int:
        """Return how many requests wait because all suitable servers are busy."""
        return sum(1 for pending in self if pending.blocked is Blocked.BUSY)

    def count_ahead_of(self, stake: Stake) -> int:
        """Return how many requests would be served before a new one of `stake`."""
        count = 0
        for other in PRIORITIES_HIGHEST_FIRST:
            count += len(self._by_priority[other])
            if other is stake:
                return count
        return count

    def newest_below(self, stake: Stake) -> PendingRequest | None:
        """Return the newest request of the lowest stake below `stake`, None when there is none."""
        for other in reversed(PRIORITIES_HIGHEST_FIRST):
            if other is stake:
                return None
            if self._by_priority[other]:
                return next(reversed(self._by_priority[other].values()))
        return None
