"""Admission and queueing: places requests on servers, holds them for a bounded time or refuses.

Pure: time and randomness are passed in. Every verdict is returned, never called back. A refusal is
given the moment it is known; its retry time says when it is worth coming back.
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
from zincvale.dataplane.inference.verdicts import Placed, Queued, Rejected, Verdict, rejected
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
PROMPT_WORK_PART = 4
"""A prompt token is prefilled much faster than one is generated."""


def work_tokens(request: CallerRequest, kind: PoolKind) -> int:
    """Return the estimated work of a request in tokens."""
    if kind is PoolKind.LOOKUP:
        return LOOKUP_WORK_TOKENS
    inference_request = request.inference_request
    return inference_request.prompt_tokens // PROMPT_WORK_PART + inference_request.max_tokens


@attrs.define
class Scheduler:
    """All pools of one node."""

    routing_state: RoutingState
    random: Random
    demand: DemandTable = attrs.field(factory=DemandTable)
    load_shedder: LoadShedder = attrs.field(init=False)
    may_place: bool = True
    """Whether the tables are fresh; nothing is placed by tables that may be out of date."""
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
        """Count the request and refuse what cannot be served; None when it may go on.

        An admitted request counts for its route until `leave`.
        """
        pool = self.routing_state.pool_of(route)
        if pool is None:
            return rejected(token, RefusalReason.NO_SERVER, "unknown pool")
        if route.stake is Stake.HIGH:
            pool.high_priority_seen_at = now
        pool.retry_budget.on_request()
        self._count_demand(request, pool)
        active = self._active_by_route.get(request.route, 0)
        if active >= route.max_concurrent:
            problem = f"route has {active} requests under way, its limit"
            return rejected(token, RefusalReason.OVERLOADED, problem)
        self._active_by_route[request.route] = active + 1
        return None

    def leave(self, request: CallerRequest) -> None:
        """Take back the count of an admitted request that is over."""
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
        """Return the request's verdict, and those of requests that it displaced."""
        pool = self.routing_state.pool_of(route)
        if pool is None:
            return [rejected(token, RefusalReason.NO_SERVER, "unknown pool")]
        waiting = PendingRequest(token, request, route, now, request.deadline_at, excluded)
        queue = self._queue(pool)
        if not self.may_place or self._must_wait_its_turn(queue, waiting):
            choice: Choice | NoChoice = NoChoice(Blocked.BUSY, ())
        else:
            choice = self._choose(pool, waiting, now)
        if isinstance(choice, Choice):
            return [self._placed(waiting, pool, choice, now)]
        return self._enqueue(pool, queue, waiting, choice, now)

    def cancel(self, pool_name: PoolName, token: int) -> None:
        """Take a request out of its queue: its caller has disconnected or its deadline passed."""
        queue = self._queues.get(pool_name)
        if queue is not None:
            self._remove(pool_name, queue, token)

    def finish(
        self, request: CallerRequest, server: ServerState, report: ExchangeReport
    ) -> tuple[HealthChange, list[Verdict]]:
        """Free the server's slot; returns its change and the verdicts of those who waited."""
        change = record_exchange_end(server, report)
        if report.end is ExchangeEnd.ANSWERED:
            self.load_shedder.learn_service(request.route, report.deadline_covers_s)
        inference_request = request.inference_request
        if inference_request.model:
            key = DemandKey(server.row.pool, inference_request.model, inference_request.adapter)
            self.demand.on_ended(key, server.row.server, report.units)
        pool = self.routing_state.pools.get(server.row.pool)
        if pool is None:
            return change, []
        if report.end is ExchangeEnd.ANSWERED:
            pool.throughput.on_completed(report.ended_at)
        return change, self._serve_waiting(pool, report.ended_at)

    def take_retry(self, route: RouteSpec) -> bool:
        """Spend a retry of the route's pool; high-stakes work is never denied one."""
        pool = self.routing_state.pool_of(route)
        if pool is None:
            return False
        return pool.retry_budget.take() or route.stake is Stake.HIGH

    def pump(self, now: float) -> list[Verdict]:
        """Serve and expire all queues; called on changes of the tables and on each tick."""
        verdicts: list[Verdict] = []
        for name, queue in list(self._queues.items()):
            if not len(queue):
                continue
            pool = self.routing_state.pools.get(name)
            if pool is None:
                verdicts += self._refuse_all(name, queue)
                continue
            verdicts += self._serve_waiting(pool, now)
            verdicts += self._expire(pool, queue, now)
            pool.throughput.on_backlog(queue.busy_count(), now)
        return verdicts

    def chain_problems(self) -> list[InvalidInputError]:
        """Return the problems of the policies that pools name; builds the chains."""
        problems: list[InvalidInputError] = []
        for pool in self.routing_state.pools.values():
            problems += self._chain(pool).problems
        return problems

    # placing

    def _choose(self, pool: PoolState, waiting: PendingRequest, now: float) -> Choice | NoChoice:
        query = Query(
            waiting.request, waiting.route, pool, self.routing_state, now, waiting.excluded
        )
        return self._chain(pool).choose(query, self.random)

    def _must_wait_its_turn(self, queue: PendingRequestQueue, newcomer: PendingRequest) -> bool:
        """Nobody overtakes those of the same kind who wait because all servers are busy."""
        if not len(queue):
            return False
        return any(other.blocked is Blocked.BUSY and other.key == newcomer.key for other in queue)

    def _placed(
        self, waiting: PendingRequest, pool: PoolState, choice: Choice, now: float
    ) -> Placed:
        record_dispatch(choice.server, work_tokens(waiting.request, pool.spec.kind), now)
        if pool.spec.kind is PoolKind.LANGUAGE_MODEL:
            server = choice.server.row.server
            self.demand.on_dispatched(_demand_key(waiting.request, pool), server)
        return Placed(waiting.token, choice.server, choice.reasons, now - waiting.since)

    def _serve_waiting(self, pool: PoolState, now: float) -> list[Verdict]:
        queue = self._queues.get(pool.name)
        if queue is None or not len(queue) or not self.may_place:
            return []
        verdicts: list[Verdict] = []
        blocked_keys: set[tuple[str, str | None, Stake]] = set()
        for waiting in queue:
            if waiting.key in blocked_keys:
                continue
            choice = self._choose(pool, waiting, now)
            if isinstance(choice, NoChoice):
                blocked_keys.add(waiting.key)
                self._reclassify(pool, waiting, choice.blocked, now)
                continue
            self._remove(pool.name, queue, waiting.token)
            if self.load_shedder.cannot_meet_deadline(waiting, now):
                verdicts.append(self.load_shedder.deadline_rejection(waiting))
            else:
                verdicts.append(self._placed(waiting, pool, choice, now))
        return verdicts

    def _reclassify(
        self, pool: PoolState, waiting: PendingRequest, blocked: Blocked, now: float
    ) -> None:
        """A request that waited for a load now queues for the busy server, or the reverse."""
        if blocked is waiting.blocked:
            return
        key = _demand_key(waiting.request, pool)
        if waiting.blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(key, -1)
        if blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(key, 1)
        waiting.blocked = blocked
        waiting.times_out_at = self.load_shedder.times_out_at(waiting, blocked, now)

    # holding and refusing

    def _enqueue(
        self,
        pool: PoolState,
        queue: PendingRequestQueue,
        waiting: PendingRequest,
        choice: NoChoice,
        now: float,
    ) -> list[Verdict]:
        refusal = self.load_shedder.rejection_of_newcomer(pool, queue, waiting, choice.blocked, now)
        if refusal is not None:
            return [refusal]
        verdicts: list[Verdict] = []
        if len(queue) >= pool.spec.max_queue:
            displaced = queue.youngest_below(waiting.route.stake)
            if displaced is None:
                problem = "the queue is full"
                return [self.load_shedder.overloaded(pool, queue, waiting, now, problem)]
            self._remove(pool.name, queue, displaced.token)
            problem = "displaced by work of a higher stake"
            verdicts.append(self.load_shedder.overloaded(pool, queue, displaced, now, problem))
        waiting.blocked = choice.blocked
        waiting.excluded = frozenset()
        waiting.times_out_at = self.load_shedder.times_out_at(waiting, choice.blocked, now)
        queue.add(waiting)
        pool.throughput.on_backlog(queue.busy_count(), now)
        if choice.blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(_demand_key(waiting.request, pool), 1)
        verdicts.append(Queued(waiting.token, choice.blocked, choice.reasons))
        return verdicts

    def _expire(self, pool: PoolState, queue: PendingRequestQueue, now: float) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for position, waiting in enumerate(queue, start=1):
            refusal = self.load_shedder.rejection_of_pending(pool, waiting, position, now)
            if refusal is not None:
                self._remove(pool.name, queue, waiting.token)
                verdicts.append(refusal)
        return verdicts

    def _refuse_all(self, name: PoolName, queue: PendingRequestQueue) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for waiting in queue:
            queue.remove(waiting.token)
            problem = f"pool {name} was deleted"
            verdicts.append(rejected(waiting.token, RefusalReason.NO_SERVER, problem))
        return verdicts

    def _remove(self, pool_name: PoolName, queue: PendingRequestQueue, token: int) -> None:
        waiting = queue.remove(token)
        if waiting is not None and waiting.blocked is Blocked.NOT_RESIDENT:
            inference_request = waiting.request.inference_request
            self.demand.on_waiting(
                DemandKey(pool_name, inference_request.model, inference_request.adapter), -1
            )

    def _count_demand(self, request: CallerRequest, pool: PoolState) -> None:
        if pool.spec.kind is PoolKind.LANGUAGE_MODEL:
            self.demand.on_request(_demand_key(request, pool))

    def _queue(self, pool: PoolState) -> PendingRequestQueue:
        queue = self._queues.get(pool.name)
        if queue is None:
            queue = self._queues[pool.name] = PendingRequestQueue()
        return queue

    def _chain(self, pool: PoolState) -> PolicyChain:
        known = self._chains.get(pool.name)
        if known is not None and known[0] is pool.spec:
            return known[1]
        if known is not None and _same_chain(known[0], pool.spec):
            self._chains[pool.name] = (pool.spec, known[1])
            return known[1]
        chain = build_chain(pool.spec)
        self._chains[pool.name] = (pool.spec, chain)
        return chain


def _same_chain(one: PoolSpec, other: PoolSpec) -> bool:
    return one.kind is other.kind and one.policies == other.policies


def _demand_key(request: CallerRequest, pool: PoolState) -> DemandKey:
    return DemandKey(pool.name, request.inference_request.model, request.inference_request.adapter)
