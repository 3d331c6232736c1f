"""Decides whether a request without a server is queued or rejected, and how long it may wait."""

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
from zincvale.dataplane.inference.verdicts import Rejected, bounded_rejection
from zincvale.dataplane.policies.base import Blocked
from zincvale.model.identifiers import RouteName
from zincvale.model.outcomes import RefusalReason

NO_SERVER_MAX_WAIT_S = 3.0
"""How long a request waits for a pool without any server in service. A server restarts in 1 to 2 s,
and the request can then be served."""
LOAD_MAX_WAIT_FACTOR = 2.0
MIN_LOAD_MAX_WAIT_S = 5.0
"""A request waits for a load for LOAD_MAX_WAIT_FACTOR times its estimate, and at least for
MIN_LOAD_MAX_WAIT_S, because the load order, other loads and the server's warm-up come on top of the
transfer."""
LOADING_WAIT_EXTENSION_S = 1.0
"""How much longer a request may wait, each time its wait is over, while a server reports that it
loads the model."""
MAX_PENDING_PER_MODEL = 64
"""Limit of the requests that wait for a load of the same model or adapter."""
QUEUED_ESTIMATE_TOLERANCE = 1.5
"""A queued request is rejected when its estimated wait exceeds this multiple of the time left.
At 1, an estimate that is slightly too long would reject it."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the moving average of a route's service time."""
MIN_SERVICE_TIME_FRACTION = 0.5
"""A request is not sent when less than this fraction of its route's usual service time is left."""


@attrs.define
class LoadShedder:
    """Decides from the tables and average service times whether requests are queued or rejected."""

    routing_state: RoutingState
    demand: DemandTable
    _service_time_s_by_route: dict[RouteName, float] = attrs.field(factory=dict)

    def record_service_time(self, route: RouteName, seconds: float) -> None:
        """Add a measured time from dispatch to the response, or to a stream's first chunk."""
        average_s = self._service_time_s_by_route.get(route, seconds)
        self._service_time_s_by_route[route] = average_s + SERVICE_TIME_WEIGHT * (
            seconds - average_s
        )

    def cannot_meet_deadline(self, pending: PendingRequest, now: float) -> bool:
        """Whether too little time is left for a server to respond before the deadline."""
        needed_s = (
            self._service_time_s_by_route.get(pending.request.route, 0.0)
            * MIN_SERVICE_TIME_FRACTION
        )
        return pending.request.deadline_at - now < needed_s

    def rejection_before_queueing(
        self,
        pool: PoolState,
        queue: PendingRequestQueue,
        pending: PendingRequest,
        blocked: Blocked,
        now: float,
    ) -> Rejected | None:
        """Return the rejection of a request that would time out in the queue, None to queue it."""
        remaining_s = pending.request.deadline_at - now
        if blocked is Blocked.NOT_RESIDENT:
            return self._rejection_without_load(pool, pending, remaining_s)
        if blocked is Blocked.BUSY:
            wait_s = self._estimated_wait_s(pool, queue, pending, now)
            needed_s = (
                self._service_time_s_by_route.get(pending.request.route, 0.0)
                * MIN_SERVICE_TIME_FRACTION
            )
            if wait_s + needed_s > remaining_s:
                problem = f"the estimated wait of {wait_s:.1f} s exceeds the deadline"
                return bounded_rejection(pending.token, RefusalReason.OVERLOADED, problem, wait_s)
        return None

    def overload_rejection(
        self,
        pool: PoolState,
        queue: PendingRequestQueue,
        pending: PendingRequest,
        now: float,
        problem: str,
    ) -> Rejected:
        """Return a rejection whose retry time is the estimated wait in the queue."""
        wait_s = self._estimated_wait_s(pool, queue, pending, now)
        return bounded_rejection(pending.token, RefusalReason.OVERLOADED, problem, wait_s)

    def times_out_at(self, pending: PendingRequest, blocked: Blocked, now: float) -> float:
        """Return the time until which a request that waits for this reason may stay queued."""
        return min(pending.request.deadline_at, now + self._max_wait_s(pending, blocked))

    def rejection_while_queued(
        self, pool: PoolState, pending: PendingRequest, position: int, now: float
    ) -> Rejected | None:
        """Return the rejection of a queued request that cannot be served in time, else None."""
        rejection = self._rejection_if_expired(pool, pending, now)
        if rejection is not None or pending.blocked is not Blocked.BUSY:
            return rejection
        rate = pool_rate_per_s(pool, pending.request.inference_request, now)
        wait_s = estimated_wait_s(position, rate)
        if wait_s <= (pending.request.deadline_at - now) * QUEUED_ESTIMATE_TOLERANCE:
            return None
        problem = f"the remaining wait of about {wait_s:.1f} s exceeds the deadline"
        return bounded_rejection(pending.token, RefusalReason.OVERLOADED, problem, wait_s)

    def deadline_rejection(self, pending: PendingRequest) -> Rejected:
        """Return the rejection of a request with too little time left to be sent."""
        problem = "too little time was left when a server became available"
        return bounded_rejection(pending.token, RefusalReason.DEADLINE, problem)

    def _rejection_if_expired(
        self, pool: PoolState, pending: PendingRequest, now: float
    ) -> Rejected | None:
        if now < pending.times_out_at:
            return None
        if self._load_is_under_way(pool, pending) and now < pending.request.deadline_at:
            pending.times_out_at = min(pending.request.deadline_at, now + LOADING_WAIT_EXTENSION_S)
            return None
        if pending.blocked is Blocked.NOT_RESIDENT:
            inference_request = pending.request.inference_request
            problem = f"{inference_request.model} was not loaded in time"
            load_s = estimated_load_s(self.routing_state, inference_request)
            return bounded_rejection(pending.token, RefusalReason.NOT_RESIDENT, problem, load_s)
        if pending.blocked is Blocked.NO_SERVER:
            problem = f"pool {pool.name} has no server in service"
            return bounded_rejection(
                pending.token, RefusalReason.NO_SERVER, problem, NO_SERVER_MAX_WAIT_S
            )
        return bounded_rejection(
            pending.token, RefusalReason.DEADLINE, "the deadline passed in the queue"
        )

    def _load_is_under_way(self, pool: PoolState, pending: PendingRequest) -> bool:
        if pending.blocked is not Blocked.NOT_RESIDENT:
            return False
        required = {
            pending.request.inference_request.model,
            pending.request.inference_request.adapter,
        }
        return any(not required.isdisjoint(server.row.loading) for server in pool.servers)

    def _rejection_without_load(
        self, pool: PoolState, pending: PendingRequest, remaining_s: float
    ) -> Rejected | None:
        inference_request = pending.request.inference_request
        load_s = estimated_load_s(self.routing_state, inference_request)
        pending_count = self.demand.waiting(
            DemandKey(pool.name, inference_request.model, inference_request.adapter)
        )
        if load_s > remaining_s:
            problem = f"{inference_request.model} is not loaded; loading takes about {load_s:.0f} s"
        elif pending_count >= MAX_PENDING_PER_MODEL:
            problem = f"{inference_request.model} is not loaded and too many requests wait for it"
        else:
            return None
        return bounded_rejection(pending.token, RefusalReason.NOT_RESIDENT, problem, load_s)

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
        ahead = queue.count_ahead_of(pending.route.stake) + 1
        return estimated_wait_s(
            ahead, pool_rate_per_s(pool, pending.request.inference_request, now)
        )
