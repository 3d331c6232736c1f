"""The public interface of routing policies (docs/write-a-policy.md).

Third parties use this module, so its names do not change. `forwarding.policies` has an interface of
its own. The two are not merged: here, a filter returns a text for traces, and a scorer returns the
cost of one server of a sample and may nominate one. There, a scorer returns the costs of all
servers at once and reads other tables.

A `Filter` decides which servers a request must not be sent to, a `Scorer` what sending it to a
server costs. The costs of all scorers are added up. Their unit is tokens of work, so that a scorer
states how much work a preference is worth. Policies are pure: they read the tables and keep only
state of their own, do no I/O and take the time from the query.
"""

from __future__ import annotations

import enum
from typing import ClassVar

import attrs

from zincvale.dataplane.inference.requests import CallerRequest, InferenceRequest
from zincvale.dataplane.inference.routing_state import PoolState, RoutingState, ServerState
from zincvale.model.resources import RouteSpec, Stake


class Blocked(enum.Enum):
    """Why no server can take a request, which decides what the request waits for."""

    NO_SERVER = "no-server"
    """No server is in service; the request waits a short time for one."""
    NOT_RESIDENT = "not-resident"
    """No server has the model or adapter resident; the request waits for its load."""
    BUSY = "busy"
    """All suitable servers are at their limits; the request waits in the queue."""


@attrs.frozen
class Query:
    """The input of one routing decision: the request, its route and pool, tables and the time."""

    request: CallerRequest
    route: RouteSpec
    pool: PoolState
    world: RoutingState
    now: float
    excluded: frozenset[str] = frozenset()
    """Servers that already failed or refused this request."""

    @property
    def question(self) -> InferenceRequest:
        """The inference request that the caller's request contains."""
        return self.request.question

    @property
    def stake(self) -> Stake:
        """The declared priority (stake) of the route."""
        return self.route.stake


class Policy:
    """Base class of filters and scorers; a pool gets new instances when its policies apply."""

    name: ClassVar[str] = ""


class Filter(Policy):
    """Excludes servers that a request must not be sent to.

    Attributes
    ----------
    blocked : why the request has no server, when this filter excludes the last one.
    soft : whether this filter is skipped when it would exclude every server, so that evidence
        that may be wrong (health, failures) never empties a pool.
    """

    blocked: ClassVar[Blocked] = Blocked.NO_SERVER
    soft: ClassVar[bool] = False

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return why the server is excluded, or None to accept it."""
        raise NotImplementedError


class Scorer(Policy):
    """Assigns a cost to each server."""

    def nominate(self, query: Query, servers: list[ServerState]) -> ServerState | None:
        """Return a server that must be among those compared, or None.

        Only a sample of the servers is compared (power of two choices), so a scorer that prefers
        one particular server returns it here.
        """
        return None

    def cost(self, query: Query, server: ServerState) -> float:
        """Return the cost, in tokens of work, of sending the request to this server."""
        raise NotImplementedError

    def on_chosen(self, query: Query, server: ServerState) -> None:
        """Update the scorer's state, since the request is sent to this server."""
