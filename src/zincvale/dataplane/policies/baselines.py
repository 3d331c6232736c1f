"""Baseline policies to compare with: round robin, random and least connections.

Each decides alone: it nominates one server and gives every other a prohibitive cost.
"""

from __future__ import annotations

from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Query, Scorer

NOT_NOMINATED_COST_TOKENS = 1e9
"""Must exceed the sum of all other scorers' costs."""


class NominatingScorer(Scorer):
    """Base of the baselines: the last nominee costs nothing."""

    def __init__(self) -> None:
        self._nominee: ServerState | None = None

    def nominate(self, query: Query, servers: list[ServerState]) -> ServerState | None:
        """Return the one server that this policy chooses."""
        self._nominee = self.pick(query, servers)
        return self._nominee

    def pick(self, query: Query, servers: list[ServerState]) -> ServerState:
        """Return the server to nominate; `servers` is not empty."""
        raise NotImplementedError

    def cost(self, query: Query, server: ServerState) -> float:
        """Return nothing for the nominee."""
        return 0.0 if server is self._nominee else NOT_NOMINATED_COST_TOKENS


class RoundRobinScorer(NominatingScorer):
    """Chooses the servers in turn."""

    name = "round-robin"

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0

    def pick(self, query: Query, servers: list[ServerState]) -> ServerState:
        """Return the next server in the order of names."""
        self._turn += 1
        in_order = sorted(servers, key=lambda server: server.row.server)
        return in_order[self._turn % len(in_order)]


class LeastConnectionsScorer(NominatingScorer):
    """Chooses the server with the fewest requests of this node."""

    name = "least-connections"

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0

    def pick(self, query: Query, servers: list[ServerState]) -> ServerState:
        """Return the server with the fewest requests, in turn among equals."""
        self._turn += 1
        fewest = min(server.outstanding for server in servers)
        equals = [server for server in servers if server.outstanding == fewest]
        return equals[self._turn % len(equals)]


class RandomScorer(Scorer):
    """Chooses at random: the two sampled servers cost the same."""

    name = "random"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return the same for all."""
        return 0.0
