"""Demand that was not served: the requests for an item since it was last served."""

from __future__ import annotations

import enum
import math

import attrs

from zincvale.controlplane.placement.demand import DecayedCount

UNSERVED_HALF_LIFE_S = 5.0
"""Half-life of the count of requests that found no ready replica, some of which were refused."""
NEVER = -math.inf
"""A time before every time on the controller's clock."""


class PlanResult(enum.Enum):
    """Result of one attempt to plan a load; log lines show the value."""

    PLANNED = "a load is planned"
    STORE_BUSY = "the store's limits do not allow another load now"
    SERVERS_BUSY = "all servers that could take it have loads planned or running"
    NO_SERVER = "every server that may take it is full of copies in use, pinned or moving"
    NOT_WORTH = "what would leave for it is worth more"


@attrs.define(eq=False)
class UnservedDemand:
    """The requests for one item since it was last served, and what was decided about them.

    An item is served when it is requested while a replica is ready.

    Attributes
    ----------
    recent : decayed count of the requests that came while no replica was ready.
    requests : number of these requests since the item was last served, without decay.
    since : arrival of the first of them; meaningless while `requests` is 0.
    attempted_at, result : the newest attempt to plan a load of the item, and its result.
    logged_at : when it was last logged that the item is not served.
    is_in_turn : a load was planned because the item was due; see `fairness`.
    keep_until : the item's only replica is not evicted before this time, unless it has served.
    """

    recent: DecayedCount = attrs.field(factory=lambda: DecayedCount(UNSERVED_HALF_LIFE_S))
    requests: int = 0
    since: float = 0.0
    attempted_at: float = NEVER
    result: PlanResult | None = None
    logged_at: float = NEVER
    is_in_turn: bool = False
    keep_until: float = NEVER

    def record(self, requests: int, now: float) -> None:
        """Count requests that found no ready replica."""
        self.recent.add(requests, now)
        if not self.requests:
            self.since = now
        self.requests += requests

    def clear(self) -> None:
        """Forget the requests: the item was served, or is not requested any more."""
        self.requests = 0
        self.logged_at = NEVER
        self.is_in_turn = False
        self.keep_until = NEVER

    def record_attempt(self, result: PlanResult, now: float) -> None:
        """Record an attempt to plan a load of the item."""
        self.attempted_at = now
        self.result = result
