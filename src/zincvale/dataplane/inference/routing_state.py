"""Tables that the request path reads: the intent, the directory, the members, and this node's own
measurements of each server.
"""

from __future__ import annotations

import math

import attrs
import xxhash

from zincvale.dataplane.resilience.limits import AdaptiveConcurrency, AdaptiveRate, RetryBudget
from zincvale.dataplane.resilience.outlier_detection import OutlierDetector, slow_start_factor
from zincvale.dataplane.resilience.throughput import ThroughputMeter
from zincvale.model.control_tables import (
    Directory,
    Intent,
    MemberRow,
    Members,
    Role,
    ServerHealth,
    ServerRow,
)
from zincvale.model.identifiers import MemberId, PoolName, RouteName, ServerId, ZoneName
from zincvale.model.resources import PoolSpec, RouteSpec

NOT_RESIDENT_TTL_S = 2.0
"""How long a server's refusal as "not resident" overrides a directory that lists the model."""
LATENCY_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of the latency."""
COLD_PAUSE_S = 1.0
"""How long nothing is sent to a server after it refused a request because it is cold."""
INITIAL_RECONNECT_PAUSE_S = 0.1
MAX_RECONNECT_PAUSE_S = 1.0
"""Bounds of the pause after a failed connection; it doubles with each failure in a row."""
MIN_BACK_OFF_S = 0.05
MAX_BACK_OFF_S = 0.5
"""Bounds of the pause after a refusal for overload."""
INITIAL_LIMIT_SHARE_FACTOR = 1.5
MIN_INITIAL_LIMIT = 2.0
"""A new server's concurrency limit starts at INITIAL_LIMIT_SHARE_FACTOR times this node's even
share, but not below MIN_INITIAL_LIMIT."""
UNKNOWN_READY_SINCE = -math.inf
"""Value of `ready_since` of a server that is not in slow start, because it was ready when this node
first saw it or has warmed up since."""


@attrs.frozen
class NodeShare:
    """This node's rank among the nodes that share a server.

    Every node computes the same ranking (rendezvous hash of member and server), so the shares add
    up to the total without any coordination.
    """

    rank: int = 0
    nodes: int = 1

    def of(self, total: int) -> int:
        """Return this node's share of `total` slots."""
        base, remainder = divmod(total, self.nodes)
        return base + (1 if self.rank < remainder else 0)


@attrs.define(eq=False)
class ServerState:
    """One server: its directory row and this node's own measurements.

    `outstanding` counts this node's requests at the server, `outstanding_tokens` their estimated
    work; `ready_since` is when its present incarnation was first seen able to serve.
    """

    row: ServerRow
    concurrency: AdaptiveConcurrency
    rate: AdaptiveRate
    failures: OutlierDetector = attrs.field(factory=OutlierDetector)
    outstanding: int = 0
    outstanding_tokens: int = 0
    latency_s: float = 0.0
    ready_since: float = UNKNOWN_READY_SINCE
    backing_off_until: float = -math.inf
    """Time until which only high-stake requests are sent, after a refusal for overload."""
    paused_until: float = -math.inf
    """Time until which nothing is sent: the server was cold or could not be reached."""
    share: NodeShare = NodeShare()
    absent_until: dict[str, float] = attrs.field(factory=dict)
    evacuated: bool = False
    drained: bool = False

    @property
    def server(self) -> ServerId:
        """The server's identifier."""
        return self.row.server

    def holds(self, name: str, now: float) -> bool:
        """Whether the model or adapter `name` can be requested here now."""
        row = self.row
        if name not in row.models and name not in row.adapters:
            return False
        if name in row.closing:
            return False
        return not self.absent_until or now >= self.absent_until.get(name, -math.inf)

    def mark_absent(self, name: str, now: float) -> None:
        """Record that the server refused a request because `name` is not resident there."""
        self.absent_until[name] = now + NOT_RESIDENT_TTL_S

    def back_off(self, now: float) -> None:
        """Send only high-stake requests for about the time in which one slot becomes free."""
        pause_s = self.latency_s / max(1.0, self.concurrency.ceiling)
        self.backing_off_until = now + min(MAX_BACK_OFF_S, max(MIN_BACK_OFF_S, pause_s))

    def on_cold(self, now: float) -> None:
        """Restart slow start and pause, because the server refused a request as cold."""
        self.ready_since = now
        self.paused_until = now + COLD_PAUSE_S

    def on_not_connected(self, now: float) -> None:
        """Pause after a failed connection; the pause doubles with each failure in a row."""
        pause_s = INITIAL_RECONNECT_PAUSE_S * 2**self.failures.consecutive_failures
        self.paused_until = now + min(MAX_RECONNECT_PAUSE_S, pause_s)

    def concurrency_limit(self, now: float) -> float:
        """Return how many requests this node may have in flight here now, slow start included.

        During slow start all nodes together stay within the server's ramp, each with its share of
        it; while the ramp allows fewer requests than there are nodes, some nodes may send none.
        """
        limit = self.concurrency.limit
        if self.ready_since == UNKNOWN_READY_SINCE:
            return limit
        ramp_fraction = slow_start_factor(now - self.ready_since)
        if self.row.health is ServerHealth.COLD and self.row.max_running:
            # The limit that a cold server reports already follows its ramp.
            ramp_fraction = 1.0
        elif ramp_fraction >= 1.0:
            return limit
        allowed = max(1, int(self.concurrency.ceiling * ramp_fraction))
        return min(limit, float(self.share.of(allowed)))

    def on_latency(self, seconds: float) -> None:
        """Add a measured latency to the moving average."""
        if self.latency_s == 0.0:
            self.latency_s = seconds
        else:
            self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)


@attrs.define(eq=False)
class PoolState:
    """One pool: its declared limits, its servers and this node's retry budget and throughput."""

    name: PoolName
    spec: PoolSpec
    servers: list[ServerState] = attrs.field(factory=list)
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)
    high_priority_seen_at: float = -math.inf
    throughput: ThroughputMeter = attrs.field(factory=ThroughputMeter)


@attrs.define
class RoutingState:
    """All tables of one node, and what it measured at the servers."""

    zone: ZoneName
    member: MemberId = MemberId("")
    intent: Intent = attrs.field(factory=Intent)
    directory: Directory = attrs.field(factory=Directory)
    members: Members = attrs.field(factory=Members)
    servers: dict[ServerId, ServerState] = attrs.field(factory=dict)
    pools: dict[PoolName, PoolState] = attrs.field(factory=dict)
    route_by_path: dict[str, tuple[RouteName, RouteSpec]] = attrs.field(factory=dict)
    node_count: int = 1
    _nodes: list[MemberId] = attrs.field(factory=list)

    def apply_intent(self, intent: Intent) -> bool:
        """Apply an intent at once; False when it is older than the current one."""
        if intent.version < self.intent.version:
            return False
        self.intent = intent
        self.route_by_path = {spec.path: (name, spec) for name, spec in intent.routes.items()}
        self._rebuild_pools()
        return True

    def apply_directory(self, directory: Directory, now: float) -> bool:
        """Apply a directory; False when it is older than the current one.

        Local measurements are kept per server; a restart or a recovery of the server clears its
        failures and begins its slow start again.
        """
        if (directory.epoch, directory.version) < (self.directory.epoch, self.directory.version):
            return False
        is_first_directory = not self.servers
        self.directory = directory
        self.servers = {
            server: self._merged_state(row, now, is_first_directory)
            for server, row in directory.servers.items()
        }
        self._rebuild_pools()
        return True

    def apply_members(self, members: Members) -> bool:
        """Apply a member table; False when it is older than the current one.

        The number of ready nodes determines this node's share of each server's limits.
        """
        if members.version < self.members.version:
            return False
        self.members = members
        self._nodes = sorted(row.member for row in members.rows.values() if _is_node(row))
        self.node_count = max(1, len(self._nodes))
        self._configure_servers()
        return True

    def pool_of(self, route: RouteSpec) -> PoolState | None:
        """Return the pool of a route, None when it is not declared."""
        return self.pools.get(PoolName(route.pool))

    def zone_evacuated(self, zone: ZoneName) -> bool:
        """Whether the intent declares `zone` as evacuated."""
        spec = self.intent.zones.get(zone)
        return spec is not None and spec.evacuated

    def _merged_state(self, row: ServerRow, now: float, is_first_directory: bool) -> ServerState:
        state = self.servers.get(row.server)
        if state is None:
            state = ServerState(row, AdaptiveConcurrency(1.0), AdaptiveRate(math.inf))
            if not is_first_directory or row.health is ServerHealth.COLD:
                state.ready_since = now
            self._configure(state)
            state.concurrency.limit = self._initial_limit(state.concurrency.ceiling)
            return state
        has_restarted = row.incarnation != state.row.incarnation
        has_recovered = (
            state.row.health is ServerHealth.DOWN and row.health is not ServerHealth.DOWN
        )
        if has_restarted or has_recovered:
            state.failures = OutlierDetector()
            state.ready_since = now
            state.paused_until = -math.inf
        elif row.health is ServerHealth.COLD and not state.row.models:
            # Slow start begins when the server holds its first model, not before.
            state.ready_since = now
        elif row.health is ServerHealth.READY and state.row.health is ServerHealth.COLD:
            # The server itself reports that it has warmed up.
            state.ready_since = UNKNOWN_READY_SINCE
        if has_restarted or row.models != state.row.models or row.adapters != state.row.adapters:
            state.absent_until.clear()
        state.row = row
        return state

    def _share_of(self, server: ServerId) -> NodeShare:
        own_weight = _rendezvous_weight(self.member, server)
        others = [member for member in self._nodes if member != self.member]
        rank = sum(1 for member in others if _rendezvous_weight(member, server) > own_weight)
        return NodeShare(rank, len(others) + 1)

    def _initial_limit(self, ceiling: float) -> float:
        """Return a new server's initial limit, a bounded multiple of this node's even share."""
        share = ceiling / self.node_count * INITIAL_LIMIT_SHARE_FACTOR
        return min(ceiling, max(MIN_INITIAL_LIMIT, share))

    def _rebuild_pools(self) -> None:
        pools: dict[PoolName, PoolState] = {}
        for name, spec in self.intent.pools.items():
            pool = self.pools.get(name) or PoolState(name, spec)
            pool.spec = spec
            pool.servers = []
            pools[name] = pool
        for state in self.servers.values():
            pool_state = pools.get(state.row.pool)
            if pool_state is not None:
                pool_state.servers.append(state)
        self.pools = pools
        self._configure_servers()

    def _configure_servers(self) -> None:
        for state in self.servers.values():
            self._configure(state)

    def _configure(self, state: ServerState) -> None:
        declared = self.intent.servers.get(state.row.server)
        state.drained = declared is not None and declared.drained
        state.evacuated = self.zone_evacuated(state.row.zone)
        state.share = self._share_of(state.row.server)
        spec = self.intent.pools.get(state.row.pool)
        if spec is None:
            return
        ceiling = float(spec.max_concurrent_per_server)
        if state.row.max_running > 0:
            ceiling = min(ceiling, float(state.row.max_running))
        has_grown = ceiling > state.concurrency.ceiling
        state.concurrency.set_ceiling(ceiling)
        if has_grown:
            initial = self._initial_limit(state.concurrency.ceiling)
            state.concurrency.limit = max(state.concurrency.limit, initial)
        rate = spec.max_requests_per_second_per_server
        state.rate.configure(rate if rate > 0 else math.inf, self.node_count)


def _rendezvous_weight(member: MemberId, server: ServerId) -> int:
    return xxhash.xxh3_64_intdigest(f"{member}\0{server}".encode())


def _is_node(row: MemberRow) -> bool:
    return row.role is Role.NODE and row.ready
