"""When a request that finds no server is refused rather than held, and until when it is held."""

from __future__ import annotations

import math

import attrs

from zincvale.dataplane.demand import DemandKey, DemandTable
from zincvale.dataplane.inference.capacity import (
    estimated_load_s,
    estimated_wait_s,
    pool_rate_per_s,
)
from zincvale.dataplane.inference.routing_state import PoolState, World
from zincvale.dataplane.inference.verdicts import Refused, refused
from zincvale.dataplane.inference.wait_queue import WaitingRequest, WaitQueue
from zincvale.dataplane.policies.base import Blocked
from zincvale.model.identifiers import RouteName
from zincvale.model.outcomes import RefusalReason

NO_SERVER_HOLD_S = 3.0
"""A pool without any server in service is waited for this long: a restart takes a second or two."""
LOAD_HOLD_FACTOR = 2.0
LEAST_LOAD_HOLD_S = 5.0
"""A load may take this many times its estimate, and at least so long, before those held for it are
refused: the order, other loads and the server's warm-up come on top of the transfer."""
LOAD_UNDER_WAY_HOLD_S = 1.0
"""While a server reports that it loads the model, those held for it wait on, so much at a time."""
MAX_HELD_PER_MODEL = 64
QUEUED_ESTIMATE_TOLERANCE = 1.5
"""Those already queued are refused only when the estimate is clearly past their deadline."""
SERVICE_WEIGHT = 0.1
HOPELESS_PART = 0.5
"""With less than this part of a route's usual service time left, an attempt is not worth it."""


@attrs.define
class RefusalRules:
    """Pure rules over the tables; `service_s` learns each route's usual service time."""

    world: World
    demand: DemandTable
    _service_s: dict[RouteName, float] = attrs.field(factory=dict)

    def learn_service(self, route: RouteName, seconds: float) -> None:
        """Take a measured time from dispatch to answer, or to a stream's first piece."""
        known = self._service_s.get(route, seconds)
        self._service_s[route] = known + SERVICE_WEIGHT * (seconds - known)

    def is_hopeless(self, waiting: WaitingRequest, now: float) -> bool:
        """Whether too little time is left for a server to answer before the deadline."""
        needed_s = self._service_s.get(waiting.request.route, 0.0) * HOPELESS_PART
        return waiting.request.deadline_at - now < needed_s

    def instead_of_holding(
        self,
        pool: PoolState,
        queue: WaitQueue,
        waiting: WaitingRequest,
        blocked: Blocked,
        now: float,
    ) -> Refused | None:
        """Return the refusal of a newcomer that would wait in vain, None to hold it."""
        left_s = waiting.request.deadline_at - now
        if blocked is Blocked.NOT_RESIDENT:
            return self._load_refusal(pool, waiting, left_s)
        if blocked is Blocked.BUSY:
            wait_s = self._estimated_wait_s(pool, queue, waiting, now)
            needed_s = self._service_s.get(waiting.request.route, 0.0) * HOPELESS_PART
            if wait_s + needed_s > left_s:
                problem = f"the wait would be {wait_s:.1f} s, longer than the deadline"
                return refused(waiting.token, RefusalReason.OVERLOADED, problem, wait_s)
        return None

    def overloaded(
        self,
        pool: PoolState,
        queue: WaitQueue,
        waiting: WaitingRequest,
        now: float,
        problem: str,
    ) -> Refused:
        """Return a refusal that sends the caller away for about as long as the queue lasts."""
        wait_s = self._estimated_wait_s(pool, queue, waiting, now)
        return refused(waiting.token, RefusalReason.OVERLOADED, problem, wait_s)

    def give_up_at(self, waiting: WaitingRequest, blocked: Blocked, now: float) -> float:
        """Return until when a request is held for this cause."""
        return min(waiting.request.deadline_at, now + self._hold_limit_s(waiting, blocked))

    def of_waiting(
        self, pool: PoolState, waiting: WaitingRequest, position: int, now: float
    ) -> Refused | None:
        """Return the refusal of a queued request that is in vain by now, None to keep it."""
        expired = self._expired(pool, waiting, now)
        if expired is not None or waiting.blocked is not Blocked.BUSY:
            return expired
        rate = pool_rate_per_s(pool, waiting.request.question, now)
        wait_s = estimated_wait_s(position, rate)
        if wait_s <= (waiting.request.deadline_at - now) * QUEUED_ESTIMATE_TOLERANCE:
            return None
        problem = f"still {wait_s:.1f} s to wait, longer than the deadline"
        return refused(waiting.token, RefusalReason.OVERLOADED, problem, wait_s)

    def hopeless(self, waiting: WaitingRequest) -> Refused:
        """Return the refusal of a request whose time is up before it was sent."""
        problem = "too little time was left when a server came free"
        return refused(waiting.token, RefusalReason.DEADLINE, problem)

    def _expired(self, pool: PoolState, waiting: WaitingRequest, now: float) -> Refused | None:
        if now < waiting.give_up_at:
            return None
        if self._load_is_under_way(pool, waiting) and now < waiting.request.deadline_at:
            waiting.give_up_at = min(waiting.request.deadline_at, now + LOAD_UNDER_WAY_HOLD_S)
            return None
        if waiting.blocked is Blocked.NOT_RESIDENT:
            question = waiting.request.question
            problem = f"{question.model} was not loaded in time"
            load_s = estimated_load_s(self.world, question)
            return refused(waiting.token, RefusalReason.NOT_RESIDENT, problem, load_s)
        if waiting.blocked is Blocked.NO_SERVER:
            problem = f"pool {pool.name} has no server in service"
            return refused(waiting.token, RefusalReason.NO_SERVER, problem, NO_SERVER_HOLD_S)
        return refused(waiting.token, RefusalReason.DEADLINE, "the deadline passed in the queue")

    def _load_is_under_way(self, pool: PoolState, waiting: WaitingRequest) -> bool:
        if waiting.blocked is not Blocked.NOT_RESIDENT:
            return False
        wanted = {waiting.request.question.model, waiting.request.question.adapter}
        return any(not wanted.isdisjoint(server.row.loading) for server in pool.servers)

    def _load_refusal(
        self, pool: PoolState, waiting: WaitingRequest, left_s: float
    ) -> Refused | None:
        question = waiting.request.question
        load_s = estimated_load_s(self.world, question)
        held = self.demand.waiting(DemandKey(pool.name, question.model, question.adapter))
        if load_s > left_s:
            problem = f"{question.model} is not loaded; loading takes about {load_s:.0f} s"
        elif held >= MAX_HELD_PER_MODEL:
            problem = f"{question.model} is not loaded and enough requests wait for it"
        else:
            return None
        return refused(waiting.token, RefusalReason.NOT_RESIDENT, problem, load_s)

    def _hold_limit_s(self, waiting: WaitingRequest, blocked: Blocked) -> float:
        if blocked is Blocked.NO_SERVER:
            return NO_SERVER_HOLD_S
        if blocked is Blocked.NOT_RESIDENT:
            load_s = estimated_load_s(self.world, waiting.request.question)
            return max(LEAST_LOAD_HOLD_S, load_s * LOAD_HOLD_FACTOR)
        return math.inf

    def _estimated_wait_s(
        self, pool: PoolState, queue: WaitQueue, waiting: WaitingRequest, now: float
    ) -> float:
        ahead = queue.ahead_of(waiting.route.stake) + 1
        return estimated_wait_s(ahead, pool_rate_per_s(pool, waiting.request.question, now))
