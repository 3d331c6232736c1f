"""The routing tables of one forwarding node: the document, the servers and the nodes.

The native request path has its own routing state (`inference.routing_state`), since its documents,
limits and measurements of servers differ."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping

import attrs

from zincvale.dataplane.forwarding.fleet_budgets import (
    RetryBudget,
    RetryConfig,
    SlowStartConfig,
    rendezvous_rank,
)
from zincvale.dataplane.forwarding.route_table import RouteTable
from zincvale.dataplane.forwarding.servers import Residency, ServerState
from zincvale.model.control_tables import Directory, Members, Role, ServerRow
from zincvale.model.forwarding import ForwardingDocument, ForwardPool
from zincvale.model.identifiers import MemberId, PoolName, ServerId, ZoneName

SLOW_START_AFTER_EVACUATION_S = 1.5
"""How much longer than the pool's cold start time a server counts as in slow start after the
evacuation of its zone has ended, because the directory reports the slow start only later."""


@attrs.frozen
class FleetLimits:
    """Limits over all nodes together, which a deployment sets outside the forwarding document."""

    retry: RetryConfig = RetryConfig()
    slow_start: SlowStartConfig = SlowStartConfig()


@attrs.define
class RoutingState:
    """All tables of one node.

    Only the event loop uses it: tables change between the steps of requests, never within one.
    """

    zone: ZoneName
    member: MemberId
    fleet_limits: FleetLimits = FleetLimits()
    document: ForwardingDocument = ForwardingDocument()
    routes: RouteTable = attrs.field(factory=RouteTable)
    servers: dict[ServerId, ServerState] = attrs.field(factory=dict)
    servers_by_pool: dict[str, list[ServerState]] = attrs.field(factory=dict)
    node_count: int = 1
    node_index: int = 0
    """This node's index among the nodes, in the order of their names."""
    _nodes: list[str] = attrs.field(factory=list)
    _retry_budgets: dict[str, RetryBudget] = attrs.field(factory=dict)
    _residencies: dict[ServerId, Residency] = attrs.field(factory=dict)
    _has_directory: bool = False

    @property
    def is_configured(self) -> bool:
        """Whether a document and a directory were applied since the start."""
        return self.document.number > 0 and self._has_directory

    def apply_document(self, document: ForwardingDocument, now: float) -> bool:
        """Apply a document; returns False, and changes nothing, when it is not newer."""
        if document.version <= self.document.version:
            return False
        reopened_zones = self.document.evacuated - document.evacuated
        if document.routes != self.document.routes:
            self.routes = RouteTable(document.routes.values())
        self.document = document
        for state in self.servers.values():
            if state.row.zone in reopened_zones:
                state.slow_start_until = max(
                    state.slow_start_until, now + self._slow_start_s(state.row)
                )
        return True

    def apply_directory(self, directory: Directory, now: float) -> None:
        """Apply a newer directory; measurements are retained for each incarnation of a server."""
        self._has_directory = True
        previous = self.servers
        self.servers = {
            server: self._merged_state(previous.get(server), row, now)
            for server, row in directory.servers.items()
        }
        self.servers_by_pool = {}
        for state in self.servers.values():
            self.servers_by_pool.setdefault(state.row.pool, []).append(state)

    def apply_residencies(self, residencies: Mapping[ServerId, Residency]) -> None:
        """Apply the residencies that the placement leader published."""
        changed = {
            server
            for server in self.servers
            if residencies.get(server) != self._residencies.get(server)
        }
        self._residencies = dict(residencies)
        for server in changed:
            state = self.servers[server]
            state.residency = self._residency_of(state.row)
            state.forget_absent()

    def apply_members(self, members: Members) -> None:
        """Apply a newer member table: the number of nodes sets this node's shares."""
        self._nodes = sorted(row.member for row in members.rows.values() if row.role is Role.NODE)
        self.node_count = max(1, len(self._nodes))
        self.node_index = bisect_left(self._nodes, self.member)

    def pool(self, name: str) -> ForwardPool | None:
        """Return the declaration of a pool, None when it is not declared."""
        return self.document.pools.get(name)

    def retry_budget(self, pool: str) -> RetryBudget:
        """Return this node's retry budget for a pool."""
        budget = self._retry_budgets.get(pool)
        if budget is None:
            budget = self._retry_budgets[pool] = RetryBudget(self.fleet_limits.retry)
        return budget

    def may_send_in_slow_start(self, state: ServerState, now: float) -> bool:
        """Whether this node may send one more request to a server in slow start."""
        pool = self.pool(state.row.pool)
        if pool is None or pool.cold_per_s <= 0:
            return True
        slow_start = self.fleet_limits.slow_start
        rank = rendezvous_rank(self.member, self._nodes, state.row.server)
        allowed = pool.cold_per_s * slow_start.factor + slow_start.slack
        return state.slow_start_limiter.may_send(allowed, rank, self.node_count, now)

    def in_service(self, pools: Iterable[str]) -> Iterable[ServerState]:
        """Return the servers of `pools` that are neither draining nor in an evacuated zone."""
        for name in pools:
            for state in self.servers_by_pool.get(name, ()):
                if not state.row.draining and state.row.zone not in self.document.evacuated:
                    yield state

    def _merged_state(self, known: ServerState | None, row: ServerRow, now: float) -> ServerState:
        if known is None or known.row.incarnation != row.incarnation:
            state = ServerState(row, self._residency_of(row))
            if row.cold_remaining_s > 0:
                state.slow_start_until = now + row.cold_remaining_s
            return state
        if row.cold_remaining_s != known.row.cold_remaining_s:
            known.slow_start_until = now + row.cold_remaining_s
        if (row.models, row.adapters) != (known.row.models, known.row.adapters):
            known.forget_absent()
        known.row = row
        known.residency = self._residency_of(row)
        return known

    def _residency_of(self, row: ServerRow) -> Residency:
        published = self._residencies.get(row.server)
        if published is not None and published.incarnation == row.incarnation:
            return published
        return Residency(row.incarnation, frozenset(row.models), frozenset(row.adapters))

    def _slow_start_s(self, row: ServerRow) -> float:
        pool = self.pool(PoolName(row.pool))
        return SLOW_START_AFTER_EVACUATION_S + (pool.cold_start_s if pool is not None else 0.0)
