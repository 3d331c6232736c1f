"""The public interface of routing policies (docs/write-a-policy.md).

This module and its names are used by third parties and do not change. `forwarding.policies` has an
interface of its own; they are not merged, since a filter here gives a text for traces and a scorer
prices one server of a sample and may nominate one, while forwarding prices all servers at once and
reads other tables.

A `Filter` says which servers a request must not go to, a `Scorer` what sending it there costs.
Costs of all scorers are added up; the unit is tokens of work, so that a scorer states how much
work a preference is worth. Policies are pure: they read the tables and keep only state of their
own, they never do I/O and take the time from the query.
"""

from __future__ import annotations

import enum
from typing import ClassVar

import attrs

from zincvale.dataplane.inference.requests import CallerRequest, InferenceRequest
from zincvale.dataplane.inference.routing_state import PoolState, RoutingState, ServerState
from zincvale.model.resources import RouteSpec, Stake


class Blocked(enum.Enum):
    """Why no server is left: what a request without a server does."""

    NO_SERVER = "no-server"
    """No server is in service; the request waits a moment for one."""
    NOT_RESIDENT = "not-resident"
    """No server has the model or adapter resident; the request waits for its load."""
    BUSY = "busy"
    """All suitable servers are at their limits; the request waits in the queue."""


@attrs.frozen
class Query:
    """One routing decision: the request, its route and pool, and the time."""

    request: CallerRequest
    route: RouteSpec
    pool: PoolState
    world: RoutingState
    now: float
    excluded: frozenset[str] = frozenset()
    """Servers that already failed or refused this request."""

    @property
    def question(self) -> InferenceRequest:
        """The inference request."""
        return self.request.question

    @property
    def stake(self) -> Stake:
        """The declared priority (stake) of the route."""
        return self.route.stake


class Policy:
    """Base of both kinds; one instance per pool, made when the pool's policies are applied."""

    name: ClassVar[str] = ""


class Filter(Policy):
    """Excludes servers.

    Attributes
    ----------
    blocked : what it means for the request when this filter removes the last server.
    soft : when this filter would remove every server it is skipped instead, so that evidence
        which may be wrong (health, failures) never empties a pool.
    """

    blocked: ClassVar[Blocked] = Blocked.NO_SERVER
    soft: ClassVar[bool] = False

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return why the server is excluded, None to accept it."""
        raise NotImplementedError


class Scorer(Policy):
    """Prices servers."""

    def nominate(self, query: Query, servers: list[ServerState]) -> ServerState | None:
        """Return a server that must be among those compared, if there is one.

        Only a sample of the servers is compared (power of two choices), so a scorer whose
        preference is for one particular server names it here.
        """
        return None

    def cost(self, query: Query, server: ServerState) -> float:
        """Return the cost, in tokens of work, of sending the request to this server."""
        raise NotImplementedError

    def on_chosen(self, query: Query, server: ServerState) -> None:
        """Update the scorer's state: the request is sent to this server."""
