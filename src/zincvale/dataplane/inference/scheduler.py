"""Admission and queueing: places requests on servers, holds them for a bounded time or refuses.

Pure: time and randomness are passed in. Every verdict is returned, never called back. A refusal is
given the moment it is known; its retry time says when it is worth coming back.
"""

from __future__ import annotations

from random import Random

import attrs

from zincvale.dataplane.demand import DemandKey, DemandTable
from zincvale.dataplane.inference.load_shedding import RefusalRules
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.inference.routing import Choice, NoChoice, PolicyChain, build_chain
from zincvale.dataplane.inference.routing_state import PoolState, ServerState, World
from zincvale.dataplane.inference.verdicts import Placed, Queued, Refused, Verdict, refused
from zincvale.dataplane.inference.wait_queue import WaitingRequest, WaitQueue
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
    question = request.question
    return question.prompt_tokens // PROMPT_WORK_PART + question.max_tokens


@attrs.define
class Scheduler:
    """All pools of one node."""

    world: World
    random: Random
    demand: DemandTable = attrs.field(factory=DemandTable)
    rules: RefusalRules = attrs.field(init=False)
    may_place: bool = True
    """Whether the tables are fresh; nothing is placed by tables that may be out of date."""
    _queues: dict[PoolName, WaitQueue] = attrs.field(factory=dict)
    _chains: dict[PoolName, tuple[PoolSpec, PolicyChain]] = attrs.field(factory=dict)
    _active_by_route: dict[RouteName, int] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.rules = RefusalRules(self.world, self.demand)

    def waiting_count(self, pool: PoolName) -> int:
        """Return how many requests wait in a pool."""
        queue = self._queues.get(pool)
        return 0 if queue is None else len(queue)

    def any_waiting(self) -> bool:
        """Whether any request waits."""
        return any(len(queue) for queue in self._queues.values())

    def admit(
        self, request: CallerRequest, route: RouteSpec, token: int, now: float
    ) -> Refused | None:
        """Count the request and refuse what cannot be served; None when it may go on.

        An admitted request counts for its route until `leave`.
        """
        pool = self.world.pool_of(route)
        if pool is None:
            return refused(token, RefusalReason.NO_SERVER, "unknown pool")
        if route.stake is Stake.HIGH:
            pool.high_stake_seen_at = now
        pool.retry_budget.on_request()
        self._count_demand(request, pool)
        active = self._active_by_route.get(request.route, 0)
        if active >= route.max_concurrent:
            problem = f"route has {active} requests under way, its limit"
            return refused(token, RefusalReason.OVERLOADED, problem)
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
        pool = self.world.pool_of(route)
        if pool is None:
            return [refused(token, RefusalReason.NO_SERVER, "unknown pool")]
        waiting = WaitingRequest(token, request, route, now, request.deadline_at, excluded)
        queue = self._queue(pool)
        if not self.may_place or self._must_wait_its_turn(queue, waiting):
            choice: Choice | NoChoice = NoChoice(Blocked.BUSY, ())
        else:
            choice = self._choose(pool, waiting, now)
        if isinstance(choice, Choice):
            return [self._placed(waiting, pool, choice, now)]
        return self._hold(pool, queue, waiting, choice, now)

    def cancel(self, pool_name: PoolName, token: int) -> None:
        """Take a request out of its queue: its caller is gone or its deadline passed."""
        queue = self._queues.get(pool_name)
        if queue is not None:
            self._remove(pool_name, queue, token)

    def finish(
        self, request: CallerRequest, server: ServerState, report: ExchangeReport
    ) -> tuple[HealthChange, list[Verdict]]:
        """Free the server's place; returns its change and the verdicts of those who waited."""
        change = record_exchange_end(server, report)
        if report.end is ExchangeEnd.ANSWERED:
            self.rules.learn_service(request.route, report.deadline_covers_s)
        question = request.question
        if question.model:
            key = DemandKey(server.row.pool, question.model, question.adapter)
            self.demand.on_ended(key, server.row.server, report.units)
        pool = self.world.pools.get(server.row.pool)
        if pool is None:
            return change, []
        if report.end is ExchangeEnd.ANSWERED:
            pool.throughput.on_completed(report.ended_at)
        return change, self._serve_waiting(pool, report.ended_at)

    def take_retry(self, route: RouteSpec) -> bool:
        """Spend a retry of the route's pool; high-stakes work is never denied one."""
        pool = self.world.pool_of(route)
        if pool is None:
            return False
        return pool.retry_budget.take() or route.stake is Stake.HIGH

    def pump(self, now: float) -> list[Verdict]:
        """Serve and expire all queues; called on changes of the tables and on each tick."""
        verdicts: list[Verdict] = []
        for name, queue in list(self._queues.items()):
            if not len(queue):
                continue
            pool = self.world.pools.get(name)
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
        for pool in self.world.pools.values():
            problems += self._chain(pool).problems
        return problems

    # placing

    def _choose(self, pool: PoolState, waiting: WaitingRequest, now: float) -> Choice | NoChoice:
        query = Query(waiting.request, waiting.route, pool, self.world, now, waiting.excluded)
        return self._chain(pool).choose(query, self.random)

    def _must_wait_its_turn(self, queue: WaitQueue, newcomer: WaitingRequest) -> bool:
        """Nobody overtakes those of the same kind who wait because all servers are busy."""
        if not len(queue):
            return False
        return any(other.blocked is Blocked.BUSY and other.key == newcomer.key for other in queue)

    def _placed(
        self, waiting: WaitingRequest, pool: PoolState, choice: Choice, now: float
    ) -> Placed:
        record_dispatch(choice.server, work_tokens(waiting.request, pool.spec.kind), now)
        if pool.spec.kind is PoolKind.LANGUAGE_MODEL:
            server = choice.server.row.server
            self.demand.on_dispatched(_demand_key(waiting.request, pool), server)
        return Placed(waiting.token, choice.server, choice.notes, now - waiting.since)

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
            if self.rules.is_hopeless(waiting, now):
                verdicts.append(self.rules.hopeless(waiting))
            else:
                verdicts.append(self._placed(waiting, pool, choice, now))
        return verdicts

    def _reclassify(
        self, pool: PoolState, waiting: WaitingRequest, blocked: Blocked, now: float
    ) -> None:
        """A request that was held for a load now queues for the busy server, or the reverse."""
        if blocked is waiting.blocked:
            return
        key = _demand_key(waiting.request, pool)
        if waiting.blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(key, -1)
        if blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(key, 1)
        waiting.blocked = blocked
        waiting.give_up_at = self.rules.give_up_at(waiting, blocked, now)

    # holding and refusing

    def _hold(
        self,
        pool: PoolState,
        queue: WaitQueue,
        waiting: WaitingRequest,
        choice: NoChoice,
        now: float,
    ) -> list[Verdict]:
        refusal = self.rules.instead_of_holding(pool, queue, waiting, choice.blocked, now)
        if refusal is not None:
            return [refusal]
        verdicts: list[Verdict] = []
        if len(queue) >= pool.spec.max_queue:
            displaced = queue.youngest_below(waiting.route.stake)
            if displaced is None:
                problem = "the queue is full"
                return [self.rules.overloaded(pool, queue, waiting, now, problem)]
            self._remove(pool.name, queue, displaced.token)
            problem = "displaced by work of a higher stake"
            verdicts.append(self.rules.overloaded(pool, queue, displaced, now, problem))
        waiting.blocked = choice.blocked
        waiting.excluded = frozenset()
        waiting.give_up_at = self.rules.give_up_at(waiting, choice.blocked, now)
        queue.add(waiting)
        pool.throughput.on_backlog(queue.busy_count(), now)
        if choice.blocked is Blocked.NOT_RESIDENT:
            self.demand.on_waiting(_demand_key(waiting.request, pool), 1)
        verdicts.append(Queued(waiting.token, choice.blocked, choice.notes))
        return verdicts

    def _expire(self, pool: PoolState, queue: WaitQueue, now: float) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for position, waiting in enumerate(queue, start=1):
            refusal = self.rules.of_waiting(pool, waiting, position, now)
            if refusal is not None:
                self._remove(pool.name, queue, waiting.token)
                verdicts.append(refusal)
        return verdicts

    def _refuse_all(self, name: PoolName, queue: WaitQueue) -> list[Verdict]:
        verdicts: list[Verdict] = []
        for waiting in queue:
            queue.remove(waiting.token)
            problem = f"pool {name} was deleted"
            verdicts.append(refused(waiting.token, RefusalReason.NO_SERVER, problem))
        return verdicts

    def _remove(self, pool_name: PoolName, queue: WaitQueue, token: int) -> None:
        waiting = queue.remove(token)
        if waiting is not None and waiting.blocked is Blocked.NOT_RESIDENT:
            question = waiting.request.question
            self.demand.on_waiting(DemandKey(pool_name, question.model, question.adapter), -1)

    def _count_demand(self, request: CallerRequest, pool: PoolState) -> None:
        if pool.spec.kind is PoolKind.LANGUAGE_MODEL:
            self.demand.on_request(_demand_key(request, pool))

    def _queue(self, pool: PoolState) -> WaitQueue:
        queue = self._queues.get(pool.name)
        if queue is None:
            queue = self._queues[pool.name] = WaitQueue()
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
    return DemandKey(pool.name, request.question.model, request.question.adapter)
