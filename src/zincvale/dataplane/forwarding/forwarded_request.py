"""Carries out the effects of one request machine: the thin part that knows the event loop."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

import attrs
import orjson

from zincvale.dataplane.forwarding.caller_sink import CallerSink, IncomingRequest
from zincvale.dataplane.forwarding.dialect import CallerFacts, SendFacts
from zincvale.dataplane.forwarding.event_splitter import EventSplitter
from zincvale.dataplane.forwarding.header_rewrite import to_caller, to_server
from zincvale.dataplane.forwarding.node_context import ForwardingContext
from zincvale.dataplane.forwarding.pending_requests import Waiting, Wanted
from zincvale.dataplane.forwarding.policies import Blocked, Chosen
from zincvale.dataplane.forwarding.request_events import (
    AnswerBroken,
    AnswerEnded,
    CallerLeft,
    ContentReceived,
    CutAnswer,
    DropExchange,
    EndAnswer,
    FinalKind,
    FindServer,
    Finish,
    HeadReceived,
    Input,
    NoServerFound,
    NotSent,
    OwnAnswer,
    RelayContent,
    RelayHead,
    Release,
    Send,
    ServerFound,
    StopFinding,
    TimeOver,
)
from zincvale.dataplane.forwarding.request_machine import RequestMachine
from zincvale.dataplane.forwarding.servers import ServerState
from zincvale.model.forwarding import ForwardRoute
from zincvale.transport.server_client import ServerExchange
from zincvale.transport.server_exchange import OutgoingRequest, ResponseHead

EVENT_STREAM = "text/event-stream"
MAX_UNSENT_BYTES = 262_144
PRESSURE_LOOK_S = 0.02
URGENCY_STEP = 2
MOST_URGENCY = 9
RETRY_BUDGET_SPENT_S = 0.2


class ForwardedRequest:
    """One request under way; also the listener of its exchange.

    Inputs are applied one after the other: what an effect brings about at once waits its turn.
    """

    def __init__(
        self,
        context: ForwardingContext,
        route: ForwardRoute,
        facts: CallerFacts,
        incoming: IncomingRequest,
        sink: CallerSink,
    ) -> None:
        self._context = context
        self._route = route
        self._facts = facts
        self._incoming = incoming
        self._sink = sink
        self._machine = RequestMachine(route, facts.last_event_id)
        self._pool = context.pool_for(route)
        self._deadline_at = incoming.read_at + min(
            route.timeout_s, facts.deadline_s if facts.deadline_s is not None else route.timeout_s
        )
        self._inputs: deque[Input] = deque()
        self._running = False
        self._waiting: Waiting | None = None
        self._chosen: Chosen | None = None
        self._exchange: ServerExchange | None = None
        self._head: ResponseHead | None = None
        self._splitter: EventSplitter | None = None
        self._sent_at = 0.0
        self._first_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._span: Any = None
        self._send_span: Any = None

    def begin(self) -> None:
        """Start."""
        context = self._context
        context.under_way.add(self)
        self._span = context.spans.start(
            "request",
            attributes={"route": self._route.name, "request_id": self._facts.request_id},
        )
        context.world.retry_budget(self._pool).note_request(context.clock())
        context.note_request(self._pool, self._facts.prompt)
        loop = asyncio.get_running_loop()
        left_s = max(0.0, self._deadline_at - context.clock())
        self._timer = loop.call_later(left_s, self._feed, TimeOver())
        self._run(self._machine.begin())

    def caller_left(self) -> None:
        """The caller closed its connection."""
        self._feed(CallerLeft())

    # --- listener of the exchange ---------------------------------------------------------

    def on_not_sent(self, reason: str) -> None:
        """No connection came up."""
        self._feed(NotSent(reason))

    def on_head(self, head: ResponseHead) -> None:
        """The head of the answer."""
        now = self._context.clock()
        lowered = head.lowered()
        self._head = head
        is_stream = lowered.get("content-type", "").startswith(EVENT_STREAM)
        self._splitter = EventSplitter() if is_stream else None
        facts = self._context.dialect.answer_facts(head.status, lowered)
        if self._chosen is not None and not facts.never_ran and not is_stream:
            self._chosen.server.note_answer(now - self._sent_at)
        self._send_span.event("head", status=head.status)
        self._first_at = 0.0
        self._feed(HeadReceived(head.status, facts, is_stream))

    def on_content(self, data: bytes) -> None:
        """A part of the body."""
        if self._splitter is None:
            self._feed(ContentReceived(data))
            return
        whole = self._splitter.feed(data)
        if whole is None:
            return
        if not self._first_at:
            self._note_first_event()
        self._feed(ContentReceived(whole.content, whole.last_id))

    def on_complete(self) -> None:
        """The answer is whole."""
        self._exchange = None
        rest = self._splitter.take_rest() if self._splitter is not None else b""
        if rest:
            self._feed(ContentReceived(rest))
        self._feed(AnswerEnded())

    def on_broken(self, reason: str) -> None:
        """The exchange broke."""
        self._exchange = None
        self._feed(AnswerBroken(reason))

    def _note_first_event(self) -> None:
        self._first_at = self._context.clock()
        self._send_span.event("first-event")
        if self._chosen is not None:
            self._chosen.server.note_answer(self._first_at - self._sent_at)
            self._chosen.server.outstanding_tokens -= self._chosen.tokens
            self._chosen = attrs.evolve(self._chosen, tokens=0)

    # --- effects --------------------------------------------------------------------------

    def _feed(self, event: Input) -> None:
        self._inputs.append(event)
        if not self._running:
            self._run([])

    def _run(self, effects: list[Any]) -> None:
        """Carry out `effects`, then apply every input that waits, in order."""
        self._running = True
        try:
            for effect in effects:
                self._carry_out(effect)
            while self._inputs:
                for effect in self._machine.handle(self._inputs.popleft()):
                    self._carry_out(effect)
        finally:
            self._running = False

    def _carry_out(self, effect: Any) -> None:
        match effect:
            case FindServer():
                self._find(effect)
            case StopFinding():
                self._stop_finding()
            case Send():
                self._send(effect)
            case DropExchange():
                self._drop_exchange()
            case Release():
                self._release(effect)
            case RelayHead():
                self._relay_head()
            case RelayContent(content):
                self._relay(content)
            case EndAnswer():
                self._sink.end()
            case CutAnswer():
                self._sink.cut()
            case OwnAnswer():
                self._answer(effect)
            case Finish():
                self._finish(effect)

    def _find(self, effect: FindServer) -> None:
        context = self._context
        now = context.clock()
        wanted = Wanted(
            self._route,
            self._pool,
            self._facts.prompt,
            effect.excluded,
            self._deadline_at,
        )
        if effect.is_repeat and not context.may_repeat(self._pool, now):
            self._inputs.append(NoServerFound(Blocked.BUSY, RETRY_BUDGET_SPENT_S))
            return
        choice = context.choose(wanted)
        if isinstance(choice, Chosen):
            self._found(choice)
            return
        self._waiting = context.room.enter(wanted, choice, self._found, self._given_up, now)
        if self._waiting is None:
            again_s = context.room.retry_after_s(choice, wanted)
            self._inputs.append(NoServerFound(choice, again_s))
            return
        self._span.event("held", why=choice.value)
        context.note_waiting(self._pool, self._facts.prompt, choice, 1)

    def _found(self, chosen: Chosen) -> None:
        self._left_room()
        self._take_place(chosen)
        self._feed(ServerFound(chosen.server.row.incarnation))

    def _given_up(self, blocked: Blocked, again_s: float) -> None:
        self._left_room()
        self._feed(NoServerFound(blocked, again_s))

    def _left_room(self) -> None:
        if self._waiting is None:
            return
        blocked, self._waiting = self._waiting.blocked, None
        self._context.note_waiting(self._pool, self._facts.prompt, blocked, -1)

    def _stop_finding(self) -> None:
        if self._waiting is not None:
            self._context.room.leave(self._waiting)
            self._left_room()

    def _take_place(self, chosen: Chosen) -> None:
        now = self._context.clock()
        server = chosen.server
        server.outstanding += 1
        server.outstanding_tokens += chosen.tokens
        if server.is_cold(now):
            server.cold_allowance.note_sent(now)
        if self._facts.prompt is not None:
            server.remember_parts(self._facts.prompt)
        self._context.note_sent(self._pool, self._facts.prompt, server.server)
        self._chosen = chosen

    def _send(self, effect: Send) -> None:
        assert self._chosen is not None
        row = self._chosen.server.row
        now = self._context.clock()
        self._sent_at = now
        self._head = None
        urgency = min(MOST_URGENCY, self._route.priority * URGENCY_STEP + 1)
        added = self._context.dialect.sent_headers(
            SendFacts(
                row.incarnation, max(0.0, self._deadline_at - now), urgency, effect.last_event_id
            )
        )
        request = OutgoingRequest(
            self._incoming.method,
            self._incoming.target,
            to_server(self._incoming.headers, added),
            self._incoming.body,
            self._is_own_response,
            self._machine.may_repeat,
        )
        self._send_span = self._context.spans.start(
            "send",
            self._span.context,
            attributes={"server": row.server, "zone": row.zone, "attempt": self._machine.attempts},
        )
        self._exchange = self._context.client.start(row.address, row.incarnation, request, self)

    def _is_own_response(self, status: int, headers: Any) -> bool:
        """Whether an answer is this request's; a success must name it, a refusal may be silent."""
        named = self._context.dialect.answer_facts(status, headers).request_id
        if not named and status >= 300:
            return True
        return bool(named == self._facts.request_id)

    def _drop_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()
            self._exchange = None

    def _release(self, effect: Release) -> None:
        if self._chosen is None:
            return
        now = self._context.clock()
        chosen, self._chosen = self._chosen, None
        server: ServerState = chosen.server
        server.outstanding -= 1
        server.outstanding_tokens -= chosen.tokens
        if effect.unreachable:
            server.note_unreachable(now)
            self._context.note_unreachable(server.server)
        if effect.refused:
            server.note_refused(now)
        if effect.absent and self._facts.prompt is not None:
            server.note_absent(self._facts.prompt, now)
        self._context.note_ended(self._pool, self._facts.prompt, server.server)
        if self._send_span is not None:
            if effect.unreachable:
                self._send_span.error("broken")
            self._send_span.end()
        self._context.pump_soon()

    def _relay_head(self) -> None:
        assert self._head is not None
        headers = to_caller(self._head.headers, self._splitter is not None)
        self._sink.open(self._head.status, self._head.reason, headers)

    def _relay(self, content: bytes) -> None:
        self._sink.write(content)
        if self._exchange is not None and self._sink.unsent_bytes > MAX_UNSENT_BYTES:
            self._exchange.pause()
            self._look_at_pressure()

    def _look_at_pressure(self) -> None:
        if self._exchange is None:
            return
        if self._sink.unsent_bytes <= MAX_UNSENT_BYTES // 2:
            self._exchange.resume()
            return
        asyncio.get_running_loop().call_later(PRESSURE_LOOK_S, self._look_at_pressure)

    def _answer(self, effect: OwnAnswer) -> None:
        headers = [("Content-Type", "application/json")]
        if effect.retry_after_s is not None:
            headers.append(("Retry-After", f"{effect.retry_after_s:.2f}"))
        body = orjson.dumps({"problem": effect.reason, "request_id": self._facts.request_id})
        self._sink.answer(effect.status, headers, body)

    def _finish(self, effect: Finish) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._span.set("outcome", effect.kind.value)
        if effect.kind in (FinalKind.UNKNOWN, FinalKind.INTERRUPTED):
            self._span.error(effect.reason)
        elif effect.reason:
            self._span.set("reason", effect.reason)
        self._span.end()
        self._context.counts[effect.kind] += 1
        self._context.under_way.discard(self)
