"""Built-in filters. The texts that `reject` returns appear in traces."""

from __future__ import annotations

import math

from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Blocked, Filter, Query
from zincvale.model.control_tables import ServerHealth
from zincvale.model.resources import Stake

HIGH_STAKE_RESERVATION_S = 30.0
"""How long capacity stays reserved for high-stakes requests after the pool's last one."""
# Fraction of a server's concurrency limit that requests of each stake may use while capacity is
# reserved for high-stakes requests.
LIMIT_FRACTION_BY_STAKE = {Stake.LOW: 0.7, Stake.NORMAL: 0.9, Stake.HIGH: 1.0}


class ZoneFilter(Filter):
    """Excludes servers in evacuated zones."""

    name = "zone"

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text with the server's zone when it is evacuated."""
        return f"zone {server.row.zone} is evacuated" if server.evacuated else None


class DrainFilter(Filter):
    """Excludes servers that are declared drained."""

    name = "drain"

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text when the server is declared drained."""
        return "drained" if server.drained else None


class HealthFilter(Filter):
    """Excludes servers that probes report as down."""

    name = "health"
    soft = True

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text when probes report the server as down."""
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
        """Return a text that says whether the model or the adapter is missing."""
        question = query.request.question
        if not server.holds(question.model, query.now):
            return "model is not resident"
        if question.adapter is not None and not server.holds(question.adapter, query.now):
            return "adapter is not resident"
        return None


class ExcludedFilter(Filter):
    """Excludes servers that already failed or refused this request.

    When only such servers are left, the request is queued and sent to one of them a little later.
    """

    name = "excluded"
    blocked = Blocked.BUSY

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return a text when the request was already sent to the server."""
        return "tried before" if server.row.server in query.excluded else None


class CapacityFilter(Filter):
    """Excludes servers at which this node has used up its share of the concurrency or rate.

    While high-stakes requests are present, requests of lower stakes leave the last fraction of each
    concurrency limit free.
    """

    name = "capacity"
    blocked = Blocked.BUSY

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return which limit is reached, or why the server gets no requests at present."""
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
