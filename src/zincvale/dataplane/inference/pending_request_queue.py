"""The bounded queue of one pool: who waits for a server, in order of stake and arrival."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.policies.base import Blocked
from zincvale.model.resources import RouteSpec, Stake

PRIORITIES_HIGHEST_FIRST = (Stake.HIGH, Stake.NORMAL, Stake.LOW)


@attrs.define(eq=False)
class PendingRequest:
    """A request that wants a server.

    Attributes
    ----------
    token : identifies the request within this node.
    excluded : servers that already failed or refused it.
    blocked : why it was not placed when last tried.
    times_out_at : when it is refused at the latest.
    """

    token: int
    request: CallerRequest
    route: RouteSpec
    since: float
    times_out_at: float
    excluded: frozenset[str] = frozenset()
    blocked: Blocked = Blocked.BUSY

    @property
    def key(self) -> tuple[str, str | None, Stake]:
        """What decides whether another waiting request would be placed alike."""
        inference_request = self.request.inference_request
        return (inference_request.model, inference_request.adapter, self.route.stake)


@attrs.define
class PendingRequestQueue:
    """Waiting requests by stake; within a stake first come, first served."""

    _by_priority: dict[Stake, dict[int, PendingRequest]] = attrs.field(
        factory=lambda: {stake: {} for stake in PRIORITIES_HIGHEST_FIRST}
    )

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._by_priority.values())

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over a snapshot, highest stake first."""
        for stake in PRIORITIES_HIGHEST_FIRST:
            yield from list(self._by_priority[stake].values())

    def add(self, waiting: PendingRequest) -> None:
        """Queue a request."""
        self._by_priority[waiting.route.stake][waiting.token] = waiting

    def remove(self, token: int) -> PendingRequest | None:
        """Take a request out; None when it does not wait here."""
        for waiting in self._by_priority.values():
            found = waiting.pop(token, None)
            if found is not None:
                return found
        return None

    def busy_count(self) -> int:
        """Return how many wait because all their servers are busy."""
        return sum(1 for waiting in self if waiting.blocked is Blocked.BUSY)

    def ahead_of(self, stake: Stake) -> int:
        """Return how many would be served before a newcomer of `stake`."""
        count = 0
        for other in PRIORITIES_HIGHEST_FIRST:
            count += len(self._by_priority[other])
            if other is stake:
                return count
        return count

    def youngest_below(self, stake: Stake) -> PendingRequest | None:
        """Return the last come of the lowest stake below `stake`, None when there is none."""
        for other in reversed(PRIORITIES_HIGHEST_FIRST):
            if other is stake:
                return None
            if self._by_priority[other]:
                return next(reversed(self._by_priority[other].values()))
        return None
