"""Carries out the effects of one request machine on the event loop."""

from __future__ import annotations

import asyncio
import dataclasses
from collections import deque
from collections.abc import Coroutine
from typing import Any

import attrs

from zincvale.dataplane import log_events
from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.caller_side import CallerSide
from zincvale.dataplane.inference.context import NodeContext, VerdictReceiver
from zincvale.dataplane.inference.dependency_calls import DependencyCalls
from zincvale.dataplane.inference.events import (
    BreakStream,
    CallerDisconnected,
    CancelChoice,
    CancelExchange,
    ChooseServer,
    Claim,
    DeadlinePassed,
    Dispatch,
    DispatchForbidden,
    Effect,
    EndStream,
    Finish,
    FreeServer,
    Input,
    LookUpStream,
    MarkMayHaveRun,
    NoServer,
    OpenStream,
    RecordOutcome,
    RecordStream,
    Refusal,
    RelayChunks,
    ReleaseClaim,
    RenewClaim,
    SendResponse,
    StreamFenced,
)
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_state import Phase
from zincvale.dataplane.inference.request_trace import RequestTrace
from zincvale.dataplane.inference.routing import PolicyReason
from zincvale.dataplane.inference.routing_state import PoolState, ServerState
from zincvale.dataplane.inference.server_side import ServerSide
from zincvale.dataplane.inference.stream_relay import CallerSink
from zincvale.dataplane.inference.verdicts import Queued
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.outcomes import Outcome, RefusalReason
from zincvale.model.resources import Stake

LATE_RESPONSE_TIMEOUT_S = 15.0
"""How long a late response may take to arrive and still be recorded for resends."""
CONTINUATION_TIMEOUT_S = 20.0
"""How long a broken stream may wait in the queue for another server."""


class RequestRunner(VerdictReceiver):
    """Executes one request.

    Inputs are handled one after the other. An effect that waits for a dependency delays the effects
    after it and the inputs that arrive meanwhile.
    """

    def __init__(
        self,
        context: NodeContext,
        machine: RequestMachine,
        pool: PoolState | None,
        sink: CallerSink,
        trace: RequestTrace,
        token: int,
    ) -> None:
        self.context = context
        self.machine = machine
        self.trace = trace
        self.is_admitted = False
        self._pool = pool
        self._token = token
        self._server_side = ServerSide(context, machine, pool, trace, self.feed)
        self._dependency_calls = DependencyCalls(context, machine)
        self._caller_side = CallerSide(
            context,
            machine,
            trace,
            sink,
            self._server_side.set_backpressure,
            self.on_caller_disconnected,
            self._on_fenced,
        )
        self._inputs: deque[Input] = deque()
        self._effects: deque[Effect] = deque()
        self._is_processing = False
        self._timer: asyncio.TimerHandle | None = None
        self._dependency_task: asyncio.Task[None] | None = None

    # inputs

    def feed(self, event: Input) -> None:
        """Pass an input to the machine and carry out the resulting effects, in order."""
        self._inputs.append(event)
        if not self._is_processing:
            self._advance()

    def start_deadline(self, seconds: float) -> None:
        """Start the deadline timer."""
        self._start_timer(max(0.0, seconds), self._on_deadline)

    def on_caller_disconnected(self) -> None:
        """Stop sending and tell the machine that the caller closed its connection."""
        self._caller_side.abandon()
        self.feed(CallerDisconnected(self._server_side.sent))

    def check_timeout(self, now: float) -> None:
        """Give up a stream whose server no longer sends."""
        if self.machine.phase in (Phase.EXCHANGING, Phase.LATE):
            self._server_side.check_timeout(now, self._caller_side.is_backpressured)

    def on_server_down(self, server: ServerState, now: float) -> None:
        """Give up an exchange with `server`, which the directory reports down."""
        if self.machine.phase is Phase.EXCHANGING:
            self._server_side.on_server_down(server, now)

    def on_policy_reasons(self, reasons: tuple[PolicyReason, ...]) -> None:
        """Record the policies' reasons in the trace."""
        self.trace.record_policies(reasons)

    def on_queued(self, verdict: Queued) -> None:
        """Record in the trace that the request is queued."""
        self.trace.record_wait(verdict.blocked.value)

    def on_placed(self, server: ServerState, waited_s: float) -> None:
        """Record the server whose slot is reserved for the request."""
        self._server_side.on_placed(server)
        self.trace.record_wait_end(waited_s)

    def _on_deadline(self) -> None:
        self._timer = None
        self.feed(DeadlinePassed(self._server_side.sent))

    def _on_late_response_timeout(self) -> None:
        self._timer = None
        self._server_side.give_up("no response within the late-response timeout")

    def _on_fenced(self) -> None:
        self.feed(StreamFenced())

    # effects

    def _advance(self) -> None:
        self._is_processing = True
        try:
            if self._process():
                self._is_processing = False
        except Exception as error:  # a bug must not leave the request's slots reserved
            self._finish_after_defect(error)

    def _process(self) -> bool:
        """Carry out all effects and inputs; False when an effect waits for a dependency."""
        while self._effects or self._inputs:
            if self._effects:
                call = self._carry_out(self._effects.popleft())
                if call is not None:
                    loop = asyncio.get_running_loop()
                    self._dependency_task = loop.create_task(self._await_dependency(call))
                    return False
                continue
            event = self._inputs.popleft()
            self.trace.record_input(event)
            self._effects.extend(self.machine.handle(event))
        return True

    async def _await_dependency(self, call: Coroutine[Any, Any, Input | None]) -> None:
        event = await call
        if event is not None:
            self._inputs.append(event)
        self._advance()

    def _carry_out(self, effect: Effect) -> Coroutine[Any, Any, Input | None] | None:
        match effect:
            case RelayChunks():
                self._caller_side.relay(effect)
            case ChooseServer(excluded, retry):
                self._choose_server(excluded, retry)
            case Dispatch():
                if not self._server_side.dispatch(effect):
                    self._inputs.append(DispatchForbidden())
            case FreeServer():
                self._server_side.free(effect)
            case SendResponse():
                self._send_response(effect)
            case Finish(outcome, reason):
                self._finish(outcome, reason)
            case OpenStream():
                self._caller_side.open_stream()
            case EndStream(count):
                self._caller_side.end_stream(count)
            case BreakStream(resumable, reason):
                self._caller_side.break_stream(resumable, reason)
            case CancelChoice():
                if self._pool is not None:
                    self.context.scheduler.cancel(self._pool.name, self._token)
            case CancelExchange():
                self._server_side.cancel()
            case MarkMayHaveRun():
                self.context.spawn(self._dependency_calls.mark_may_have_run())
            case _:
                return self._call_dependency(effect)
        return None

    def _call_dependency(self, effect: Effect) -> Coroutine[Any, Any, Input | None]:
        match effect:
            case Claim(within_s):
                return self._dependency_calls.claim(within_s)
            case RenewClaim():
                return self._dependency_calls.renew()
            case LookUpStream(after):
                return self._dependency_calls.look_up(after)
            case RecordOutcome():
                return self._dependency_calls.record(effect)
            case RecordStream():
                return self._dependency_calls.record_stream()
            case ReleaseClaim():
                return self._dependency_calls.release()
            case _:
                raise TypeError(f"no handler for effect {effect!r}")

    def _choose_server(self, excluded: frozenset[str], retry: bool) -> None:
        request = self.machine.request
        route = self.machine.route
        scheduler = self.context.scheduler
        if retry and not scheduler.take_retry(route):
            refusal = Refusal(RefusalReason.OVERLOADED, "the retry budget is used up")
            self._inputs.append(NoServer(refusal))
            return
        if retry:
            self.context.metrics.record_retry(request.route)
        if self.machine.is_stream_open:
            # A stream that has begun takes precedence over every new request.
            self.context.metrics.continuations.inc()
            deadline_at = self.context.clock() + CONTINUATION_TIMEOUT_S
            request = attrs.evolve(request, deadline_at=deadline_at)
            route = dataclasses.replace(route, stake=Stake.HIGH)
        self.context.place(request, route, self._token, excluded)

    def _send_response(self, effect: SendResponse) -> None:
        self._caller_side.send_response(effect)
        if self.machine.phase is Phase.LATE:
            self._start_timer(LATE_RESPONSE_TIMEOUT_S, self._on_late_response_timeout)

    def _finish(self, outcome: Outcome, reason: str) -> None:
        self._stop_timer()
        request = self.machine.request
        if self.is_admitted:
            self.is_admitted = False
            self.context.scheduler.finish_request(request)
        self.context.verdict_receivers.pop(self._token, None)
        elapsed_s = self.context.clock() - request.received_at
        self.context.metrics.record_finished(request.route, outcome, reason, elapsed_s)
        self.trace.finish(outcome, reason)
        self._server_side.detach_runner()
        self._caller_side.detach_runner()

    def _finish_after_defect(self, error: Exception) -> None:
        """End the request as `unknown` after an unexpected exception and free its slots."""
        request_id = self.machine.request.request_id
        self.context.log(log_events.REQUEST_DEFECT, request_id=request_id, error=repr(error))
        self.machine.phase = Phase.DONE
        self._effects.clear()
        self._server_side.cancel()
        self._server_side.free(FreeServer(ExchangeEnd.ABANDONED))
        if self.machine.is_stream_open:
            self._caller_side.break_stream(False, "internal error of this node")
        else:
            self._caller_side.send_response(
                responses.unknown(request_id, "internal error of this node")
            )
        self._finish(Outcome.UNKNOWN, "defect")
        self._is_processing = False

    def _start_timer(self, seconds: float, callback: Any) -> None:
        self._stop_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
