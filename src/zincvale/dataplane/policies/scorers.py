"""Built-in scorers. Costs are in tokens of work."""

from __future__ import annotations

from zincvale.dataplane.inference.routing_state import UNKNOWN_READY_SINCE, ServerState
from zincvale.dataplane.policies.base import Query, Scorer
from zincvale.dataplane.resilience.outlier_detection import slow_start_factor

OTHER_ZONE_COST_TOKENS = 32.0
"""Another zone is used when it saves this much queued work."""
LOOKUP_WORK_TOKENS = 16
"""Work that one lookup counts as."""
QUEUED_REQUEST_TOKENS = 64.0
"""Work assumed for each request of other nodes, by the server's own report."""


class LeastOutstandingScorer(Scorer):
    """Prefers the server with the least outstanding work."""

    name = "least-outstanding"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return this node's outstanding tokens and an estimate of what others sent."""
        others = max(0, server.row.running - server.outstanding)
        return server.outstanding_tokens + others * QUEUED_REQUEST_TOKENS


class ZonePreferenceScorer(Scorer):
    """Prefers servers in this node's zone, as long as they are not busier."""

    name = "zone-preference"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return a fixed cost for other zones."""
        return 0.0 if server.row.zone == query.world.zone else OTHER_ZONE_COST_TOKENS


class SlowStartScorer(Scorer):
    """Prices servers in slow start as busier, less so as they ramp up."""

    name = "slow-start"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return the outstanding work scaled up by the inverse of the slow start factor."""
        if server.ready_since == UNKNOWN_READY_SINCE:
            return 0.0
        factor = slow_start_factor(query.now - server.ready_since)
        if factor >= 1.0:
            return 0.0
        work = server.outstanding_tokens + QUEUED_REQUEST_TOKENS
        return work * (1.0 / factor - 1.0)
