"""Routing policies of forwarding: filters that exclude servers, and scorers that assign costs.

A `Filter` decides which servers a request must not be sent to. A `Scorer` returns what sending it
to a server costs, in tokens of work. Policies are pure; the time is part of the query.

The native request path has an interface of its own (`dataplane.policies.base`), which is public to
third parties. The two are not merged. There, a filter returns a text for traces, and a scorer
returns the cost of one server of a sample and may nominate one. Here, a scorer returns the costs of
all servers of a pool at once, a missing adapter is distinguished from a missing model, and the
routing tables have other fields.
"""

from __future__ import annotations

import enum
import itertools
from collections.abc import Sequence
from typing import ClassVar

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.fleet_budgets import rendezvous_weight
from zincvale.dataplane.forwarding.routing_state import RoutingState
from zincvale.dataplane.forwarding.servers import ServerState, required_names
from zincvale.model.forwarding import ForwardRoute

PREFILL_TOKENS_PER_S = 19_000.0
"""How many prompt tokens a server processes in a second; converts seconds to tokens of work."""
OTHER_ZONE_COST = 60.0
"""Cost of a server in another zone: how many more tokens of work the servers in this node's zone
may have before another zone is used."""
QUEUED_REQUEST_COST = 250.0
"""Cost of each outstanding request of this node at a server, in tokens of work that delay a later
request."""
LATENCY_COST_FACTOR = 0.5
"""Fraction of a server's extra latency that counts as its cost. At 1 all nodes would move to the
fastest server together, and back again."""
MIN_PARTS_TO_SHARE = 2
"""The fewest parts of a prompt that has a shared part, since the last part is the request's own."""


class NoServerReason(enum.Enum):
    """Why no server can take a request, which decides how long it waits; callers see the value."""

    NO_SERVER = "no-server"
    """The pool has no server in service."""
    NOT_RESIDENT = "not-resident"
    """No server has the model resident."""
    NO_ADAPTER = "no-adapter"
    """Servers have the model but not the adapter, which loads much sooner than a model."""
    BUSY = "busy"
    """Every server is excluded, backing off or at its slow start limit."""


@attrs.frozen
class RoutingQuery:
    """The input of one routing decision."""

    route: ForwardRoute
    pool: str
    prompt: Prompt | None
    routing: RoutingState
    excluded: frozenset[str]
    now: float


class Filter:
    """Excludes servers that a request must not be sent to.

    Attributes
    ----------
    reason : why the request has no server, when this filter excludes the last one.
    soft : whether this filter is skipped when it would exclude every server, so that evidence that
        may be wrong never empties a pool.
    """

    name: ClassVar[str] = ""
    reason: ClassVar[NoServerReason] = NoServerReason.NO_SERVER
    soft: ClassVar[bool] = False

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether the request may be sent to the server."""
        raise NotImplementedError

    def reason_for_none(self, query: RoutingQuery, servers: list[ServerState]) -> NoServerReason:
        """Return why none of `servers` is accepted."""
        return self.reason


class Scorer:
    """Assigns a cost to each server."""

    name: ClassVar[str] = ""

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the cost of sending the request to each server, in tokens of work."""
        raise NotImplementedError


class NotAttempted(Filter):
    """Excludes servers that already refused or failed this request."""

    name = "not-tried"
    reason = NoServerReason.BUSY

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether this request was not sent to the server."""
        return server.row.incarnation not in query.excluded


class Resident(Filter):
    """Accepts servers that have the model and adapter resident."""

    name = "resident"
    reason = NoServerReason.NOT_RESIDENT

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether model and adapter of the prompt are resident."""
        return query.prompt is None or server.has_resident(query.prompt, query.now)

    def reason_for_none(self, query: RoutingQuery, servers: list[ServerState]) -> NoServerReason:
        """Distinguish a missing adapter from a missing model."""
        prompt = query.prompt
        if prompt is None or not prompt.adapter:
            return self.reason
        has_model = any(server.has_resident_model(prompt, query.now) for server in servers)
        return NoServerReason.NO_ADAPTER if has_model else self.reason


class NotBackingOff(Filter):
    """Excludes servers that failed or refused a request a moment ago."""

    name = "not-paused"
    reason = NoServerReason.BUSY
    soft = True

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether the server is not backing off."""
        return not server.is_backing_off(query.now)


class WithinSlowStartLimit(Filter):
    """Accepts a server in slow start only within this node's share of the server's limit."""

    name = "cold"
    reason = NoServerReason.BUSY

    def accepts(self, query: RoutingQuery, server: ServerState) -> bool:
        """Whether the server is out of slow start, or this node may send one more request."""
        return not server.is_in_slow_start(query.now) or query.routing.may_send_in_slow_start(
            server, query.now
        )


class PromptAffinity(Scorer):
    """The cost is the prompt tokens that the server must process: those that are not cached there.

    The prompt's shared parts are expected to be cached at a preferred server, which nodes determine
    without exchanging messages. The parts that this node sent to a server recently count as cached
    there too. Where the shared parts are most of the prompt, all nodes prefer the same server, by a
    rendezvous hash of the last shared part. Otherwise each node prefers one replica, and the
    nodes spread evenly over the replicas: processing the shared parts once at each replica costs
    less than a queue at one of them.
    """

    name = "prompt-affinity"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the prompt tokens that are not cached at each server."""
        prompt = query.prompt
        if prompt is None:
            return [0.0] * len(servers)
        total = prompt.input_tokens or sum(part.tokens for part in prompt.parts)
        shared = sum(part.tokens for part in prompt.parts[:-1])
        if 2 * shared > total:
            preferred = _shared_preferred_server(prompt, servers)
        else:
            preferred = _node_preferred_server(prompt, servers, query.routing.node_index)
        return [
            float(total - (shared if server is preferred else server.cached_tokens(prompt)))
            for server in servers
        ]


def _shared_preferred_server(prompt: Prompt, servers: list[ServerState]) -> ServerState | None:
    """Return the server at which all nodes expect the shared parts to be cached, if any."""
    if len(prompt.parts) < MIN_PARTS_TO_SHARE:
        return None
    key = "/".join((*required_names(prompt), prompt.parts[-2].part_id))
    return max(servers, key=lambda server: rendezvous_weight(server.row.incarnation, key))


def _node_preferred_server(
    prompt: Prompt, servers: list[ServerState], node_index: int
) -> ServerState | None:
    """Return the replica that this node prefers; the nodes are spread evenly over the replicas."""
    if len(prompt.parts) < MIN_PARTS_TO_SHARE:
        return None
    key = "/".join(required_names(prompt))
    ranked = sorted(
        servers, key=lambda server: rendezvous_weight(server.row.incarnation, key), reverse=True
    )
    return ranked[node_index % len(ranked)]


class LocalLoad(Scorer):
    """The cost is the work of this node's outstanding requests at the server.

    Other nodes are assumed to load the servers as this one does.
    """

    name = "local-load"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return a fixed cost per outstanding request plus the outstanding prompt tokens."""
        return [
            server.outstanding * QUEUED_REQUEST_COST + server.outstanding_tokens
            for server in servers
        ]


class MeasuredLatency(Scorer):
    """The cost is how much slower than the fastest server this one responded recently."""

    name = "measured-latency"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the extra latency of each server, converted to tokens of work."""
        measured = [server.latency_s for server in servers if server.latency_s > 0.0]
        fastest = min(measured, default=0.0)
        return [
            max(0.0, server.latency_s - fastest) * PREFILL_TOKENS_PER_S * LATENCY_COST_FACTOR
            for server in servers
        ]


class ZoneDistance(Scorer):
    """Adds a fixed cost to servers in other zones than this node's."""

    name = "zone-distance"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the cost of the zone of each server."""
        own = query.routing.zone
        return [0.0 if server.row.zone == own else OTHER_ZONE_COST for server in servers]


class SlowStartCost(Scorer):
    """Adds a fixed cost to servers in slow start: they are used when the others are much busier."""

    name = "cold-cost"
    COST = 4_000.0
    """How many more tokens of work other servers may have before a server in slow start is used."""

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the cost of the slow start of each server, 0 for those that are not in it."""
        return [self.COST if server.is_in_slow_start(query.now) else 0.0 for server in servers]


class RoundRobin(Scorer):
    """Baseline that chooses each server in turn."""

    name = "round-robin"

    def __init__(self) -> None:
        self._turn_counter = itertools.count()

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return 0 for the server whose turn it is, and 1 for the others."""
        turn = next(self._turn_counter) % max(1, len(servers))
        return [0.0 if index == turn else 1.0 for index in range(len(servers))]


class LeastOutstanding(Scorer):
    """Baseline that chooses the server with the fewest outstanding requests of this node."""

    name = "least-outstanding"

    def costs(self, query: RoutingQuery, servers: list[ServerState]) -> list[float]:
        """Return the number of outstanding requests of this node at each server."""
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


def make_scorers(names: Sequence[str]) -> list[Scorer]:
    """Return the scorers that a setting names; without names, the default scorers."""
    if not names:
        return [scorer() for scorer in DEFAULT_SCORERS]
    known = {scorer.name: scorer for scorer in (*DEFAULT_SCORERS, *BASELINE_SCORERS)}
    return [known[name]() for name in names]


@attrs.frozen
class ServerChoice:
    """The server that a request is sent to, and the prompt tokens it is expected to process."""

    server: ServerState
    tokens: int


class PolicyChain:
    """Applies every filter in order, then chooses the server with the lowest total cost."""

    def __init__(self, scorers: list[Scorer]) -> None:
        self._filters = [policy() for policy in DEFAULT_FILTERS]
        self._scorers = scorers

    def choose(self, query: RoutingQuery) -> ServerChoice | NoServerReason:
        """Return the server to send the request to, or the reason why there is none."""
        servers = list(query.routing.in_service((query.pool,)))
        if not servers:
            return NoServerReason.NO_SERVER
        for policy in self._filters:
            accepted = [server for server in servers if policy.accepts(query, server)]
            if not accepted and policy.soft:
                continue
            if not accepted:
                return policy.reason_for_none(query, servers)
            servers = accepted
        return self._cheapest(query, servers)

    def _cheapest(self, query: RoutingQuery, servers: list[ServerState]) -> ServerChoice:
        totals = [0.0] * len(servers)
        for scorer in self._scorers:
            for index, cost in enumerate(scorer.costs(query, servers)):
                totals[index] += cost
        tie_breaks = [
            rendezvous_weight(query.routing.member, server.row.incarnation) for server in servers
        ]
        best = min(range(len(servers)), key=lambda index: (totals[index], tie_breaks[index]))
        return ServerChoice(servers[best], _uncached_tokens(query.prompt, servers[best]))


def _uncached_tokens(prompt: Prompt | None, server: ServerState) -> int:
    if prompt is None:
        return 0
    return max(0, prompt.input_tokens - server.cached_tokens(prompt))
