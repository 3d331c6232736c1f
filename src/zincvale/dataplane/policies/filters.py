"""Built-in filters. The texts of `reject` appear in traces."""

from __future__ import annotations

import math

from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Blocked, Filter, Query
from zincvale.model.control_tables import ServerHealth
from zincvale.model.resources import Stake

HIGH_STAKE_RESERVATION_S = 30.0
"""Capacity is reserved for high-stakes requests for so long after one was last seen in the pool."""
LIMIT_FRACTION_BY_STAKE = {Stake.LOW: 0.7, Stake.NORMAL: 0.9, Stake.HIGH: 1.0}


class ZoneFilter(Filter):
    """Excludes servers in evacuated zones."""

    name = "zone"

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return the zone when it is evacuated."""
        return f"zone {server.row.zone} is evacuated" if server.evacuated else None


class DrainFilter(Filter):
    """Excludes servers that are declared drained."""

    name = "drain"

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text when the server drains."""
        return "drained" if server.drained else None


class HealthFilter(Filter):
    """Excludes servers that probes report as down."""

    name = "health"
    soft = True

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text when the server is down."""
        return "down" if server.row.health is ServerHealth.DOWN else None


class EjectionFilter(Filter):
    """Excludes servers that outlier detection ejected on this node."""

    name = "ejection"
    soft = True

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text while the server is ejected."""
        if server.failures.ejections and server.failures.is_ejected(query.now):
            return "ejected after failures"
        return None


class ResidencyFilter(Filter):
    """Accepts servers that have the model and the adapter resident."""

    name = "residency"
    blocked = Blocked.NOT_RESIDENT

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return what is not resident."""
        question = query.request.question
        if not server.holds(question.model, query.now):
            return "model is not resident"
        if question.adapter is not None and not server.holds(question.adapter, query.now):
            return "adapter is not resident"
        return None


class ExcludedFilter(Filter):
    """Excludes servers that already failed or refused this very request.

    When only such servers are left the request is queued, and tries them again a little later.
    """

    name = "excluded"
    blocked = Blocked.BUSY

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text when the server was tried."""
        return "tried before" if server.row.server in query.excluded else None


class CapacityFilter(Filter):
    """Excludes servers that are at this node's share of their concurrency or rate.

    While high-stakes requests are present, lower stakes leave the last fraction of each limit free.
    """

    name = "capacity"
    blocked = Blocked.BUSY

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return which limit is reached."""
        if query.now < server.paused_until:
            return "cold or not reached a moment ago"
        if query.now < server.backing_off_until and query.route.stake is not Stake.HIGH:
            return "backing off after a refusal"
        limit = server.concurrency_limit(query.now)
        if query.now - query.pool.high_priority_seen_at < HIGH_STAKE_RESERVATION_S:
            limit = math.ceil(limit * LIMIT_FRACTION_BY_STAKE[query.route.stake])
        if server.outstanding + 1 > limit:
            return "concurrency limit"
        if server.rate.wait_s(query.now) > 0.0:
            return "rate limit"
        return None
