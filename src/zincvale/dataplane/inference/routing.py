"""The policy chain of a pool: chooses the server of a request and records the reasons."""

from __future__ import annotations

from random import Random

import attrs

from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Blocked, Filter, Query, Scorer
from zincvale.dataplane.policies.registry import make_policy, policy_names_of
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import PoolSpec

SWAP_PROBABILITY = 0.5
"""Chance that the only two servers are compared in reverse order, so that ties favour neither."""
SAMPLED_SERVERS = 2
"""Servers sampled for comparison (power of two choices), besides those that scorers nominate."""


@attrs.frozen
class PolicyReason:
    """How one policy affected the choice of a server, for traces."""

    policy: str
    kind: str
    reason: str
    kept: int


@attrs.frozen
class Choice:
    """The server chosen for a request, and the reasons of the policies."""

    server: ServerState
    reasons: tuple[PolicyReason, ...]


@attrs.frozen
class NoChoice:
    """No server can take the request now; `blocked` says why."""

    blocked: Blocked
    reasons: tuple[PolicyReason, ...]


@attrs.define
class PolicyChain:
    """Filters and scorers of one pool, in the order in which they are applied."""

    filters: list[Filter]
    scorers: list[Scorer]
    problems: list[InvalidInputError] = attrs.field(factory=list)

    def choose(self, query: Query, random: Random, explain: bool = True) -> Choice | NoChoice:
        """Return the server for a request; with `explain`, also the reason of each policy."""
        reasons: list[PolicyReason] = []
        servers = query.pool.servers
        for policy in self.filters:
            kept, reason = _apply_filter(policy, query, servers)
            if explain and len(kept) < len(servers):
                reasons.append(PolicyReason(policy.name, "filter", reason, len(kept)))
            if not kept and policy.soft and servers:
                continue
            servers = kept
            if not servers:
                return NoChoice(policy.blocked, tuple(reasons))
        if not servers:
            return NoChoice(Blocked.NO_SERVER, tuple(reasons))
        return self._choose_cheapest(query, servers, random, reasons, explain)

    def _choose_cheapest(
        self,
        query: Query,
        servers: list[ServerState],
        random: Random,
        reasons: list[PolicyReason],
        explain: bool,
    ) -> Choice:
        candidates = self._sample_candidates(query, servers, random)
        best = candidates[0]
        best_cost = self._cost(query, best) if len(candidates) > 1 else 0.0
        for server in candidates[1:]:
            cost = self._cost(query, server)
            if cost < best_cost:
                best, best_cost = server, cost
        if explain:
            reasons += self._scorer_reasons(query, best, len(candidates))
        for scorer in self.scorers:
            scorer.on_chosen(query, best)
        return Choice(best, tuple(reasons))

    def _sample_candidates(
        self, query: Query, servers: list[ServerState], random: Random
    ) -> list[ServerState]:
        if len(servers) <= SAMPLED_SERVERS:
            candidates = list(servers)
            if len(servers) > 1 and random.random() < SWAP_PROBABILITY:
                candidates.reverse()
        else:
            candidates = random.sample(servers, SAMPLED_SERVERS)
        for scorer in self.scorers:
            nominee = scorer.nominate(query, servers)
            if nominee is not None and nominee not in candidates:
                candidates.insert(0, nominee)
        return candidates

    def _cost(self, query: Query, server: ServerState) -> float:
        return sum(scorer.cost(query, server) for scorer in self.scorers)

    def _scorer_reasons(
        self, query: Query, server: ServerState, candidate_count: int
    ) -> list[PolicyReason]:
        reasons = []
        for scorer in self.scorers:
            cost = scorer.cost(query, server)
            if cost:
                reason = f"{server.row.server} costs {cost:.0f} tokens"
                reasons.append(PolicyReason(scorer.name, "score", reason, candidate_count))
        return reasons


def build_chain(spec: PoolSpec) -> PolicyChain:
    """Return a pool's chain; policies that cannot be loaded are listed in its `problems`."""
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


def _apply_filter(
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
