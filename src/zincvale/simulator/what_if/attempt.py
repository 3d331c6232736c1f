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
from zincvale.standins.caller_progress import NodeChoice
from zincvale.standins.caller_retry import AttemptOutcome, AttemptResult
from zincvale.standins.request_plan import Plan, Planner


@attrs.define(eq=False)
class CallersContext:
    """What all callers share; the load began at `started_at`."""

    clock: VirtualClock
    timings: Timings
    nodes: dict[str, VirtualNode]
    choice: NodeChoice
    figures: FigureTable
    planner: Planner
    started_at: float
    open_conversations: int = 0
    """Arrivals whose last turn is not over."""


class Asking(Protocol):
    """The request over all of its attempts."""

    context: CallersContext
    plan: Plan
    row: RequestRow
    pieces: int
    """Pieces of a stream that are here."""
    deadline_at: float

    def heard_first(self) -> None:
        """Take note of the first byte or piece."""


class CallerAttempt:
    """One attempt at one node: the counterpart of the stand-in's HTTP exchange."""

    def __init__(
        self,
        request: Asking,
        node: str,
        request_id: str,
        ended: Callable[[AttemptResult], None],
    ) -> None:
        plan = request.plan
        self.hang_up_after = plan.hang_up_after if plan.stream else 0
        self._request = request
        self._context = request.context
        self._node = request.context.nodes[node]
        self._request_id = request_id
        self._ended = ended
        self._over = False
        self._at_node: VirtualRequest | None = None
        self._had_pieces = False
        self._silence: Timer | None = None

    def start(self) -> None:
        """Send the request to the node."""
        caller = self._request.plan.caller
        self._await_sound(caller.first_byte_timeout_s)
        self._context.clock.call_later(self._context.timings.caller_hop_s, self._arrive)

    # what the node says, when the bytes leave it

    def on_answer(self, answer: SendResponse) -> None:
        """Take a whole response."""
        self._later(0.0, lambda: self._take_answer(answer))

    def on_pieces(self, last_index: int, delay_s: float) -> None:
        """Take pieces."""
        self._later(delay_s, lambda: self._take_pieces(last_index))

    def on_end(self, count: int, delay_s: float) -> None:
        """Take a stream's end."""
        answered = AttemptResult(AttemptOutcome.ANSWERED)
        self._later(delay_s, lambda: self._finish(answered))

    def on_break(self, resumable: bool) -> None:
        """Take a stream that broke, marked as such."""
        broken = AttemptResult(AttemptOutcome.INTERRUPTED, resumable=resumable)
        self._later(0.0, lambda: self._finish(broken))

    def on_stalled(self) -> None:
        """Bear the silence of a stream for a while."""
        if not self._over:
            self._await_sound(self._request.plan.caller.idle_timeout_s)

    def on_reset(self) -> None:
        """Take the loss of the connection."""
        outcome = AttemptOutcome.INTERRUPTED if self._had_pieces else AttemptOutcome.LOST
        self._later(0.0, lambda: self._finish(AttemptResult(outcome)))

    # at the node

    def _arrive(self) -> None:
        if self._over:
            return
        node = self._node
        named = node.route_at(self._request.plan.path) if node.up else None
        if not node.up:
            self._finish(AttemptResult(AttemptOutcome.NOT_CONNECTED))
            return
        if named is None:
            reason = "not-ready" if node.world.intent.version == 0 else "no-route"
            refusal = AttemptResult(AttemptOutcome.REFUSED, reason, 1.0)
            self._later(0.0, lambda: self._finish(refusal))
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
            resume_after=self._request.pieces or None,
        )
        if not lookup and route.models and plan.model not in route.models:
            refusal = AttemptResult(AttemptOutcome.REFUSED, "invalid")
            self._later(0.0, lambda: self._finish(refusal))
            return
        self._at_node = node.begin(request, route, self)

    # at the caller

    def _take_answer(self, answer: SendResponse) -> None:
        result = _read_answer(answer)
        if result.outcome is AttemptOutcome.ANSWERED:
            self._request.heard_first()
        self._finish(result)

    def _take_pieces(self, last_index: int) -> None:
        if self._over:
            return
        self._had_pieces = True
        self._request.heard_first()
        self._request.pieces = max(self._request.pieces, last_index)
        if self._silence is not None:
            self._silence.cancel()
            self._silence = None
        if 0 < self.hang_up_after <= self._request.pieces:
            self._close()
            self._finish(AttemptResult(AttemptOutcome.HUNG_UP))

    def _on_silence(self) -> None:
        self._silence = None
        if self._over:
            return
        self._close()
        outcome = AttemptOutcome.INTERRUPTED if self._had_pieces else AttemptOutcome.LOST
        self._finish(AttemptResult(outcome))

    def _finish(self, result: AttemptResult) -> None:
        if self._over:
            return
        self._over = True
        if self._silence is not None:
            self._silence.cancel()
        if self._at_node is not None:
            self._request.row.add_node_counts(self._at_node)
        self._ended(result)

    def _close(self) -> None:
        at_node = self._at_node
        if at_node is not None:
            hop_s = self._context.timings.caller_hop_s
            self._context.clock.call_later(hop_s, at_node.on_caller_lost)

    def _await_sound(self, seconds: float) -> None:
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self._context.clock.call_later(seconds, self._on_silence)

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
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


def _read_answer(answer: SendResponse) -> AttemptResult:
    named = answer.headers.get(OUTCOME_HEADER, "")
    if named == Outcome.ANSWERED.value:
        return AttemptResult(AttemptOutcome.ANSWERED)
    if named == Outcome.UNKNOWN.value:
        return AttemptResult(AttemptOutcome.UNKNOWN)
    body = orjson.loads(answer.body)
    retry_after_s = float(answer.headers.get(RETRY_AFTER_HEADER, "0"))
    return AttemptResult(AttemptOutcome.REFUSED, str(body.get("reason", "")), retry_after_s)
