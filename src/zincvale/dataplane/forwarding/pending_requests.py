"""Requests that wait for a server: who waits for what, for how long, and who goes first."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.policies import Blocked, Chosen
from zincvale.model.forwarding import ForwardPool, ForwardRoute

LOAD_OVERHEAD_S = 0.5
"""What a load takes beyond its own time: the order, and word of its end."""
LOAD_SLACK = 1.6
"""A load may take this much longer than expected before waiting for it is given up."""
ADAPTER_LOAD_S = 0.3
"""An adapter's load and what it takes beyond, until one was waited for."""
ADAPTER_SLACK = 4.0
"""An adapter may wait behind a load of weights at its server."""
SHORTER_WAIT_WEIGHT = 0.3
LONGER_WAIT_WEIGHT = 0.05
"""How fast the quick end of the observed waits is learned from shorter and from longer ones."""
BUSY_PATIENCE_PART = 0.25
"""Part of the objective that a request waits for a free place."""
LONGEST_WAIT_PART = 0.6
"""Part of the time left beyond which a wait is hopeless: the rest is needed for the answer."""
LEAST_PATIENCE_S = 0.05
NO_SERVER_PATIENCE_S = 0.5
LEAST_RETRY_AFTER_S = 0.1
WAITS_FOR_LOAD = frozenset({Blocked.NOT_RESIDENT, Blocked.NO_ADAPTER})


@attrs.frozen
class Wanted:
    """What one request looks for.

    Attributes
    ----------
    deadline_at : when the caller's time or the route's time-out is over.
    """

    route: ForwardRoute
    pool: str
    prompt: Prompt | None
    excluded: frozenset[str]
    deadline_at: float


OnFound = Callable[[Chosen], None]
OnGivenUp = Callable[[Blocked, float], None]


@attrs.define(eq=False)
class Waiting:
    """One request in the room.

    Attributes
    ----------
    is_first : no other request waited for the same when this one came: its wait shows how long a
        load takes.
    """

    wanted: Wanted
    blocked: Blocked
    give_up_at: float
    on_found: OnFound
    on_given_up: OnGivenUp
    order: tuple[int, int]
    since: float
    is_first: bool


@attrs.define
class LoadWaits:
    """How soon what requests waited for was there, learned by pool and kind of wait.

    The quick end of the waits is kept: weights that a server has on its own disk come much sooner
    than declared, and a wait that may end so is not hopeless.
    """

    _quick_s: dict[tuple[str, Blocked], float] = attrs.field(factory=dict)

    def note(self, pool: str, blocked: Blocked, waited_s: float) -> None:
        """A wait ended with a server."""
        known = self._quick_s.get((pool, blocked))
        if known is None:
            self._quick_s[pool, blocked] = waited_s
            return
        weight = SHORTER_WAIT_WEIGHT if waited_s < known else LONGER_WAIT_WEIGHT
        self._quick_s[pool, blocked] = known + weight * (waited_s - known)

    def soonest_s(self, pool: str, blocked: Blocked, expected_s: float) -> float:
        """Return how soon a wait may end: as learned, at most as expected."""
        return min(expected_s, self._quick_s.get((pool, blocked), expected_s))


def patience_s(
    wanted: Wanted, blocked: Blocked, pool: ForwardPool | None, waits: LoadWaits, now: float
) -> float | None:
    """Return how long waiting is worth it, None when it is hopeless from the start."""
    left_s = wanted.deadline_at - now
    longest_s = left_s * LONGEST_WAIT_PART
    match blocked:
        case Blocked.NOT_RESIDENT | Blocked.NO_ADAPTER:
            load_s = expected_load_s(wanted.prompt, pool, blocked)
            if load_s is None or waits.soonest_s(wanted.pool, blocked, load_s) > longest_s:
                return None
            slack = ADAPTER_SLACK if blocked is Blocked.NO_ADAPTER else LOAD_SLACK
            return min(longest_s, load_s * slack)
        case Blocked.BUSY:
            return min(longest_s, wanted.route.objective_s * BUSY_PATIENCE_PART)
        case Blocked.NO_SERVER:
            return min(longest_s, NO_SERVER_PATIENCE_S)


def expected_load_s(
    prompt: Prompt | None, pool: ForwardPool | None, blocked: Blocked
) -> float | None:
    """Return how long a load of what the prompt lacks takes; None when it cannot be loaded."""
    if prompt is None or pool is None or pool.engine is None:
        return None
    model = pool.engine.models.get(prompt.model)
    if model is None or (prompt.adapter and prompt.adapter not in model.adapters):
        return None
    return ADAPTER_LOAD_S if blocked is Blocked.NO_ADAPTER else model.load_s + LOAD_OVERHEAD_S


def retry_after_s(
    blocked: Blocked, wanted: Wanted, pool: ForwardPool | None, waits: LoadWaits
) -> float:
    """Return when the caller should come back."""
    if blocked in WAITS_FOR_LOAD:
        expected_s = expected_load_s(wanted.prompt, pool, blocked) or LEAST_RETRY_AFTER_S
        return max(LEAST_RETRY_AFTER_S, waits.soonest_s(wanted.pool, blocked, expected_s))
    return max(LEAST_RETRY_AFTER_S, wanted.route.objective_s * BUSY_PATIENCE_PART)


class WaitingRoom:
    """The requests that wait, most urgent first, then in the order they came.

    Parameters
    ----------
    pool_of : returns a declared pool.
    """

    def __init__(self, pool_of: Callable[[str], ForwardPool | None]) -> None:
        self._pool_of = pool_of
        self._numbers = itertools.count()
        self._waiting: list[Waiting] = []
        self.waits = LoadWaits()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._waiting)

    def enter(
        self,
        wanted: Wanted,
        blocked: Blocked,
        on_found: OnFound,
        on_given_up: OnGivenUp,
        now: float,
    ) -> Waiting | None:
        """Let a request wait; None when waiting is hopeless and it must be given up at once."""
        patience = patience_s(wanted, blocked, self._pool_of(wanted.pool), self.waits, now)
        if patience is None or patience < LEAST_PATIENCE_S:
            return None
        waiting = Waiting(
            wanted,
            blocked,
            now + patience,
            on_found,
            on_given_up,
            (wanted.route.priority, next(self._numbers)),
            now,
            not any(_wait_for_the_same(each.wanted, wanted) for each in self._waiting),
        )
        self._waiting.append(waiting)
        self._waiting.sort(key=lambda each: each.order)
        return waiting

    def retry_after_s(self, blocked: Blocked, wanted: Wanted) -> float:
        """Return when the caller of a request that is refused should come back."""
        return retry_after_s(blocked, wanted, self._pool_of(wanted.pool), self.waits)

    def leave(self, waiting: Waiting) -> None:
        """Forget a request that no longer waits."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def take_all(self) -> list[Waiting]:
        """Return and forget every request that waits."""
        taken, self._waiting = self._waiting, []
        return taken

    def next_end(self) -> float | None:
        """Return when the next wait is given up."""
        return min((each.give_up_at for each in self._waiting), default=None)

    def pump(self, choose: Callable[[Wanted], Chosen | Blocked], now: float) -> None:
        """Give servers to those that have one now, and give up those whose patience is over."""
        for waiting in list(self._waiting):
            if waiting not in self._waiting:
                continue
            choice = choose(waiting.wanted)
            if isinstance(choice, Chosen):
                self.leave(waiting)
                if waiting.is_first and waiting.blocked in WAITS_FOR_LOAD:
                    self.waits.note(waiting.wanted.pool, waiting.blocked, now - waiting.since)
                waiting.on_found(choice)
            elif now >= waiting.give_up_at:
                self.leave(waiting)
                waiting.on_given_up(choice, self.retry_after_s(choice, waiting.wanted))


def _wait_for_the_same(one: Wanted, other: Wanted) -> bool:
    if one.pool != other.pool or one.prompt is None or other.prompt is None:
        return False
    return (one.prompt.model, one.prompt.adapter) == (other.prompt.model, other.prompt.adapter)
