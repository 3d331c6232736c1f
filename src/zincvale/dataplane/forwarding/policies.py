"""Routing policies: plug-ins behind one interface that leave servers out and price them.

A `Filter` says which servers a request must not go to, a `Scorer` what sending it there costs, in
tokens of work. Policies are pure; the time comes with the query.
"""

from __future__ import annotations

import enum
import itertools
from typing import ClassVar

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.fleet_budgets import rendezvous_weight
from zincvale.dataplane.forwarding.routing_state import RoutingState
from zincvale.dataplane.forwarding.servers import ServerState, required_names
from zincvale.model.forwarding import ForwardRoute

TOKENS_PER_S = 19_000.0
"""Prompt tokens that a server reads in a second; turns times into tokens of work."""
OTHER_ZONE_COST = 60.0
QUEUED_REQUEST_COST = 250.0
"""Work that a request of this node adds to a server for the ones that come after it."""
LATENCY_COST_FACTOR = 0.5


class NoServerReason(enum.Enum):
    """Why no server is left, which tells what to wait for."""

    NO_SERVER = "no-server"
    NOT_RESIDENT = "not-resident"
    """No server holds the model."""
    NO_ADAPTER = "no-adapter"
    """Servers hold the model, and none the adapter, which is loaded within moments."""
    BUSY = "busy"


@attrs.frozen
class RoutingQuery:
    """One routing decision."""

    route: ForwardRoute
    pool: str
    prompt: Prompt | None
    routing: RoutingState
    excluded: frozenset[str]
    now: float


class Filter:
    """Leaves servers out.

    Attributes
    ----------
    blocked : what it means for the request when this filter removes the last server.
    soft : skipped when it would remove every server: evidence that may be wrong never empties a
        pool.
    """

    name: ClassVar[str] = ""
    reason: ClassVar[NoServerReason] = NoServerReason.NO_SERVER
    soft: ClassVar[bool] = False

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether the request may go to the server."""
        raise NotImplementedError

    def reason_for_none(self, query: RoutingQuery, servers: list[ServerState]) -> NoServerReason:
        """Return what it means that none of `servers` is kept."""
        return self.reason


class Scorer:
    """Prices servers."""

    name: ClassVar[str] = ""

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the cost of each server."""
        raise NotImplementedError


class NotAttempted(Filter):
    """Servers that already refused or failed this request."""

    name = "not-tried"
    reason = NoServerReason.BUSY

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether the server was not tried."""
        return server.row.incarnation not in query.excluded


class Resident(Filter):
    """Servers that hold the model and adapter."""

    name = "resident"
    reason = NoServerReason.NOT_RESIDENT

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether what the request asks for is there."""
        return query.prompt is None or server.has_resident(query.prompt, query.now)

    def reason_for_none(self, query: RoutingQuery, servers: list[ServerState]) -> NoServerReason:
        """Tell a missing adapter from a missing model."""
        prompt = query.prompt
        if prompt is None or not prompt.adapter:
            return self.reason
        has_model = any(server.has_resident_model(prompt, query.now) for server in servers)
        return NoServerReason.NO_ADAPTER if has_model else self.reason


class NotBackingOff(Filter):
    """Servers that did not fail or refuse a moment ago."""

    name = "not-paused"
    reason = NoServerReason.BUSY
    soft = True

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether the server is not left alone."""
        return not server.is_backing_off(query.now)


class WithinSlowStartLimit(Filter):
    """Cold servers only within this node's share of what they bear."""

    name = "cold"
    reason = NoServerReason.BUSY

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether the server is warm, or takes one more request."""
        return not server.is_in_slow_start(query.now) or query.routing.may_send_in_slow_start(
            server, query.now
        )


class PromptAffinity(Scorer):
    """The tokens that the server must read: those that no cache is expected to hold.

    Nodes choose a home for the shared parts without talking, and expect them to be there; what this
    node sent lately is remembered as well. Where the shared parts are most of the prompt, all nodes
    choose the server that a rendezvous hash of the last shared part names. Else reading them once
    at each copy costs less than a queue at one of them, and the nodes spread evenly over the
    copies.
    """

    name = "prompt-affinity"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the tokens to read at each server."""
        prompt = query.prompt
        if prompt is None:
            return [0.0] * len(servers)
        total = prompt.input_tokens or sum(part.tokens for part in prompt.parts)
        shared = sum(part.tokens for part in prompt.parts[:-1])
        if 2 * shared > total:
            home = _shared_preferred_server(prompt, servers)
        else:
            home = _node_preferred_server(prompt, servers, query.routing.node_index)
        return [
            float(total - (shared if server is home else server.cached_tokens(prompt)))
            for server in servers
        ]


def _shared_preferred_server(prompt: Prompt, servers: list[ServerState]) -> ServerState | None:
    """Return the server at which all nodes expect the prompt's shared parts."""
    if len(prompt.parts) < 2:
        return None
    key = "/".join((*required_names(prompt), prompt.parts[-2].part_id))
    return max(servers, key=lambda server: rendezvous_weight(server.row.incarnation, key))


def _node_preferred_server(
    prompt: Prompt, servers: list[ServerState], node_index: int
) -> ServerState | None:
    """Return the copy that this node uses first; as many nodes use each copy first."""
    if len(prompt.parts) < 2:
        return None
    key = "/".join(required_names(prompt))
    ranked = sorted(
        servers, key=lambda server: rendezvous_weight(server.row.incarnation, key), reverse=True
    )
    return ranked[node_index % len(ranked)]


class LocalLoad(Scorer):
    """Requests of this node that are at the server, and what they still have to read.

    Other nodes are assumed to load the servers as this one does.
    """

    name = "local-load"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the work of this node's requests at each server."""
        return [
            server.outstanding * QUEUED_REQUEST_COST + server.outstanding_tokens
            for server in servers
        ]


class MeasuredLatency(Scorer):
    """How much slower than the fastest server this one answered lately."""

    name = "measured-latency"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the extra time of each server as work."""
        known = [server.latency_s for server in servers if server.latency_s > 0.0]
        least = min(known, default=0.0)
        return [
            max(0.0, server.latency_s - least) * TOKENS_PER_S * LATENCY_COST_FACTOR
            for server in servers
        ]


class ZoneDistance(Scorer):
    """Servers of other zones cost bytes between zones."""

    name = "zone-distance"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the cost of leaving this node's zone."""
        own = query.routing.zone
        return [0.0 if server.row.zone == own else OTHER_ZONE_COST for server in servers]


class SlowStartCost(Scorer):
    """Cold servers only when the others are much busier."""

    name = "cold-cost"
    COST = 4_000.0

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the cost of a slow start."""
        return [self.COST if server.is_in_slow_start(query.now) else 0.0 for server in servers]


class RoundRobin(Scorer):
    """Baseline: one server after the other."""

    name = "round-robin"

    def __init__(self) -> None:
        self._turn_counter = itertools.count()

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return 0 for the server whose turn it is."""
        turn = next(self._turn_counter) % max(1, len(servers))
        return [0.0 if place == turn else 1.0 for place in range(len(servers))]


class LeastOutstanding(Scorer):
    """Baseline: the server with the fewest requests of this node."""

    name = "least-outstanding"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the requests of this node at each server."""
        return [float(server.outstanding) for server in servers]


DEFAULT_FILTERS: tuple[type[Filter], ...] = (
    NotAttempted,
    Resident,
    NotBackingOff,
    WithinSlowStartLimit,
)
DEFAULT_SCORERS: tuple[type[Scorer], ...] = (
    PromptAffinity,
    LocalLoad,
    MeasuredLatency,
    ZoneDistance,
    SlowStartCost,
)
BASELINE_SCORERS: tuple[type[Scorer], ...] = (RoundRobin, LeastOutstanding)


def scorers_named(names: list[str]) -> list[Scorer]:
    """Return the scorers of a setting; none named means the default chain."""
    if not names:
        return [scorer() for scorer in DEFAULT_SCORERS]
    known = {scorer.name: scorer for scorer in (*DEFAULT_SCORERS, *BASELINE_SCORERS)}
    return [known[name]() for name in names]


@attrs.frozen
class ServerChoice:
    """The server that a request goes to, and what it is expected to read."""

    server: ServerState
    tokens: int


class PolicyChain:
    """Applies every filter, then takes the cheapest server."""

    def __init__(self, scorers: list[Scorer]) -> None:
        self._filters = [policy() for policy in DEFAULT_FILTERS]
        self._scorers = scorers

    def choose(self, query: RoutingQuery) -> ServerChoice | NoServerReason:
        """Return the server to send to, or why there is none."""
        servers = list(query.routing.in_service((query.pool,)))
        if not servers:
            return NoServerReason.NO_SERVER
        for policy in self._filters:
            kept = [server for server in servers if policy.accepts(query, server)]
            if not kept and policy.soft:
                continue
            if not kept:
                return policy.reason_for_none(query, servers)
            servers = kept
        return self._cheapest(query, servers)

    def _cheapest(self, query: RoutingQuery, servers: list[ServerState]) -> ServerChoice:
        totals = [0.0] * len(servers)
        for scorer in self._scorers:
            for place, cost in enumerate(scorer.costs(query, servers)):
                totals[place] += cost
        tie = [
            rendezvous_weight(query.routing.member, server.row.incarnation) for server in servers
        ]
        best = min(range(len(servers)), key=lambda place: (totals[place], tie[place]))
        return ServerChoice(servers[best], _tokens_to_read(query.prompt, servers[best]))


def _tokens_to_read(prompt: Prompt | None, server: ServerState) -> int:
    if prompt is None:
        return 0
    return max(0, prompt.input_tokens - server.cached_tokens(prompt))
