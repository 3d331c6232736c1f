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
    """What all callers share; the load began at `started_at`."""

    clock: VirtualClock
    timings: Timings
    nodes: dict[str, VirtualNode]
    choice: NodePicker
    figures: FigureTable
    planner: Planner
    started_at: float
    open_conversations: int = 0
    """Arrivals whose last turn is not over."""


class AttemptOwner(Protocol):
    """The request over all of its attempts."""

    context: CallersContext
    plan: Plan
    row: RequestRow
    chunks: int
    """Chunks of a stream that the caller has received."""
    deadline_at: float

    def mark_first_byte(self) -> None:
        """Record the time of the first byte or chunk."""


class CallerAttempt:
    """One attempt at one node: the counterpart of the stand-in's HTTP exchange."""

    def __init__(
        self,
        request: AttemptOwner,
        node: str,
        request_id: str,
        on_ended: Callable[[AttemptResult], None],
    ) -> None:
        plan = request.plan
        self.hang_up_after = plan.hang_up_after_chunks if plan.stream else 0
        self._request = request
        self._context = request.context
        self._node = request.context.nodes[node]
        self._request_id = request_id
        self._on_ended = on_ended
        self._is_over = False
        self._at_node: VirtualRequest | None = None
        self._has_chunks = False
        self._idle_timer: Timer | None = None

    def start(self) -> None:
        """Send the request to the node."""
        caller = self._request.plan.caller
        self._arm_idle_timer(caller.first_byte_timeout_s)
        self._context.clock.call_later(self._context.timings.caller_hop_s, self._arrive)

    # what the node says, when the bytes leave it

    def on_response(self, response: SendResponse) -> None:
        """Handle a complete response."""
        self._deliver_later(0.0, lambda: self._on_response(response))

    def on_chunks(self, last_index: int, delay_s: float) -> None:
        """Handle chunks of a stream."""
        self._deliver_later(delay_s, lambda: self._on_chunks(last_index))

    def on_end(self, count: int, delay_s: float) -> None:
        """Take a stream's end."""
        answered = AttemptResult(AttemptOutcome.ANSWERED)
        self._deliver_later(delay_s, lambda: self._finish(answered))

    def on_break(self, resumable: bool) -> None:
        """Take a stream that broke, marked as such."""
        broken = AttemptResult(AttemptOutcome.INTERRUPTED, resumable=resumable)
        self._deliver_later(0.0, lambda: self._finish(broken))

    def on_stalled(self) -> None:
        """Restart the idle timeout while a stream moves to another server."""
        if not self._is_over:
            self._arm_idle_timer(self._request.plan.caller.idle_timeout_s)

    def on_reset(self) -> None:
        """Take the loss of the connection."""
        outcome = AttemptOutcome.INTERRUPTED if self._has_chunks else AttemptOutcome.LOST
        self._deliver_later(0.0, lambda: self._finish(AttemptResult(outcome)))

    # at the node

    def _arrive(self) -> None:
        if self._is_over:
            return
        node = self._node
        named = node.route_at(self._request.plan.path) if node.is_up else None
        if not node.is_up:
            self._finish(AttemptResult(AttemptOutcome.NOT_CONNECTED))
            return
        if named is None:
            reason = "not-ready" if node.world.intent.version == 0 else "no-route"
            refusal = AttemptResult(AttemptOutcome.REFUSED, reason, 1.0)
            self._deliver_later(0.0, lambda: self._finish(refusal))
            return
        name, route = named
        now = self._context.clock.now
        plan = self._request.plan
        left_s = min(self._request.deadline_at - now, route.deadline_ms / 1000)
        pool = node.world.pool_of(route)
        lookup = pool is not None and pool.spec.kind is PoolKind.LOOKUP
        request = CallerRequest(
            request_id=RequestId(self._request_id),
            caller_named_it=True,
            route=name,
            digest=plan.base_id,
            inference_request=_lookup_request(plan) if lookup else _inference_request(plan),
            received_at=now,
            deadline_at=now + max(0.0, left_s),
            resume_after=self._request.chunks or None,
        )
        if not lookup and route.models and plan.model not in route.models:
            refusal = AttemptResult(AttemptOutcome.REFUSED, "invalid")
            self._deliver_later(0.0, lambda: self._finish(refusal))
            return
        self._at_node = node.begin(request, route, self)

    # at the caller

    def _on_response(self, response: SendResponse) -> None:
        result = _result_of(response)
        if result.outcome is AttemptOutcome.ANSWERED:
            self._request.mark_first_byte()
        self._finish(result)

    def _on_chunks(self, last_index: int) -> None:
        if self._is_over:
            return
        self._has_chunks = True
        self._request.mark_first_byte()
        self._request.chunks = max(self._request.chunks, last_index)
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        if 0 < self.hang_up_after <= self._request.chunks:
            self._close()
            self._finish(AttemptResult(AttemptOutcome.HUNG_UP))

    def _on_idle_timeout(self) -> None:
        self._idle_timer = None
        if self._is_over:
            return
        self._close()
        outcome = AttemptOutcome.INTERRUPTED if self._has_chunks else AttemptOutcome.LOST
        self._finish(AttemptResult(outcome))

    def _finish(self, result: AttemptResult) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._at_node is not None:
            self._request.row.add_node_stats(self._at_node.stats)
        self._on_ended(result)

    def _close(self) -> None:
        at_node = self._at_node
        if at_node is not None:
            hop_s = self._context.timings.caller_hop_s
            self._context.clock.call_later(hop_s, at_node.on_caller_lost)

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


def _result_of(response: SendResponse) -> AttemptResult:
    named = response.headers.get(OUTCOME_HEADER, "")
    if named == Outcome.ANSWERED.value:
        return AttemptResult(AttemptOutcome.ANSWERED)
    if named == Outcome.UNKNOWN.value:
        return AttemptResult(AttemptOutcome.UNKNOWN)
    body = orjson.loads(response.body)
    retry_after_s = float(response.headers.get(RETRY_AFTER_HEADER, "0"))
    return AttemptResult(AttemptOutcome.REFUSED, str(body.get("reason", "")), retry_after_s)
