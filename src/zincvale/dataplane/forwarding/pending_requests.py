"""The queue of requests that no server can take now: their order, and how long each may wait.

A request is refused here either at once, when `max_wait_s` finds that waiting cannot help
(`PendingRequestQueue.add` returns None), or when its wait has expired (`dispatch`). In both cases
`Retry-After` is `retry_after_s`. Refusals for other causes have constants of their own, listed
under "What `Retry-After` is made of" in docs/operators/on-call.md.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import attrs

from zincvale.dataplane.forwarding.dialect import Prompt
from zincvale.dataplane.forwarding.policies import NoServerReason, ServerChoice
from zincvale.model.forwarding import ForwardPool, ForwardRoute

LOAD_OVERHEAD_S = 0.5
"""Expected time in addition to a model's declared load time, for sending the order to load it and
reporting the end of the load."""
LOAD_WAIT_FACTOR = 1.6
"""A request waits for a model for at most this multiple of the expected load time."""
ADAPTER_LOAD_S = 0.3
"""Expected time of an adapter's load with its overhead, until one was measured."""
ADAPTER_WAIT_FACTOR = 4.0
"""A request waits for an adapter for at most this multiple of the expected load time, since the
load may queue behind a load of model weights at the same server."""
SHORTER_WAIT_WEIGHT = 0.3
LONGER_WAIT_WEIGHT = 0.05
"""Weights of a new wait in the moving minimum of the observed waits, depending on whether it is
shorter or longer than that minimum."""
BUSY_WAIT_FRACTION = 0.25
"""Fraction of the route's latency objective for which a request waits for a free slot, and after
which a refused caller should retry."""
MAX_WAIT_FRACTION = 0.6
"""Fraction of the time until its deadline that a request may wait; the response needs the rest."""
MIN_WAIT_S = 0.05
"""A request that may wait for less is refused at once: no load and no response ends so soon."""
NO_SERVER_WAIT_S = 0.5
"""How long a request waits for a pool without servers. The only server may have restarted, and be
listed again in the next version of the directory."""
MIN_RETRY_AFTER_S = 0.1
"""The smallest `Retry-After`: callers that retry sooner meet the same state and add load."""
LOAD_REASONS = frozenset({NoServerReason.NOT_RESIDENT, NoServerReason.NO_ADAPTER})


@attrs.frozen
class ServerRequirements:
    """What a server must satisfy to take one request.

    Attributes
    ----------
    deadline_at : when the caller's deadline or the route's timeout ends, whichever is first.
    """

    route: ForwardRoute
    pool: str
    prompt: Prompt | None
    excluded: frozenset[str]
    deadline_at: float


OnServerFound = Callable[[ServerChoice], None]
OnExpired = Callable[[NoServerReason, float], None]


@attrs.define(eq=False)
class PendingRequest:
    """One request in the queue.

    Attributes
    ----------
    is_first_for_load : no other pending request needed the same load when this one was queued, so
        that its wait shows how long the load takes.
    """

    requirements: ServerRequirements
    reason: NoServerReason
    expires_at: float
    on_server_found: OnServerFound
    on_expired: OnExpired
    sort_key: tuple[int, int]
    pending_since: float
    is_first_for_load: bool


@attrs.define
class LoadWaitEstimator:
    """Estimates how long a wait for a load lasts, from the observed waits by pool and reason.

    The estimate follows the short waits: model weights on a server's own disk load much sooner than
    declared, and a request that can be served from there should wait.
    """

    _short_wait_s: dict[tuple[str, NoServerReason], float] = attrs.field(factory=dict)

    def record(self, pool: str, reason: NoServerReason, waited_s: float) -> None:
        """Record a wait that ended because a server was found."""
        known = self._short_wait_s.get((pool, reason))
        if known is None:
            self._short_wait_s[pool, reason] = waited_s
            return
        weight = SHORTER_WAIT_WEIGHT if waited_s < known else LONGER_WAIT_WEIGHT
        self._short_wait_s[pool, reason] = known + weight * (waited_s - known)

    def estimate_s(self, pool: str, reason: NoServerReason, expected_s: float) -> float:
        """Return how soon a wait may end: the learned time, at most `expected_s`."""
        return min(expected_s, self._short_wait_s.get((pool, reason), expected_s))


def max_wait_s(
    requirements: ServerRequirements,
    reason: NoServerReason,
    pool: ForwardPool | None,
    load_waits: LoadWaitEstimator,
    now: float,
) -> float | None:
    """Return how long a request may wait; None when it cannot be served before its deadline."""
    remaining_s = requirements.deadline_at - now
    longest_s = remaining_s * MAX_WAIT_FRACTION
    match reason:
        case NoServerReason.NOT_RESIDENT | NoServerReason.NO_ADAPTER:
            load_s = expected_load_s(requirements.prompt, pool, reason)
            if (
                load_s is None
                or load_waits.estimate_s(requirements.pool, reason, load_s) > longest_s
            ):
                return None
            is_adapter = reason is NoServerReason.NO_ADAPTER
            factor = ADAPTER_WAIT_FACTOR if is_adapter else LOAD_WAIT_FACTOR
            return min(longest_s, load_s * factor)
        case NoServerReason.BUSY:
            return min(longest_s, requirements.route.objective_s * BUSY_WAIT_FRACTION)
        case NoServerReason.NO_SERVER:
            return min(longest_s, NO_SERVER_WAIT_S)


def expected_load_s(
    prompt: Prompt | None, pool: ForwardPool | None, reason: NoServerReason
) -> float | None:
    """Return how long loading the missing model or adapter takes; None when it cannot be loaded."""
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
    load_waits: LoadWaitEstimator,
) -> float:
    """Return after how many seconds the caller should retry.

    For a missing model it is the declared load time plus `LOAD_OVERHEAD_S`, for a missing adapter
    `ADAPTER_LOAD_S`, in both cases at most the wait learned for the pool (not for the model). For
    `BUSY` and `NO_SERVER` it is a fraction of the route's latency objective. It depends neither on
    the number of pending requests nor on the progress of a load.
    """
    if reason in LOAD_REASONS:
        expected_s = expected_load_s(requirements.prompt, pool, reason) or MIN_RETRY_AFTER_S
        return max(MIN_RETRY_AFTER_S, load_waits.estimate_s(requirements.pool, reason, expected_s))
    return max(MIN_RETRY_AFTER_S, requirements.route.objective_s * BUSY_WAIT_FRACTION)


class PendingRequestQueue:
    """The pending requests, by priority (0 first) and then in the order of arrival.

    Parameters
    ----------
    pool_of : returns the declaration of the pool with a name, None when it is not declared.
    """

    def __init__(self, pool_of: Callable[[str], ForwardPool | None]) -> None:
        self._pool_of = pool_of
        self._arrival_numbers = itertools.count()
        self._pending: list[PendingRequest] = []
        self.load_waits = LoadWaitEstimator()

    def __len__(self) -> int:
        """Return how many requests are pending."""
        return len(self._pending)

    def add(
        self,
        requirements: ServerRequirements,
        reason: NoServerReason,
        on_server_found: OnServerFound,
        on_expired: OnExpired,
        now: float,
    ) -> PendingRequest | None:
        """Queue a request; returns None when waiting cannot help, so that it is refused at once."""
        max_wait = max_wait_s(
            requirements, reason, self._pool_of(requirements.pool), self.load_waits, now
        )
        if max_wait is None or max_wait < MIN_WAIT_S:
            return None
        request = PendingRequest(
            requirements,
            reason,
            now + max_wait,
            on_server_found,
            on_expired,
            (requirements.route.priority, next(self._arrival_numbers)),
            now,
            not any(
                _need_same_load(pending.requirements, requirements) for pending in self._pending
            ),
        )
        self._pending.append(request)
        self._pending.sort(key=lambda pending: pending.sort_key)
        return request

    def retry_after_s(self, reason: NoServerReason, requirements: ServerRequirements) -> float:
        """Return after how many seconds the caller of a refused request should retry."""
        return retry_after_s(
            reason, requirements, self._pool_of(requirements.pool), self.load_waits
        )

    def remove(self, request: PendingRequest) -> None:
        """Remove a request, if it is still pending."""
        if request in self._pending:
            self._pending.remove(request)

    def remove_all(self) -> list[PendingRequest]:
        """Remove and return every pending request."""
        removed, self._pending = self._pending, []
        return removed

    def next_expiry(self) -> float | None:
        """Return when the wait of the next request expires, None when none is pending."""
        return min((pending.expires_at for pending in self._pending), default=None)

    def dispatch(
        self, choose: Callable[[ServerRequirements], ServerChoice | NoServerReason], now: float
    ) -> None:
        """Assign servers to the requests that can be sent now, and expire the waits that are over.

        Callbacks may remove other pending requests, which are then skipped."""
        for request in list(self._pending):
            if request not in self._pending:
                continue
            choice = choose(request.requirements)
            if isinstance(choice, ServerChoice):
                self.remove(request)
                if request.is_first_for_load and request.reason in LOAD_REASONS:
                    self.load_waits.record(
                        request.requirements.pool, request.reason, now - request.pending_since
                    )
                request.on_server_found(choice)
            elif now >= request.expires_at:
                self.remove(request)
                request.on_expired(choice, self.retry_after_s(choice, request.requirements))


def _need_same_load(first: ServerRequirements, second: ServerRequirements) -> bool:
    if first.pool != second.pool or first.prompt is None or second.prompt is None:
        return False
    return (first.prompt.model, first.prompt.adapter) == (
        second.prompt.model,
        second.prompt.adapter,
    )
