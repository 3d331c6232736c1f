"""Admission and queueing: a request is placed on a server, queued for a bounded time or rejected.

Pure: time and randomness are passed in, and verdicts are returned instead of passed to callbacks.
A request is rejected as soon as it is known that it cannot be served in time; the rejection's retry
time says after how long a resend is likely to be served.
"""

from __future__ import annotations

from random import Random

import attrs

from zincvale.dataplane.demand import DemandKey, DemandTable
from zincvale.dataplane.inference.load_shedding import LoadShedder
from zincvale.dataplane.inference.pending_request_queue import PendingRequest, PendingRequestQueue
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.inference.routing import Choice, NoChoice, PolicyChain, build_chain
from zincvale.dataplane.inference.routing_state import PoolState, RoutingState, ServerState
from zincvale.dataplane.inference.verdicts import (
    Placed,
    Queued,
    Rejected,
    Verdict,
    bounded_rejection,
)
from zincvale.dataplane.policies.base import Blocked, Query
from zincvale.dataplane.resilience.exchange_evidence import (
    ExchangeEnd,
    ExchangeReport,
    HealthChange,
    record_dispatch,
    record_exchange_end,
)
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import PoolName, RouteName
from zincvale.model.outcomes import RefusalReason
from zincvale.model.resources import PoolKind, PoolSpec, RouteSpec, Stake

LOOKUP_WORK_TOKENS = 16
"""Estimated work of one lookup, in tokens."""
PROMPT_TOKENS_PER_WORK_TOKEN = 4
"""Prompt tokens that count as one token of work: prefill is much faster than generation."""


def work_tokens(request: CallerRequest, kind: PoolKind) -> int:
    """Return the estimated work of a request in tokens."""
    if kind is PoolKind.LOOKUP:
        return LOOKUP_WORK_TOKENS
    inference_request = request.inference_request
    return (
        inference_request.prompt_tokens // PROMPT_TOKENS_PER_WORK_TOKEN
        + inference_request.max_tokens
    )


@attrs.define
class Scheduler:
    """Queues, admission and placement for all pools of one node."""

    routing_state: RoutingState
    random: Random
    demand: DemandTable = attrs.field(factory=DemandTable)
    load_shedder: LoadShedder = attrs.field(init=False)
    may_place: bool = True
    """Whether the tables are fresh; while they may be out of date, no request is placed."""
    _queues: dict[PoolName, PendingRequestQueue] = attrs.field(factory=dict)
    _chains: dict[PoolName, tuple[PoolSpec, PolicyChain]] = attrs.field(factory=dict)
    _active_by_route: dict[RouteName, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.load_shedder = LoadShedder(self.routing_state, self.demand)

    def waiting_count(self, pool: PoolName) -> int:
        """Return how many requests wait in a pool."""
        queue = self._queues.get(pool)
        return 0 if queue is None else len(queue)

    def any_waiting(self) -> bool:
        """Whether any request waits."""
        return any(len(queue) for queue in self._queues.values())

    def admit(
        self, request: CallerRequest, route: RouteSpec, token: int, now: float
    ) -> Rejected | None:
        """Return the rejection of a request that cannot be served, None when it is admitted.

        An admitted request counts against its route's limit until `finish_request`.
        """
        pool = self.routing_state.pool_of(route)
        if pool is None:
            return bounded_rejection(
                token, RefusalReason.NO_SERVER, "the route's pool is not declared"
            )
        if route.stake is Stake.HIGH:
            pool.high_priority_seen_at = now
        pool.retry_budget.on_request()
        self._count_demand(request, pool)
        active = self._active_by_route.get(request.route, 0)
        if active >= route.max_concurrent:
            problem = f"the route is at its limit with {active} requests in progress"
            return bounded_rejection(token, RefusalReason.OVERLOADED, problem)
        self._active_by_route[request.route] = active + 1
        return None

    def finish_request(self, request: CallerRequest) -> None:
        """Stop counting an admitted request against its route's limit: it has ended."""
        active = self._active_by_route.get(request.route, 0)
        self._active_by_route[request.route] = max(0, active - 1)

    def place(
        self,
        request: CallerRequest,
        route: RouteSpec,
        token: int,
        now: float,
        excluded: frozenset[str] = frozenset(),
    ) -> list[Verdict]:
        """Return the request's verdict, after that of a queued request that it displaced."""
        pool = self.routing_state.pool_of(route)
        if pool is None:
            return [
                bounded_rejection(
                    token, RefusalReason.NO_SERVER, "the route's pool is not declared"
                )
            ]
        pending = PendingRequest(token, request, route, now, request.deadline_at, excluded)
        queue = self._queue_of(pool)
        if not self.may_place or self._would_overtake(queue, pending):
            choice: Choice | NoChoice = NoChoice(Blocked.BUSY, ())
        else:
            choice = self._choose_server(pool, pending, now)
        if isinstance(choice, Choice):
            return [self._reserve_server(pending, pool, choice, now)]
        return self._enqueue(pool, queue, pending, choice, now)

    def cancel(self, pool_name: PoolName, token: int) -> None:
        """Remove a request from its queue: its caller disconnected or its deadline passed."""
        queue = self._queues.get(pool_name)
        if queue is not None:
            self._remove(pool_name, queue, token)

    def finish_exchange(
        self, request: CallerRequest, server: ServerState, report: ExchangeReport
    ) -> tuple[HealthChange, list[Verdict]]:
        """Free the server's slot; returns its health change and the verdicts of queued requests."""
        change = record_exchange_end(server, report)
        if report.end is ExchangeEnd.ANSWERED:
            self.load_shedder.record_service_time(request.route, report.deadline_covered_s)
        inference_request = request.inference_request
        if inference_request.model:
            key = DemandKey(server.row.pool, inference_request.model, inference_request.adapter)
            self.demand.on_ended(key, server.row.server, report.units)
        pool = self.routing_state.pools.get(server.row.pool)
        if pool is None:
            return change, []
        if report.end is ExchangeEnd.ANSWERED:
            pool.throughput.on_completed(report.ended_at)
        return change, self._place_pending(pool, report.ended_at)

    def take_retry(self, route: RouteSpec) -> bool:
        """Spend a retry of the pool's budget; False when none is left and the stake is not high."""
        pool = self.routing_state.pool_of(route)
        if pool is None:
            return False
        return pool.retry_budget.take() or route.stake is Stake.HIGH

    def process_queues(self, now: float) -> list[Verdict]:
        """Place or reject queued requests; called on table changes and on each tick."""
        verdicts: list[Verdict] = []
        for name, queue in list(self._queues.items()):
            if not len(queue):
                continue
            pool = self.routing_state.pools.get(name)
            if pool is None:
                verdicts += self._reject_all(name, queue)
                continue
            verdicts += self._place_pending(pool, now)
            verdicts += self._reject_unservable(pool, queue, now)
            pool.throughput.on_backlog(queue.busy_count(), now)
        return verdicts

    def chain_problems(self) -> list[InvalidInputError]:
        """Build the policy chains of all pools; returns the errors of policies that cannot load."""
        problems: list[InvalidInputError] = []
        for pool in self.routing_state.pools.values():
            problems += self._chain_of(pool).problems
        return problems

    # placement

    def _choose_server(
        self, pool: PoolState, pending: PendingRequest, now: float
    ) -> Choice | NoChoice:
        query = Query(
            pending.request, pending.route, pool, self.routing_state, now, pending.excluded
        )
        return self._chain_of(pool).choose(query, self.random)

    def _would_overtake(self, queue: PendingRequestQueue, new_request: PendingRequest) -> bool:
        """Whether an equivalent request was queued earlier because all servers are busy."""
        if not len(queue):
            return False
        return any(
            other.blocked is Blocked.BUSY and other.placement_key == new_request.placement_key
            for other in queue
        )

    def _reserve_server(
        self, pending: PendingRequest, pool: PoolState, choice: Choice, now: float
    ) -> Placed:
        record_dispatch(choice.server, work_tokens(pending.request, pool.spec.kind), now)
        if pool.spec.kind is PoolKind.LANGUAGE_MODEL:
            server = choice.server.row.server
            self.demand.on_dispatched(_demand_key(pending.request, pool), server)
        return Placed(pending.token, choice.server, choice.reasons, now - pending.queued_at)

    def _place_pending(self, pool: PoolState, now: float) -> list[Verdict]:
        queue = self._queues.get(pool.name)
        if queue is None or not len(queue) or not self.may_place:
            return []
        verdicts: list[Verdict] = []
        blocked_keys: set[tuple[str, str | None, Stake]] = set()
        for pending in queue:
            if pending.placement_key in blocked_keys:
                continue
            choice = self._choose_server(pool, pending, now)
            if isinstance(choice, NoChoice):
                blocked_keys.add(pending.placement_key)
                self._reclassify(pool, pending, choice.blocked, now)
                continue
            self._remove(pool.name, queue, pending.token)
            if self.load_shedder.cannot_meet_deadline(pending, now):
                verdicts.append(self.load_shedder.deadline_rejection(pending))
            else:
                verdicts.append(self._reserve_server(pending, pool, choice, now))
        return verdicts

    def _reclassify(
        self, pool: PoolState, pending: PendingRequest, blocked: Blocked, now: float
    ) -> None:
        """Update timeout and demand counts of a request that now waits for another reason."""
        if blocked is pending.blocked:
            return
        key = _demand_key(pending.request, pool)
        if pending.blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(key, -1)
        if blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(key, 1)
        pending.blocked = blocked
        pending.times_out_at = self.load_shedder.times_out_at(pending, blocked, now)

    # queueing and rejection

    def _enqueue(
        self,
        pool: PoolState,
        queue: PendingRequestQueue,
        pending: PendingRequest,
        choice: NoChoice,
        now: float,
    ) -> list[Verdict]:
        rejection = self.load_shedder.rejection_before_queueing(
            pool, queue, pending, choice.blocked, now
        )
        if rejection is not None:
            return [rejection]
        verdicts: list[Verdict] = []
        if len(queue) >= pool.spec.max_queue:
            displaced = queue.newest_below(pending.route.stake)
            if displaced is None:
                problem = "the queue is full"
                return [self.load_shedder.overload_rejection(pool, queue, pending, now, problem)]
            self._remove(pool.name, queue, displaced.token)
            problem = "displaced by a request of a higher stake"
            verdicts.append(
                self.load_shedder.overload_rejection(pool, queue, displaced, now, problem)
            )
        pending.blocked = choice.blocked
        pending.excluded = frozenset()
        pending.times_out_at = self.load_shedder.times_out_at(pending, choice.blocked, now)
        queue.add(pending)
        pool.throughput.on_backlog(queue.busy_count(), now)
        if choice.blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(_demand_key(pending.request, pool), 1)
        verdicts.append(Queued(pending.token, choice.blocked, choice.reasons))
        return verdicts

    def _reject_unservable(
        self, pool: PoolState, queue: PendingRequestQueue, now: float
    ) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for position, pending in enumerate(queue, start=1):
            rejection = self.load_shedder.rejection_while_queued(pool, pending, position, now)
            if rejection is not None:
                self._remove(pool.name, queue, pending.token)
                verdicts.append(rejection)
        return verdicts

    def _reject_all(self, name: PoolName, queue: PendingRequestQueue) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for pending in queue:
            queue.remove(pending.token)
            problem = f"pool {name} was deleted"
            verdicts.append(bounded_rejection(pending.token, RefusalReason.NO_SERVER, problem))
        return verdicts

    def _remove(self, pool_name: PoolName, queue: PendingRequestQueue, token: int) -> None:
        pending = queue.remove(token)
        if pending is not None and pending.blocked is Blocked.NOT_RESIDENT:
            inference_request = pending.request.inference_request
            self.demand.on_waiting(
                DemandKey(pool_name, inference_request.model, inference_request.adapter), -1
            )

    def _count_demand(self, request: CallerRequest, pool: PoolState) -> None:
        if pool.spec.kind is PoolKind.LANGUAGE_MODEL:
            self.demand.on_request(_demand_key(request, pool))

    def _queue_of(self, pool: PoolState) -> PendingRequestQueue:
        queue = self._queues.get(pool.name)
        if queue is None:
            queue = self._queues[pool.name] = PendingRequestQueue()
        return queue

    def _chain_of(self, pool: PoolState) -> PolicyChain:
        cached = self._chains.get(pool.name)
        if cached is not None and cached[0] is pool.spec:
            return cached[1]
        if cached is not None and _has_same_policies(cached[0], pool.spec):
            self._chains[pool.name] = (pool.spec, cached[1])
            return cached[1]
        chain = build_chain(pool.spec)
        self._chains[pool.name] = (pool.spec, chain)
        return chain


def _has_same_policies(first: PoolSpec, other: PoolSpec) -> bool:
    return first.kind is other.kind and first.policies == other.policies


def _demand_key(request: CallerRequest, pool: PoolState) -> DemandKey:
    return DemandKey(pool.name, request.inference_request.model, request.inference_request.adapter)
