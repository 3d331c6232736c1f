"""The one interface of routing policies.

A `Filter` says which servers a request must not go to, a `Scorer` what sending it there costs.
Costs of all scorers are added up; the unit is tokens of work, so that a scorer states how much
work a preference is worth. Policies are pure: they read the tables and keep only state of their
own, they never do I/O and take the time from the query.
"""

from __future__ import annotations

import enum
from typing import ClassVar

import attrs

from zincvale.dataplane.inference.requests import CallerRequest, Question
from zincvale.dataplane.inference.routing_state import PoolState, ServerState, World
from zincvale.model.resources import RouteSpec, Stake


class Blocked(enum.Enum):
    """Why no server is left: what a request that finds none should do."""

    NO_SERVER = "no-server"
    """None is in service; wait a moment for one."""
    NOT_RESIDENT = "not-resident"
    """None holds the model or adapter; wait until it is loaded."""
    BUSY = "busy"
    """All that could are at their limits; wait in the queue."""


@attrs.frozen
class Query:
    """One routing decision: the request, its route and pool, and the time."""

    request: CallerRequest
    route: RouteSpec
    pool: PoolState
    world: World
    now: float
    excluded: frozenset[str] = frozenset()
    """Servers that already failed or refused this request."""

    @property
    def question(self) -> Question:
        """What the request asks."""
        return self.request.question

    @property
    def stake(self) -> Stake:
        """The stake of the route."""
        return self.route.stake


class Policy:
    """Base of both kinds; one instance per pool, made when the pool's policies are applied."""

    name: ClassVar[str] = ""


class Filter(Policy):
    """Leaves servers out.

    Attributes
    ----------
    blocked : what it means for the request when this filter removes the last server.
    soft : when this filter would remove every server it is skipped instead, so that evidence
        which may be wrong (health, failures) never empties a pool.
    """

    blocked: ClassVar[Blocked] = Blocked.NO_SERVER
    soft: ClassVar[bool] = False

    def reject(self, query: Query, server: ServerState) -> str | None:
        """Return why the server is left out, None to keep it."""
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
        """Note that the request goes to this server."""
