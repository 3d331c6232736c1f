"""Built-in scorers. Costs are in tokens of work."""

from __future__ import annotations

from zincvale.dataplane.inference.routing_state import UNKNOWN_READY_SINCE, ServerState
from zincvale.dataplane.policies.base import Query, Scorer
from zincvale.dataplane.resilience.outlier_detection import slow_start_factor

OTHER_ZONE_COST_TOKENS = 32.0
"""Cost of a server in another zone, which is used when it saves this much queued work."""
LOOKUP_WORK_TOKENS = 16
"""Work that one lookup counts as, in tokens."""
QUEUED_REQUEST_TOKENS = 64.0
"""Work that is assumed for each request of other nodes; the server reports how many there are."""


class LeastOutstandingScorer(Scorer):
    """Prefers the server with the least outstanding work."""

    name = "least-outstanding"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return this node's outstanding work plus an estimate of that of other nodes."""
        others = max(0, server.row.running - server.outstanding)
        return server.outstanding_tokens + others * QUEUED_REQUEST_TOKENS


class ZonePreferenceScorer(Scorer):
    """Prefers servers in this node's zone, as long as they are not busier."""

    name = "zone-preference"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return a fixed cost for other zones."""
        return 0.0 if server.row.zone == query.world.zone else OTHER_ZONE_COST_TOKENS


class SlowStartScorer(Scorer):
    """Raises the cost of servers in slow start, less so as they ramp up."""

    name = "slow-start"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return what dividing the outstanding work by the slow start factor adds to it."""
        if server.ready_since == UNKNOWN_READY_SINCE:
            return 0.0
        factor = slow_start_factor(query.now - server.ready_since)
        if factor >= 1.0:
            return 0.0
        work = server.outstanding_tokens + QUEUED_REQUEST_TOKENS
        return work * (1.0 / factor - 1.0)
