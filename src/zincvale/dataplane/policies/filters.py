"""Built-in filters."""

from __future__ import annotations

import math

from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Blocked, Filter, Query
from zincvale.model.resources import Stake
from zincvale.model.view import ServerHealth

HIGH_STAKE_RESERVATION_S = 30.0
"""Room is kept for high-stakes work for so long after it was last seen in the pool."""
LIMIT_FRACTION_BY_STAKE = {Stake.LOW: 0.7, Stake.NORMAL: 0.9, Stake.HIGH: 1.0}


class ZoneFilter(Filter):
    """Leaves out servers in evacuated zones."""

    name = "zone"

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return the zone when it is evacuated."""
        return f"zone {server.row.zone} is evacuated" if server.evacuated else None


class DrainFilter(Filter):
    """Leaves out servers that are declared drained."""

    name = "drain"

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Say so when the server drains."""
        return "drained" if server.drained else None


class HealthFilter(Filter):
    """Leaves out servers that probes call down."""

    name = "health"
    soft = True

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Say so when the server is down."""
        return "down" if server.row.health is ServerHealth.DOWN else None


class EjectionFilter(Filter):
    """Leaves out servers that failed this node's own requests."""

    name = "ejection"
    soft = True

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Say so while the server is ejected."""
        if server.failures.ejections and server.failures.is_ejected(query.now):
            return "ejected after failures"
        return None


class ResidencyFilter(Filter):
    """Keeps servers that hold the model and the adapter."""

    name = "residency"
    blocked = Blocked.NOT_RESIDENT

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Name what is missing."""
        question = query.request.question
        if not server.holds(question.model, query.now):
            return "model is not resident"
        if question.adapter is not None and not server.holds(question.adapter, query.now):
            return "adapter is not resident"
        return None


class ExcludedFilter(Filter):
    """Leaves out servers that already failed or refused this very request.

    When only such servers are left the request queues, and tries them again a little later.
    """

    name = "excluded"
    blocked = Blocked.BUSY

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Say so when the server was tried."""
        return "tried before" if server.row.server in query.excluded else None


class CapacityFilter(Filter):
    """Leaves out servers that are at this node's share of their concurrency or rate.

    While high-stakes work is about, lower stakes leave the last part of each limit free for it.
    """

    name = "capacity"
    blocked = Blocked.BUSY

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Name the limit that is reached."""
        if query.now < server.paused_until:
            return "cold or not reached a moment ago"
        if query.now < server.backing_off_until and query.route.stake is not Stake.HIGH:
            return "backing off after a refusal"
        limit = server.concurrency_limit(query.now)
        if query.now - query.pool.high_stake_seen_at < HIGH_STAKE_RESERVATION_S:
            limit = math.ceil(limit * LIMIT_FRACTION_BY_STAKE[query.route.stake])
        if server.outstanding + 1 > limit:
            return "concurrency limit"
        if server.rate.wait_s(query.now) > 0.0:
            return "rate limit"
        return None
