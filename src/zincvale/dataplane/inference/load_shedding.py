"""When a request that finds no server is refused rather than queued, and until when it may wait."""

from __future__ import annotations

import math

import attrs

from zincvale.dataplane.demand import DemandKey, DemandTable
from zincvale.dataplane.inference.capacity import (
    estimated_load_s,
    estimated_wait_s,
    pool_rate_per_s,
)
from zincvale.dataplane.inference.pending_request_queue import PendingRequest, PendingRequestQueue
from zincvale.dataplane.inference.routing_state import PoolState, RoutingState
from zincvale.dataplane.inference.verdicts import Rejected, rejected
from zincvale.dataplane.policies.base import Blocked
from zincvale.model.identifiers import RouteName
from zincvale.model.outcomes import RefusalReason

NO_SERVER_MAX_WAIT_S = 3.0
"""A pool without any server in service is waited for this long: a restart takes a second or two."""
LOAD_MAX_WAIT_FACTOR = 2.0
MIN_LOAD_MAX_WAIT_S = 5.0
"""A load may take this many times its estimate, and at least so long, before those that wait for it
are refused: the order, other loads and the server's warm-up come on top of the transfer."""
LOADING_WAIT_EXTENSION_S = 1.0
"""While a server reports that it loads the model, the wait is extended by so much at a time."""
MAX_PENDING_PER_MODEL = 64
QUEUED_ESTIMATE_TOLERANCE = 1.5
"""Those already queued are refused only when the estimate is clearly past their deadline."""
SERVICE_WEIGHT = 0.1
MIN_SERVICE_TIME_FRACTION = 0.5
"""With less than this part of a route's usual service time left, an attempt is not worth it."""


@attrs.define
class LoadShedder:
    """Pure rules over the tables; `service_s` learns each route's usual service time."""

    routing_state: RoutingState
    demand: DemandTable
    _service_s: dict[RouteName, float] = attrs.field(factory=dict)

    def learn_service(self, route: RouteName, seconds: float) -> None:
        """Take a measured time from dispatch to response, or to a stream's first chunk."""
        known = self._service_s.get(route, seconds)
        self._service_s[route] = known + SERVICE_WEIGHT * (seconds - known)

    def cannot_meet_deadline(self, pending: PendingRequest, now: float) -> bool:
        """Whether too little time is left for a server to respond before the deadline."""
        needed_s = self._service_s.get(pending.request.route, 0.0) * MIN_SERVICE_TIME_FRACTION
        return pending.request.deadline_at - now < needed_s

    def rejection_of_newcomer(
        self,
        pool: PoolState,
        queue: PendingRequestQueue,
        pending: PendingRequest,
        blocked: Blocked,
        now: float,
    ) -> Rejected | None:
        """Return the refusal of a newcomer that would wait in vain, None to queue it."""
        left_s = pending.request.deadline_at - now
        if blocked is Blocked.NOT_RESIDENT:
            return self._load_refusal(pool, pending, left_s)
        if blocked is Blocked.BUSY:
            wait_s = self._estimated_wait_s(pool, queue, pending, now)
            needed_s = self._service_s.get(pending.request.route, 0.0) * MIN_SERVICE_TIME_FRACTION
            if wait_s + needed_s > left_s:
                problem = f"the wait would be {wait_s:.1f} s, longer than the deadline"
                return rejected(pending.token, RefusalReason.OVERLOADED, problem, wait_s)
        return None

    def overloaded(
        self,
        pool: PoolState,
        queue: PendingRequestQueue,
        pending: PendingRequest,
        now: float,
        problem: str,
    ) -> Rejected:
        """Return a refusal that sends the caller away for about as long as the queue lasts."""
        wait_s = self._estimated_wait_s(pool, queue, pending, now)
        return rejected(pending.token, RefusalReason.OVERLOADED, problem, wait_s)

    def times_out_at(self, pending: PendingRequest, blocked: Blocked, now: float) -> float:
        """Return until when a request may wait for this cause."""
        return min(pending.request.deadline_at, now + self._max_wait_s(pending, blocked))

    def rejection_of_pending(
        self, pool: PoolState, pending: PendingRequest, position: int, now: float
    ) -> Rejected | None:
        """Return the refusal of a queued request that is in vain by now, None to let it wait."""
        expired = self._expired(pool, pending, now)
        if expired is not None or pending.blocked is not Blocked.BUSY:
            return expired
        rate = pool_rate_per_s(pool, pending.request.inference_request, now)
        wait_s = estimated_wait_s(position, rate)
        if wait_s <= (pending.request.deadline_at - now) * QUEUED_ESTIMATE_TOLERANCE:
            return None
        problem = f"still {wait_s:.1f} s to wait, longer than the deadline"
        return rejected(pending.token, RefusalReason.OVERLOADED, problem, wait_s)

    def deadline_rejection(self, pending: PendingRequest) -> Rejected:
        """Return the refusal of a request whose time is up before it was sent."""
        problem = "too little time was left when a server came free"
        return rejected(pending.token, RefusalReason.DEADLINE, problem)

    def _expired(self, pool: PoolState, pending: PendingRequest, now: float) -> Rejected | None:
        if now < pending.times_out_at:
            return None
        if self._load_is_under_way(pool, pending) and now < pending.request.deadline_at:
            pending.times_out_at = min(pending.request.deadline_at, now + LOADING_WAIT_EXTENSION_S)
            return None
        if pending.blocked is Blocked.NOT_RESIDENT:
            inference_request = pending.request.inference_request
            problem = f"{inference_request.model} was not loaded in time"
            load_s = estimated_load_s(self.routing_state, inference_request)
            return rejected(pending.token, RefusalReason.NOT_RESIDENT, problem, load_s)
        if pending.blocked is Blocked.NO_SERVER:
            problem = f"pool {pool.name} has no server in service"
            return rejected(pending.token, RefusalReason.NO_SERVER, problem, NO_SERVER_MAX_WAIT_S)
        return rejected(pending.token, RefusalReason.DEADLINE, "the deadline passed in the queue")

    def _load_is_under_way(self, pool: PoolState, pending: PendingRequest) -> bool:
        if pending.blocked is not Blocked.NOT_RESIDENT:
            return False
        required = {
            pending.request.inference_request.model,
            pending.request.inference_request.adapter,
        }
        return any(not required.isdisjoint(server.row.loading) for server in pool.servers)

    def _load_refusal(
        self, pool: PoolState, pending: PendingRequest, left_s: float
    ) -> Rejected | None:
        inference_request = pending.request.inference_request
        load_s = estimated_load_s(self.routing_state, inference_request)
        pending_count = self.demand.waiting(
            DemandKey(pool.name, inference_request.model, inference_request.adapter)
        )
        if load_s > left_s:
            problem = f"{inference_request.model} is not loaded; loading takes about {load_s:.0f} s"
        elif pending_count >= MAX_PENDING_PER_MODEL:
            problem = f"{inference_request.model} is not loaded and enough requests wait for it"
        else:
            return None
        return rejected(pending.token, RefusalReason.NOT_RESIDENT, problem, load_s)

    def _max_wait_s(self, pending: PendingRequest, blocked: Blocked) -> float:
        if blocked is Blocked.NO_SERVER:
            return NO_SERVER_MAX_WAIT_S
        if blocked is Blocked.NOT_RESIDENT:
            load_s = estimated_load_s(self.routing_state, pending.request.inference_request)
            return max(MIN_LOAD_MAX_WAIT_S, load_s * LOAD_MAX_WAIT_FACTOR)
        return math.inf

    def _estimated_wait_s(
        self, pool: PoolState, queue: PendingRequestQueue, pending: PendingRequest, now: float
    ) -> float:
        ahead = queue.ahead_of(pending.route.stake) + 1
        return estimated_wait_s(
            ahead, pool_rate_per_s(pool, pending.request.inference_request, now)
        )
