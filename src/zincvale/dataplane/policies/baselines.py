"""Baseline policies for comparisons: round robin, random and least connections.

Round robin and least connections decide alone: they nominate one server and give every other a
prohibitive cost. Random gives all servers the same cost.
"""

from __future__ import annotations

from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Query, Scorer

NOT_NOMINATED_COST_TOKENS = 1e9
"""Cost of each server that is not nominated; must exceed the sum of all other scorers' costs."""


class NominatingScorer(Scorer):
    """Base class of baselines that nominate one server: only the last nominee costs nothing."""

    def __init__(self) -> None:
        self._nominee: ServerState | None = None

    def nominate(self, query: Query, servers: list[ServerState]) -> ServerState | None:
        """Return the server that this policy chooses."""
        self._nominee = self.pick(query, servers)
        return self._nominee

    def pick(self, query: Query, servers: list[ServerState]) -> ServerState:
        """Return the server to nominate; `servers` is not empty."""
        raise NotImplementedError

    def cost(self, query: Query, server: ServerState) -> float:
        """Return 0 for the nominee and a prohibitive cost for each other server."""
        return 0.0 if server is self._nominee else NOT_NOMINATED_COST_TOKENS


class RoundRobinScorer(NominatingScorer):
    """Chooses the servers in turn."""

    name = "round-robin"

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0

    def pick(self, query: Query, servers: list[ServerState]) -> ServerState:
        """Return the next server in the order of their names."""
        self._turn += 1
        in_order = sorted(servers, key=lambda server: server.row.server)
        return in_order[self._turn % len(in_order)]


class LeastConnectionsScorer(NominatingScorer):
    """Chooses the server with the fewest outstanding requests of this node."""

    name = "least-connections"

    def __init__(self) -> None:
        super().__init__()
        self._turn = 0

    def pick(self, query: Query, servers: list[ServerState]) -> ServerState:
        """Return the server with the fewest outstanding requests; ties are broken in turn."""
        self._turn += 1
        fewest = min(server.outstanding for server in servers)
        tied = [server for server in servers if server.outstanding == fewest]
        return tied[self._turn % len(tied)]


class RandomScorer(Scorer):
    """Chooses at random: the servers of the random sample cost the same."""

    name = "random"

    def cost(self, query: Query, server: ServerState) -> float:
        """Return the same cost for all servers."""
        return 0.0
