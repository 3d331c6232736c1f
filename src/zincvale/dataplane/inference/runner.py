"""Carries out the effects of one request machine: the thin part that knows the event loop."""

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
"""How long a late response is still waited for, to be recorded for resends."""
CONTINUATION_TIMEOUT_S = 20.0
"""How long a broken stream may wait for another server."""


class RequestRunner(VerdictReceiver):
    """One request under way.

    Inputs are applied one after the other. An effect that waits for a dependency delays those
    after it, and the inputs that come meanwhile.
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
        self.admitted = False
        self._pool = pool
        self._token = token
        self._server = ServerSide(context, machine, pool, trace, self.feed)
        self._dependency_calls = DependencyCalls(context, machine)
        self._caller = CallerSide(
            context,
            machine,
            trace,
            sink,
            self._server.set_backpressure,
            self.on_caller_lost,
            self._on_fenced,
        )
        self._inputs: deque[Input] = deque()
        self._effects: deque[Effect] = deque()
        self._busy = False
        self._timer: asyncio.TimerHandle | None = None
        self._waiting: asyncio.Task[None] | None = None

    # inputs

    def feed(self, event: Input) -> None:
        """Apply an input and carry out what follows, in order."""
        self._inputs.append(event)
        if not self._busy:
            self._advance()

    def start_deadline(self, seconds: float) -> None:
        """Arm the deadline timer."""
        self._arm(max(0.0, seconds), self._on_deadline)

    def on_caller_lost(self) -> None:
        """Record that the caller closed its connection."""
        self._caller.abandon()
        self.feed(CallerDisconnected(self._server.sent))

    def check_timeout(self, now: float) -> None:
        """Give up a stream whose server no longer responds."""
        if self.machine.phase in (Phase.EXCHANGING, Phase.LATE):
            self._server.check_timeout(now, self._caller.is_backpressured)

    def on_server_lost(self, server: ServerState, now: float) -> None:
        """Give up an exchange with a server that is down."""
        if self.machine.phase is Phase.EXCHANGING:
            self._server.on_server_lost(server, now)

    def on_policy_reasons(self, reasons: tuple[PolicyReason, ...]) -> None:
        """Put the policies' reasons on the trace."""
        self.trace.record_policies(reasons)

    def on_queued(self, verdict: Queued) -> None:
        """Put the wait on the trace."""
        self.trace.record_wait(verdict.blocked.value)

    def on_placed(self, server: ServerState, waited_s: float) -> None:
        """Remember the server whose slot is reserved."""
        self._server.on_placed(server)
        self.trace.record_wait_end(waited_s)

    def _on_deadline(self) -> None:
        self._timer = None
        self.feed(DeadlinePassed(self._server.sent))

    def _on_late_limit(self) -> None:
        self._timer = None
        self._server.give_up("no late answer either")

    def _on_fenced(self) -> None:
        self.feed(StreamFenced())

    # effects

    def _advance(self) -> None:
        self._busy = True
        try:
            if self._process():
                self._busy = False
        except Exception as error:  # a defect must not keep the slots of its request
            self._end_by_defect(error)

    def _process(self) -> bool:
        """Work off effects and inputs; False when an effect waits for a dependency."""
        while self._effects or self._inputs:
            if self._effects:
                call = self._carry_out(self._effects.popleft())
                if call is not None:
                    loop = asyncio.get_running_loop()
                    self._waiting = loop.create_task(self._after(call))
                    return False
                continue
            event = self._inputs.popleft()
            self.trace.record_input(event)
            self._effects.extend(self.machine.handle(event))
        return True

    async def _after(self, call: Coroutine[Any, Any, Input | None]) -> None:
        event = await call
        if event is not None:
            self._inputs.append(event)
        self._advance()

    def _carry_out(self, effect: Effect) -> Coroutine[Any, Any, Input | None] | None:
        match effect:
            case RelayChunks():
                self._caller.relay(effect)
            case ChooseServer(excluded, retry):
                self._choose(excluded, retry)
            case Dispatch():
                if not self._server.dispatch(effect):
                    self._inputs.append(DispatchForbidden())
            case FreeServer():
                self._server.free(effect)
            case SendResponse():
                self._send_response(effect)
            case Finish(outcome, reason):
                self._finish(outcome, reason)
            case OpenStream():
                self._caller.open_stream()
            case EndStream(count):
                self._caller.end_stream(count)
            case BreakStream(resumable, reason):
                self._caller.break_stream(resumable, reason)
            case CancelChoice():
                if self._pool is not None:
                    self.context.scheduler.cancel(self._pool.name, self._token)
            case CancelExchange():
                self._server.cancel()
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
                raise TypeError(f"no way to carry out {effect!r}")

    def _choose(self, excluded: frozenset[str], retry: bool) -> None:
        request = self.machine.request
        route = self.machine.route
        scheduler = self.context.scheduler
        if retry and not scheduler.take_retry(route):
            refusal = Refusal(RefusalReason.OVERLOADED, "the retry budget is used up")
            self._inputs.append(NoServer(refusal))
            return
        if retry:
            self.context.metrics.retry(request.route)
        if self.machine.is_stream_open:
            # A stream that has begun goes before any new request.
            self.context.metrics.continuations.inc()
            deadline_at = self.context.clock() + CONTINUATION_TIMEOUT_S
            request = attrs.evolve(request, deadline_at=deadline_at)
            route = dataclasses.replace(route, stake=Stake.HIGH)
        self.context.place(request, route, self._token, excluded)

    def _send_response(self, effect: SendResponse) -> None:
        self._caller.send_response(effect)
        if self.machine.phase is Phase.LATE:
            self._arm(LATE_RESPONSE_TIMEOUT_S, self._on_late_limit)

    def _finish(self, outcome: Outcome, reason: str) -> None:
        self._disarm()
        request = self.machine.request
        if self.admitted:
            self.admitted = False
            self.context.scheduler.leave(request)
        self.context.verdict_receivers.pop(self._token, None)
        elapsed_s = self.context.clock() - request.received_at
        self.context.metrics.finished(request.route, outcome, reason, elapsed_s)
        self.trace.finish(outcome, reason)
        self._server.release()
        self._caller.release()

    def _end_by_defect(self, error: Exception) -> None:
        """Nothing is promised of a request that a defect hit; its places are given back."""
        request_id = self.machine.request.request_id
        self.context.log(log_events.REQUEST_DEFECT, request_id=request_id, error=repr(error))
        self.machine.phase = Phase.DONE
        self._effects.clear()
        self._server.cancel()
        self._server.free(FreeServer(ExchangeEnd.ABANDONED))
        if self.machine.is_stream_open:
            self._caller.break_stream(False, "a defect of this node")
        else:
            self._caller.send_response(responses.unknown(request_id, "a defect of this node"))
        self._finish(Outcome.UNKNOWN, "defect")
        self._busy = False

    def _arm(self, seconds: float, callback: Any) -> None:
        self._disarm()
        self._timer = asyncio.get_running_loop().call_later(seconds, callback)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
