"""Executes the effects of one `RequestMachine` in virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

import attrs

from zincvale.dataplane.inference import responses as responses
from zincvale.dataplane.inference.dependencies import ClaimDecision, RecordedOutcome
from zincvale.dataplane.inference.events import (
    BreakStream,
    CallerDisconnected,
    CancelChoice,
    CancelExchange,
    ChooseServer,
    Claim,
    ClaimDecided,
    ClaimRenewed,
    DeadlinePassed,
    Dispatch,
    Effect,
    EndStream,
    Finish,
    FreeServer,
    Input,
    LookUpStream,
    NoServer,
    OpenStream,
    RecordOutcome,
    RecordStream,
    Refusal,
    RelayChunks,
    ReleaseClaim,
    RenewClaim,
    SendResponse,
    ServerFailed,
    StreamFound,
)
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_state import Phase
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.inference.routing_state import PoolState, ServerState
from zincvale.dataplane.inference.runner import CONTINUATION_TIMEOUT_S, LATE_RESPONSE_TIMEOUT_S
from zincvale.dataplane.inference.scheduler import Scheduler, work_tokens
from zincvale.dataplane.inference.verdicts import Verdict
from zincvale.dataplane.resilience.exchange_evidence import ExchangeReport
from zincvale.model.outcomes import Outcome, RefusalReason
from zincvale.simulator.what_if.claims import ClaimTable
from zincvale.simulator.what_if.clock import Timer
from zincvale.simulator.what_if.exchange import ExchangeNode, VirtualExchange
from zincvale.simulator.what_if.figures import RequestStats

OK_STATUS = 200


class CallerSide(Protocol):
    """The caller's side of one attempt; called at the time of sending, before the delay."""

    hang_up_after_chunks: int

    def on_response(self, response: SendResponse) -> None:
        """Handle a complete response."""

    def on_chunks(self, last_index: int, delay_s: float) -> None:
        """Handle the chunks of a stream up to `last_index`."""

    def on_end(self, count: int, delay_s: float) -> None:
        """Handle the explicit end of a stream."""

    def on_break(self, resumable: bool) -> None:
        """Handle a stream that the node ends early and marks as broken."""

    def on_stalled(self) -> None:
        """Handle that no chunk follows until the stream continues at another server."""

    def on_reset(self) -> None:
        """Handle that the connection is lost."""


class RequestNode(ExchangeNode, Protocol):
    """The parts of a node (`node.VirtualNode`) that a request uses."""

    @property
    def is_up(self) -> bool:
        """Whether the node's process runs."""
        ...

    @property
    def claims(self) -> ClaimTable:
        """Claims and journaled streams of all nodes."""
        ...

    @property
    def scheduler(self) -> Scheduler:
        """The node's queues and admission."""
        ...

    @property
    def requests(self) -> dict[int, VirtualRequest]:
        """The node's open requests, by token."""
        ...

    def deliver(self, verdicts: list[Verdict]) -> None:
        """Apply verdicts of the scheduler to their requests."""
        ...

    def finish_exchange(
        self, request: CallerRequest, server: ServerState, report: ExchangeReport
    ) -> None:
        """Release a server's slot and place the requests that waited for it."""
        ...

    def observe(self, request: VirtualRequest, outcome: Outcome, reason: str, /) -> None:
        """Report the end of a request."""
        ...


class VirtualRequest:
    """One request at one node: the counterpart of the daemon's `RequestRunner`."""

    def __init__(
        self,
        node: RequestNode,
        machine: RequestMachine,
        pool: PoolState | None,
        caller: CallerSide,
        token: int,
    ) -> None:
        self.node = node
        self.machine = machine
        self.is_admitted = False
        self.stats = RequestStats()
        self.queued_for_load = False
        self._pool = pool
        self._caller: CallerSide | None = caller
        self._token = token
        self._inputs: deque[Input] = deque()
        self._effects: deque[Effect] = deque()
        self._is_busy = False
        self._timer: Timer | None = None
        self._server: ServerState | None = None
        self._exchange: VirtualExchange | None = None
        self._queued_at: float | None = None

    # Inputs of the request machine.

    def feed(self, event: Input) -> None:
        """Apply an input and execute the resulting effects, in order."""
        self._inputs.append(event)
        if not self._is_busy:
            self._advance()

    def start_deadline(self, seconds: float) -> None:
        """Start the deadline timer."""
        self._arm_timer(max(0.0, seconds), self._on_deadline)

    def on_queued(self, for_load: bool) -> None:
        """Record that the request is queued, for a load or for a free slot."""
        self._queued_at = self.node.clock.now
        self.queued_for_load = for_load
        self.stats.waited_for_load |= for_load

    def on_placed(self, server: ServerState) -> None:
        """Record the server that has a slot reserved for the request."""
        self._server = server
        self.record_wait()

    def record_wait(self) -> None:
        """Add the time since the request was queued to its waits, if it is queued."""
        if self._queued_at is None:
            return
        waited_s = self.node.clock.now - self._queued_at
        self._queued_at = None
        if self.queued_for_load:
            self.stats.load_wait_s += waited_s
        else:
            self.stats.queue_wait_s += waited_s

    def on_caller_disconnected(self) -> None:
        """Handle that the caller closed its connection."""
        self._caller = None
        if self.machine.is_stream_open:
            self._record_stream(False)
        self.feed(CallerDisconnected(self._is_sent))

    def on_node_lost(self) -> None:
        """Handle that the node crashed: its connections break and the request stops."""
        caller, self._caller = self._caller, None
        if self._exchange is not None:
            self._exchange.close()
        self._cancel_timer()
        if self.machine.is_stream_open:
            self._record_stream(False)
        self.machine.phase = Phase.DONE
        self._effects.clear()
        self._inputs.clear()
        self._is_busy = True
        if caller is not None:
            caller.on_reset()

    @property
    def _is_sent(self) -> bool:
        return self._exchange is not None and not self._exchange.is_closed

    def _on_deadline(self) -> None:
        self._timer = None
        self.feed(DeadlinePassed(self._is_sent))

    def _on_late_response_timeout(self) -> None:
        self._timer = None
        if self._exchange is not None:
            self._exchange.close()
        self.feed(ServerFailed("no response within the late-response timeout", True))

    # Effects of the request machine.

    def _advance(self) -> None:
        self._is_busy = True
        while self._effects or self._inputs:
            if self._effects:
                if self._execute(self._effects.popleft()):
                    return
                continue
            self._effects.extend(self.machine.handle(self._inputs.popleft()))
        self._is_busy = False

    def _resume(self, event: Input | None = None) -> None:
        """Continue after a call to a dependency."""
        if not self.node.is_up:
            return
        if event is not None:
            self._inputs.append(event)
        self._advance()

    def _execute(self, effect: Effect) -> bool:
        """Execute one effect; return True when the following ones have to wait for it."""
        match effect:
            case RelayChunks():
                self._relay(effect)
            case ChooseServer(excluded, retry):
                self._choose_server(excluded, retry)
            case Dispatch():
                self._dispatch(effect)
            case FreeServer():
                self._free_server(effect)
            case SendResponse():
                self._send_response(effect)
            case Finish(outcome, reason):
                self._finish(outcome, reason)
            case OpenStream():
                pass
            case EndStream(count):
                self._end_stream(count)
            case BreakStream(resumable, _):
                self._break_stream(resumable)
            case CancelChoice():
                self.record_wait()
                if self._pool is not None:
                    self.node.scheduler.cancel(self._pool.name, self._token)
            case CancelExchange():
                if self._exchange is not None:
                    self._exchange.close()
            case _:
                self._call_dependency(effect)
                return True
        return False

    def _call_dependency(self, effect: Effect) -> None:
        request = self.machine.request
        claims = self.node.claims
        on_called: Callable[[], None] = self._resume
        match effect:
            case Claim():

                def on_called() -> None:
                    claims.claim(
                        request.request_id,
                        request.digest,
                        request.deadline_at,
                        self._on_claim_decided,
                    )

            case RenewClaim():

                def on_called() -> None:
                    self._resume(ClaimRenewed(True))

            case LookUpStream():

                def on_called() -> None:
                    self._resume(StreamFound(claims.stream(request.request_id)))

            case RecordOutcome():
                outcome = RecordedOutcome(
                    effect.outcome, effect.status, effect.headers, effect.body
                )
                claims.record(request.request_id, outcome)
            case RecordStream():
                headers = responses.stream_headers(request.request_id)
                body = responses.encode_stream(self.machine.chunks)
                outcome = RecordedOutcome(Outcome.ANSWERED, OK_STATUS, headers, body)
                claims.record(request.request_id, outcome)
            case ReleaseClaim():
                claims.release(request.request_id)
        self.node.clock.call_later(self.node.timings.claim_s, on_called)

    def _on_claim_decided(self, decision: ClaimDecision) -> None:
        self._resume(ClaimDecided(decision))

    def _choose_server(self, excluded: frozenset[str], retry: bool) -> None:
        request = self.machine.request
        route = self.machine.route
        scheduler = self.node.scheduler
        if retry and not scheduler.take_retry(route):
            refusal = Refusal(RefusalReason.OVERLOADED, "the retry budget is used up")
            self._inputs.append(NoServer(refusal))
            return
        now = self.node.clock.now
        if self.machine.is_stream_open:
            request = attrs.evolve(request, deadline_at=now + CONTINUATION_TIMEOUT_S)
        self.node.deliver(scheduler.place(request, route, self._token, now, excluded))

    def _dispatch(self, effect: Dispatch) -> None:
        assert self._server is not None
        self.stats.server_attempts += 1
        self._exchange = VirtualExchange(self, len(effect.prefix), self.node.clock.now)
        self._exchange.start(self._server)

    def _free_server(self, effect: FreeServer) -> None:
        server, self._server = self._server, None
        exchange, self._exchange = self._exchange, None
        if server is None or self._pool is None:
            return
        now = self.node.clock.now
        report = ExchangeReport(
            effect.end,
            now if exchange is None else exchange.started_at,
            now,
            work_tokens(self.machine.request, self._pool.spec.kind),
            effect.units,
            effect.missing,
            0.0 if exchange is None else exchange.first_chunk_s,
        )
        self.node.finish_exchange(self.machine.request, server, report)

    def _relay(self, effect: RelayChunks) -> None:
        if self._caller is not None:
            last_index = effect.first_index + len(effect.chunks) - 1
            delay_s = self.node.timings.journal_s if effect.journal else 0.0
            self._caller.on_chunks(last_index, delay_s)

    def _end_stream(self, count: int) -> None:
        if self._caller is not None:
            self._caller.on_end(count, self.node.timings.journal_s)

    def _break_stream(self, resumable: bool) -> None:
        self._record_stream(False)
        if self._caller is not None:
            self._caller.on_break(resumable)

    def _record_stream(self, is_complete: bool) -> None:
        request = self.machine.request
        count = len(self.machine.chunks)
        if self._exchange is not None:
            count = max(count, self._exchange.chunk_count)
        self.node.claims.record_stream(request.request_id, request.digest, count, is_complete)

    def _send_response(self, effect: SendResponse) -> None:
        if self._caller is not None:
            self._caller.on_response(effect)
        if self.machine.phase is Phase.LATE:
            self._arm_timer(LATE_RESPONSE_TIMEOUT_S, self._on_late_response_timeout)

    def _finish(self, outcome: Outcome, reason: str) -> None:
        self._cancel_timer()
        self.record_wait()
        if self.is_admitted:
            self.is_admitted = False
            self.node.scheduler.finish_request(self.machine.request)
        self.node.requests.pop(self._token, None)
        self.node.observe(self, outcome, reason)

    def _arm_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self.node.clock.call_later(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def on_exchange(self, exchange: VirtualExchange, event: Input) -> None:
        """Handle an event of an exchange, unless that was cancelled."""
        if exchange is not self._exchange or exchange.is_closed or not self.node.is_up:
            return
        if isinstance(event, ServerFailed) and self.machine.chunks and self._caller is not None:
            self._caller.on_stalled()
        self.feed(event)

    @property
    def hang_up_after_chunks(self) -> int:
        """Number of chunks after which the caller hangs up; 0 means never."""
        return 0 if self._caller is None else self._caller.hang_up_after_chunks
