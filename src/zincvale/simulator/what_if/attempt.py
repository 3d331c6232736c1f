"""One attempt of a caller at one node, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs
import orjson

from zincvale.dataplane.inference.events import SendResponse
from zincvale.dataplane.inference.requests import CallerRequest, InferenceRequest
from zincvale.model.identifiers import AdapterName, ModelName, RequestId
from zincvale.model.outcomes import OUTCOME_HEADER, RETRY_AFTER_HEADER, Outcome
from zincvale.model.resources import PoolKind
from zincvale.simulator.what_if.clock import Timer, VirtualClock
from zincvale.simulator.what_if.figures import FigureTable, RequestRow
from zincvale.simulator.what_if.node import VirtualNode
from zincvale.simulator.what_if.request import VirtualRequest
from zincvale.simulator.what_if.timings import Timings
from zincvale.standins.load.progress import NodePicker
from zincvale.standins.load.request_plan import Plan, Planner
from zincvale.standins.load.retry import AttemptOutcome, AttemptResult


@attrs.define(eq=False)
class CallersContext:
    """State that all callers share; the load starts at the virtual time `started_at`."""

    clock: VirtualClock
    timings: Timings
    nodes: dict[str, VirtualNode]
    node_picker: NodePicker
    figures: FigureTable
    planner: Planner
    started_at: float
    open_conversations: int = 0
    """Number of arrivals whose last turn has not ended."""


class AttemptOwner(Protocol):
    """A caller's request, with all of its attempts."""

    context: CallersContext
    plan: Plan
    row: RequestRow
    chunks: int
    """Number of chunks of the stream that the caller has received."""
    deadline_at: float

    def mark_first_byte(self) -> None:
        """Record the time of the first byte or chunk."""


class CallerAttempt:
    """One attempt at one node, in place of the stand-in's HTTP exchange."""

    def __init__(
        self,
        request: AttemptOwner,
        node: str,
        request_id: str,
        on_ended: Callable[[AttemptResult], None],
    ) -> None:
        plan = request.plan
        self.hang_up_after_chunks = plan.hang_up_after_chunks if plan.stream else 0
        self._request = request
        self._context = request.context
        self._node = request.context.nodes[node]
        self._request_id = request_id
        self._on_ended = on_ended
        self._is_over = False
        self._node_request: VirtualRequest | None = None
        self._has_received_chunks = False
        self._idle_timer: Timer | None = None

    def start(self) -> None:
        """Send the request to the node."""
        caller = self._request.plan.caller
        self._arm_idle_timer(caller.first_byte_timeout_s)
        self._context.clock.call_later(self._context.timings.caller_hop_s, self._arrive)

    # Calls of the node at the time of sending, before the delay to the caller.

    def on_response(self, response: SendResponse) -> None:
        """Handle a complete response."""
        self._deliver_later(0.0, lambda: self._on_response(response))

    def on_chunks(self, last_index: int, delay_s: float) -> None:
        """Handle chunks of a stream."""
        self._deliver_later(delay_s, lambda: self._on_chunks(last_index))

    def on_end(self, count: int, delay_s: float) -> None:
        """Handle the end of a stream."""
        answered_result = AttemptResult(AttemptOutcome.ANSWERED)
        self._deliver_later(delay_s, lambda: self._finish(answered_result))

    def on_break(self, resumable: bool) -> None:
        """Handle a stream that the node ended early and marked as broken."""
        broken_result = AttemptResult(AttemptOutcome.INTERRUPTED, resumable=resumable)
        self._deliver_later(0.0, lambda: self._finish(broken_result))

    def on_stalled(self) -> None:
        """Restart the idle timeout while a stream moves to another server."""
        if not self._is_over:
            self._arm_idle_timer(self._request.plan.caller.idle_timeout_s)

    def on_reset(self) -> None:
        """Handle that the connection is lost."""
        outcome = AttemptOutcome.INTERRUPTED if self._has_received_chunks else AttemptOutcome.LOST
        self._deliver_later(0.0, lambda: self._finish(AttemptResult(outcome)))

    # Arrival of the request at the node.

    def _arrive(self) -> None:
        if self._is_over:
            return
        node = self._node
        found_route = node.route_at(self._request.plan.path) if node.is_up else None
        if not node.is_up:
            self._finish(AttemptResult(AttemptOutcome.NOT_CONNECTED))
            return
        if found_route is None:
            reason = "not-ready" if node.routing_state.intent.version == 0 else "no-route"
            refusal = AttemptResult(AttemptOutcome.REFUSED, reason, 1.0)
            self._deliver_later(0.0, lambda: self._finish(refusal))
            return
        name, route = found_route
        now = self._context.clock.now
        plan = self._request.plan
        remaining_s = min(self._request.deadline_at - now, route.deadline_ms / 1000)
        pool = node.routing_state.pool_of(route)
        is_lookup = pool is not None and pool.spec.kind is PoolKind.LOOKUP
        request = CallerRequest(
            request_id=RequestId(self._request_id),
            caller_named_it=True,
            route=name,
            digest=plan.base_id,
            inference_request=_lookup_request(plan) if is_lookup else _inference_request(plan),
            received_at=now,
            deadline_at=now + max(0.0, remaining_s),
            resume_after=self._request.chunks or None,
        )
        if not is_lookup and route.models and plan.model not in route.models:
            refusal = AttemptResult(AttemptOutcome.REFUSED, "invalid")
            self._deliver_later(0.0, lambda: self._finish(refusal))
            return
        self._node_request = node.begin(request, route, self)

    # Arrival of the node's messages at the caller.

    def _on_response(self, response: SendResponse) -> None:
        result = _attempt_result(response)
        if result.outcome is AttemptOutcome.ANSWERED:
            self._request.mark_first_byte()
        self._finish(result)

    def _on_chunks(self, last_index: int) -> None:
        if self._is_over:
            return
        self._has_received_chunks = True
        self._request.mark_first_byte()
        self._request.chunks = max(self._request.chunks, last_index)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if 0 < self.hang_up_after_chunks <= self._request.chunks:
            self._disconnect()
            self._finish(AttemptResult(AttemptOutcome.HUNG_UP))

    def _on_idle_timeout(self) -> None:
        self._idle_timer = None
        if self._is_over:
            return
        self._disconnect()
        outcome = AttemptOutcome.INTERRUPTED if self._has_received_chunks else AttemptOutcome.LOST
        self._finish(AttemptResult(outcome))

    def _finish(self, result: AttemptResult) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._node_request is not None:
            self._request.row.add_node_stats(self._node_request.stats)
        self._on_ended(result)

    def _disconnect(self) -> None:
        node_request = self._node_request
        if node_request is not None:
            hop_s = self._context.timings.caller_hop_s
            self._context.clock.call_later(hop_s, node_request.on_caller_disconnected)

    def _arm_idle_timer(self, seconds: float) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self._context.clock.call_later(seconds, self._on_idle_timeout)

    def _deliver_later(self, delay_s: float, action: Callable[[], None]) -> None:
        hop_s = self._context.timings.caller_hop_s
        self._context.clock.call_later(delay_s + hop_s, action)


def _inference_request(plan: Plan) -> InferenceRequest:
    return InferenceRequest(
        model=ModelName(plan.model),
        adapter=AdapterName(plan.adapter) if plan.adapter else None,
        prompt=plan.prompt,
        max_tokens=plan.body["max_tokens"],
        stream=plan.stream,
    )


def _lookup_request(plan: Plan) -> InferenceRequest:
    return InferenceRequest(key=plan.prompt)


def _attempt_result(response: SendResponse) -> AttemptResult:
    outcome_name = response.headers.get(OUTCOME_HEADER, "")
    if outcome_name == Outcome.ANSWERED.value:
        return AttemptResult(AttemptOutcome.ANSWERED)
    if outcome_name == Outcome.UNKNOWN.value:
        return AttemptResult(AttemptOutcome.UNKNOWN)
    body = orjson.loads(response.body)
    retry_after_s = float(response.headers.get(RETRY_AFTER_HEADER, "0"))
    return AttemptResult(AttemptOutcome.REFUSED, str(body.get("reason", "")), retry_after_s)
