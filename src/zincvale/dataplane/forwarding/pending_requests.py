"""Requests that wait for a server: who waits for what, for how long, and who goes first."""

from __future__ import annotations

import itertools
from collections.abc import Callable

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.policies import NoServerReason, ServerChoice
from zincvale.model.forwarding import ForwardPool, ForwardRoute

LOAD_OVERHEAD_S = 0.5
"""What a load takes beyond its own time: the order, and word of its end."""
LOAD_WAIT_FACTOR = 1.6
"""A load may take this much longer than expected before waiting for it is given up."""
ADAPTER_LOAD_S = 0.3
"""An adapter's load and what it takes beyond, until one was waited for."""
ADAPTER_WAIT_FACTOR = 4.0
"""An adapter may wait behind a load of weights at its server."""
SHORTER_WAIT_WEIGHT = 0.3
LONGER_WAIT_WEIGHT = 0.05
"""How fast the quick end of the observed waits is learned from shorter and from longer ones."""
BUSY_WAIT_FRACTION = 0.25
"""Part of the objective that a request waits for a free place."""
MAX_WAIT_FRACTION = 0.6
"""Part of the time left beyond which a wait is hopeless: the rest is needed for the answer."""
MIN_WAIT_S = 0.05
NO_SERVER_WAIT_S = 0.5
MIN_RETRY_AFTER_S = 0.1
LOAD_REASONS = frozenset({NoServerReason.NOT_RESIDENT, NoServerReason.NO_ADAPTER})


@attrs.frozen
class ServerRequirements:
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


OnFound = Callable[[ServerChoice], None]
OnGivenUp = Callable[[NoServerReason, float], None]


@attrs.define(eq=False)
class PendingRequest:
    """One request in the room.

    Attributes
    ----------
    is_first : no other request waited for the same when this one came: its wait shows how long a
        load takes.
    """

    requirements: ServerRequirements
    reason: NoServerReason
    expires_at: float
    on_server_found: OnFound
    on_expired: OnGivenUp
    order: tuple[int, int]
    since: float
    is_first: bool


@attrs.define
class LoadWaitEstimator:
    """How soon what requests waited for was there, learned by pool and kind of wait.

    The quick end of the waits is kept: weights that a server has on its own disk come much sooner
    than declared, and a wait that may end so is not hopeless.
    """

    _quick_s: dict[tuple[str, NoServerReason], float] = attrs.field(factory=dict)

    def record(self, pool: str, reason: NoServerReason, waited_s: float) -> None:
        """A wait ended with a server."""
        known = self._quick_s.get((pool, reason))
        if known is None:
            self._quick_s[pool, reason] = waited_s
            return
        weight = SHORTER_WAIT_WEIGHT if waited_s < known else LONGER_WAIT_WEIGHT
        self._quick_s[pool, reason] = known + weight * (waited_s - known)

    def estimate_s(self, pool: str, reason: NoServerReason, expected_s: float) -> float:
        """Return how soon a wait may end: as learned, at most as expected."""
        return min(expected_s, self._quick_s.get((pool, reason), expected_s))


def max_wait_s(
    requirements: ServerRequirements,
    reason: NoServerReason,
    pool: ForwardPool | None,
    waits: LoadWaitEstimator,
    now: float,
) -> float | None:
    """Return how long waiting is worth it, None when it is hopeless from the start."""
    left_s = requirements.deadline_at - now
    longest_s = left_s * MAX_WAIT_FRACTION
    match reason:
        case NoServerReason.NOT_RESIDENT | NoServerReason.NO_ADAPTER:
            load_s = expected_load_s(requirements.prompt, pool, reason)
            if load_s is None or waits.estimate_s(requirements.pool, reason, load_s) > longest_s:
                return None
            slack = ADAPTER_WAIT_FACTOR if reason is NoServerReason.NO_ADAPTER else LOAD_WAIT_FACTOR
            return min(longest_s, load_s * slack)
        case NoServerReason.BUSY:
            return min(longest_s, requirements.route.objective_s * BUSY_WAIT_FRACTION)
        case NoServerReason.NO_SERVER:
            return min(longest_s, NO_SERVER_WAIT_S)


def expected_load_s(
    prompt: Prompt | None, pool: ForwardPool | None, reason: NoServerReason
) -> float | None:
    """Return how long a load of what the prompt lacks takes; None when it cannot be loaded."""
    if prompt is None or pool is None or pool.engine is None:
        return None
    model = pool.engine.models.get(prompt.model)
    if model is None or (prompt.adapter and prompt.adapter not in model.adapters):
        return None
    return ADAPTER_LOAD_S if reason is NoServerReason.NO_ADAPTER else model.load_s + LOAD_OVERHEAD_S


def retry_after_s(
    reason: NoServerReason,
    requirements: ServerRequirements,
    pool: ForwardPool | None,
    waits: LoadWaitEstimator,
) -> float:
    """Return when the caller should come back."""
    if reason in LOAD_REASONS:
        expected_s = expected_load_s(requirements.prompt, pool, reason) or MIN_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, waits.estimate_s(requirements.pool, reason, expected_s))
    return max(MIN_RETRY_AFTER_S, requirements.route.objective_s * BUSY_WAIT_FRACTION)


class PendingRequestQueue:
    """The requests that wait, most urgent first, then in the order they came.

    Parameters
    ----------
    pool_of : returns a declared pool.
    """

    def __init__(self, pool_of: Callable[[str], ForwardPool | None]) -> None:
        self._pool_of = pool_of
        self._numbers = itertools.count()
        self._pending: list[PendingRequest] = []
        self.waits = LoadWaitEstimator()

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._pending)

    def add(
        self,
        requirements: ServerRequirements,
        reason: NoServerReason,
        on_server_found: OnFound,
        on_expired: OnGivenUp,
        now: float,
    ) -> PendingRequest | None:
        """Let a request wait; None when waiting is hopeless and it must be given up at once."""
        max_wait = max_wait_s(
            requirements, reason, self._pool_of(requirements.pool), self.waits, now
        )
        if max_wait is None or max_wait < MIN_WAIT_S:
            return None
        request = PendingRequest(
            requirements,
            reason,
            now + max_wait,
            on_server_found,
            on_expired,
            (requirements.route.priority, next(self._numbers)),
            now,
            not any(_need_same_load(each.requirements, requirements) for each in self._pending),
        )
        self._pending.append(request)
        self._pending.sort(key=lambda each: each.order)
        return request

    def retry_after_s(self, reason: NoServerReason, requirements: ServerRequirements) -> float:
        """Return when the caller of a request that is refused should come back."""
        return retry_after_s(reason, requirements, self._pool_of(requirements.pool), self.waits)

    def remove(self, request: PendingRequest) -> None:
        """Forget a request that no longer waits."""
        if request in self._pending:
            self._pending.remove(request)

    def remove_all(self) -> list[PendingRequest]:
        """Return and forget every request that waits."""
        taken, self._pending = self._pending, []
        return taken

    def next_expiry(self) -> float | None:
        """Return when the next wait is given up."""
        return min((each.expires_at for each in self._pending), default=None)

    def dispatch_pending(
        self, choose: Callable[[ServerRequirements], ServerChoice | NoServerReason], now: float
    ) -> None:
        """Give servers to those that have one now, and give up those whose patience is over."""
        for request in list(self._pending):
            if request not in self._pending:
                continue
            choice = choose(request.requirements)
            if isinstance(choice, ServerChoice):
                self.remove(request)
                if request.is_first and request.reason in LOAD_REASONS:
                    self.waits.record(
                        request.requirements.pool, request.reason, now - request.since
                    )
                request.on_server_found(choice)
            elif now >= request.expires_at:
                self.remove(request)
                request.on_expired(choice, self.retry_after_s(choice, request.requirements))


def _need_same_load(one: ServerRequirements, other: ServerRequirements) -> bool:
    if one.pool != other.pool or one.prompt is None or other.prompt is None:
        return False
    return (one.prompt.model, one.prompt.adapter) == (other.prompt.model, other.prompt.adapter)
