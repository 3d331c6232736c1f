"""The policy chain: which server a request goes to, and why."""

from __future__ import annotations

from random import Random

import attrs

from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Blocked, Filter, Query, Scorer
from zincvale.dataplane.policies.registry import make_policy, policy_names_of
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import PoolSpec

EVEN_ODDS = 0.5
COMPARED_SERVERS = 2
"""Servers drawn at random for comparison (power of two choices), besides nominated ones."""


@attrs.frozen
class PolicyReason:
    """What one policy did, for traces."""

    policy: str
    kind: str
    reason: str
    kept: int


@attrs.frozen
class Choice:
    """The server a request goes to."""

    server: ServerState
    reasons: tuple[PolicyReason, ...]


@attrs.frozen
class NoChoice:
    """No server is left."""

    blocked: Blocked
    reasons: tuple[PolicyReason, ...]


@attrs.define
class PolicyChain:
    """Filters and scorers of one pool, in order."""

    filters: list[Filter]
    scorers: list[Scorer]
    problems: list[InvalidInputError] = attrs.field(factory=list)

    def choose(self, query: Query, random: Random, explain: bool = True) -> Choice | NoChoice:
        """Return the server for a request; `explain` collects each policy's reason."""
        reasons: list[PolicyReason] = []
        servers = query.pool.servers
        for policy in self.filters:
            kept, reason = _apply(policy, query, servers)
            if explain and len(kept) < len(servers):
                reasons.append(PolicyReason(policy.name, "filter", reason, len(kept)))
            if not kept and policy.soft and servers:
                continue
            servers = kept
            if not servers:
                return NoChoice(policy.blocked, tuple(reasons))
        if not servers:
            return NoChoice(Blocked.NO_SERVER, tuple(reasons))
        return self._cheapest(query, servers, random, reasons, explain)

    def _cheapest(
        self,
        query: Query,
        servers: list[ServerState],
        random: Random,
        reasons: list[PolicyReason],
        explain: bool,
    ) -> Choice:
        compared = self._compared(query, servers, random)
        best = compared[0]
        best_cost = self._cost(query, best) if len(compared) > 1 else 0.0
        for server in compared[1:]:
            cost = self._cost(query, server)
            if cost < best_cost:
                best, best_cost = server, cost
        if explain:
            reasons += self._score_notes(query, best, len(compared))
        for scorer in self.scorers:
            scorer.on_chosen(query, best)
        return Choice(best, tuple(reasons))

    def _compared(
        self, query: Query, servers: list[ServerState], random: Random
    ) -> list[ServerState]:
        if len(servers) <= COMPARED_SERVERS:
            compared = list(servers)
            if len(servers) > 1 and random.random() < EVEN_ODDS:
                compared.reverse()
        else:
            compared = random.sample(servers, COMPARED_SERVERS)
        for scorer in self.scorers:
            nominee = scorer.nominate(query, servers)
            if nominee is not None and nominee not in compared:
                compared.insert(0, nominee)
        return compared

    def _cost(self, query: Query, server: ServerState) -> float:
        return sum(scorer.cost(query, server) for scorer in self.scorers)

    def _score_notes(self, query: Query, server: ServerState, compared: int) -> list[PolicyReason]:
        reasons = []
        for scorer in self.scorers:
            cost = scorer.cost(query, server)
            if cost:
                reason = f"{server.row.server} costs {cost:.0f} tokens"
                reasons.append(PolicyReason(scorer.name, "score", reason, compared))
        return reasons


def build_chain(spec: PoolSpec) -> PolicyChain:
    """Return a pool's chain; policies that cannot be loaded are left out and reported in it."""
    chain = PolicyChain([], [])
    for name in policy_names_of(spec.kind, spec.policies):
        try:
            policy = make_policy(name)
        except InvalidInputError as problem:
            chain.problems.append(problem)
            continue
        if isinstance(policy, Filter):
            chain.filters.append(policy)
        elif isinstance(policy, Scorer):
            chain.scorers.append(policy)
    return chain


def _apply(
    policy: Filter, query: Query, servers: list[ServerState]
) -> tuple[list[ServerState], str]:
    kept = []
    reason = ""
    for server in servers:
        rejection = policy.reject(query, server)
        if rejection is None:
            kept.append(server)
        else:
            reason = rejection
    return kept, reason
