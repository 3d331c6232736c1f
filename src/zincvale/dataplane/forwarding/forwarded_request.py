"""Runs one request machine on the event loop: feeds its inputs and carries out its effects."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from zincvale.dataplane.forwarding.caller_sink import CallerSink, IncomingRequest
from zincvale.dataplane.forwarding.dialect import AttemptFacts, CallerFacts
from zincvale.dataplane.forwarding.event_splitter import EventSplitter
from zincvale.dataplane.forwarding.header_rewrite import to_caller, to_server
from zincvale.dataplane.forwarding.node_context import ForwardingContext
from zincvale.dataplane.forwarding.pending_requests import PendingRequest, ServerRequirements
from zincvale.dataplane.forwarding.policies import NoServerReason, ServerChoice
from zincvale.dataplane.forwarding.request_events import (
    AbortResponse,
    CallerDisconnected,
    CancelExchange,
    CancelSelection,
    ContentReceived,
    DeadlineExpired,
    Effect,
    EndResponse,
    FinishRequest,
    HeadReceived,
    Input,
    LocalReply,
    NoServerFound,
    NotSent,
    RelayContent,
    RelayHead,
    ReleaseServer,
    RequestOutcome,
    ResponseBroken,
    ResponseCompleted,
    SelectServer,
    SendRequest,
    ServerFound,
)
from zincvale.dataplane.forwarding.request_machine import RequestMachine
from zincvale.dataplane.forwarding.servers import ServerState
from zincvale.model.forwarding import ForwardRoute
from zincvale.transport.server_client import PresenceCheck, ServerExchange
from zincvale.transport.server_exchange import OutgoingRequest, ResponseHead

EVENT_STREAM = "text/event-stream"
IDENTITY = "identity"
STREAM_SETTLE_S = 0.1
"""How long the end of a stream without a length waits for signs that its server has ended. Its
events were relayed before; the end of another response would be late."""
MAX_UNSENT_BYTES = 262_144
"""When more bytes than this wait for a slow caller, reading from its server is paused; bounds the
node's memory."""
BACKPRESSURE_POLL_INTERVAL_S = 0.02
"""How often a paused response checks whether its caller has read enough to resume."""
# The urgency that is sent to servers is 1 for priority 0 and rises by URGENCY_STEP per priority.
URGENCY_STEP = 2
MAX_URGENCY = 9
RETRY_BUDGET_RETRY_AFTER_S = 0.2
"""`Retry-After` when the pool's retry budget is spent. The response then states the reason `busy`,
as it does when all servers are busy."""
MIN_NON_SUCCESS_STATUS = 300


class ForwardedRequest:
    """One request in flight, and the listener of its exchange with a server.

    Inputs are applied one at a time: an input that an effect causes is queued until all earlier
    effects are carried out.
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
        self._pool = context.draw_pool(route)
        self._deadline_at = incoming.read_at + min(
            route.timeout_s, facts.deadline_s if facts.deadline_s is not None else route.timeout_s
        )
        self._inputs: deque[Input] = deque()
        self._is_running = False
        self._pending: PendingRequest | None = None
        self._choice: ServerChoice | None = None
        self._exchange: ServerExchange | PresenceCheck | None = None
        self._head: ResponseHead | None = None
        self._splitter: EventSplitter | None = None
        self._sent_at = 0.0
        self._first_event_at = 0.0
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._span: Any = None
        self._attempt_span: Any = None

    def begin(self) -> None:
        """Count the request, start its deadline timer and select a server."""
        context = self._context
        context.active_requests.add(self)
        self._span = context.spans.start("request", attributes=self._span_attributes())
        context.routing.retry_budget(self._pool).record_request(context.clock())
        context.record_request(self._pool, self._facts.prompt)
        loop = asyncio.get_running_loop()
        remaining_s = max(0.0, self._deadline_at - context.clock())
        self._deadline_timer = loop.call_later(remaining_s, self._feed, DeadlineExpired())
        self._run(self._machine.begin())

    def on_caller_disconnected(self) -> None:
        """End the request: the caller closed its connection."""
        self._feed(CallerDisconnected())

    def _span_attributes(self) -> dict[str, str]:
        attributes = {"route": self._route.name, "request_id": self._facts.request_id}
        prompt = self._facts.prompt
        if prompt is not None:
            attributes["model"] = prompt.model
        if prompt is not None and prompt.adapter:
            attributes["adapter"] = prompt.adapter
        return attributes

    # --- listener of the exchange with the server -----------------------------------------

    def on_not_sent(self, reason: str) -> None:
        """Handle a send for which no connection was established."""
        self._feed(NotSent(reason))

    def on_head(self, head: ResponseHead) -> None:
        """Handle the status and headers of the response."""
        now = self._context.clock()
        headers = head.lower_case_headers()
        self._head = head
        is_stream = headers.get("content-type", "").startswith(EVENT_STREAM)
        # The events of an encoded stream can't be told apart; its bytes are relayed as they come.
        is_stream = is_stream and headers.get("content-encoding", IDENTITY) == IDENTITY
        self._splitter = EventSplitter() if is_stream else None
        facts = self._context.dialect.response_facts(head.status, headers)
        if self._choice is not None and not facts.never_ran and not is_stream:
            self._choice.server.on_response(now - self._sent_at)
        self._attempt_span.event("head", status=head.status)
        self._first_event_at = 0.0
        self._feed(HeadReceived(head.status, facts, is_stream))

    def on_content(self, data: bytes) -> None:
        """Handle a part of the response body."""
        if self._splitter is None:
            self._feed(ContentReceived(data))
            return
        events = self._splitter.feed(data)
        if events is None:
            return
        if not self._first_event_at:
            self._on_first_event()
        self._feed(ContentReceived(events.content, events.last_id))

    def on_complete(self, *, is_delimited: bool) -> None:
        """Handle the end of a response.

        One that ended with its connection is complete only if the server ended it, and not the end
        of the server: a stream in the middle of an event was cut off, and a server that accepts no
        connections any more has gone.
        """
        if is_delimited or self._choice is None:
            self._complete()
        elif self._splitter is not None and self._splitter.is_event_open:
            self.on_broken("the connection ended in the middle of an event")
        else:
            row = self._choice.server.row
            settle_s = STREAM_SETTLE_S if self._splitter is not None else 0.0
            self._exchange = self._context.client.check_presence(
                row.address, row.incarnation, settle_s, self._on_presence_checked
            )

    def _on_presence_checked(self, is_present: bool) -> None:
        if is_present:
            self._complete()
        else:
            self.on_broken("the server ended, and the connection with it")

    def _complete(self) -> None:
        self._exchange = None
        remainder = self._splitter.take_remainder() if self._splitter is not None else b""
        if remainder:
            self._feed(ContentReceived(remainder))
        self._feed(ResponseCompleted())

    def on_broken(self, reason: str) -> None:
        """Handle an exchange that broke after a part of the request may have been sent."""
        self._exchange = None
        is_part_relayed = self._splitter is not None and self._splitter.is_part_returned
        self._feed(ResponseBroken(reason, is_part_relayed))

    def _on_first_event(self) -> None:
        self._first_event_at = self._context.clock()
        self._attempt_span.event("first-event")
        if self._choice is not None:
            self._choice.server.on_response(self._first_event_at - self._sent_at)
            self._choice.server.outstanding_tokens -= self._choice.tokens
            self._choice = attrs.evolve(self._choice, tokens=0)

    # --- effects --------------------------------------------------------------------------

    def _feed(self, event: Input) -> None:
        self._inputs.append(event)
        if not self._is_running:
            self._run([])

    def _run(self, effects: list[Effect]) -> None:
        """Carry out `effects`, then apply every queued input, in order."""
        self._is_running = True
        try:
            for effect in effects:
                self._carry_out(effect)
            while self._inputs:
                for effect in self._machine.handle(self._inputs.popleft()):
                    self._carry_out(effect)
        finally:
            self._is_running = False

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case RelayHead() | RelayContent() | EndResponse() | AbortResponse() | LocalReply():
                self._carry_out_for_caller(effect)
            case SelectServer():
                self._select(effect)
            case CancelSelection():
                self._cancel_selection()
            case SendRequest():
                self._send(effect)
            case CancelExchange():
                self._cancel_exchange()
            case ReleaseServer():
                self._release(effect)
            case FinishRequest():
                self._finish(effect)

    def _carry_out_for_caller(
        self, effect: RelayHead | RelayContent | EndResponse | AbortResponse | LocalReply
    ) -> None:
        match effect:
            case RelayHead():
                self._relay_head()
            case RelayContent(content):
                self._relay_content(content)
            case EndResponse():
                self._sink.end()
            case AbortResponse():
                self._sink.abort()
            case LocalReply():
                self._reply(effect)

    def _select(self, effect: SelectServer) -> None:
        context = self._context
        now = context.clock()
        requirements = ServerRequirements(
            self._route,
            self._pool,
            self._facts.prompt,
            effect.excluded,
            self._deadline_at,
        )
        if effect.is_retry and not context.try_spend_retry(self._pool, now):
            self._inputs.append(NoServerFound(NoServerReason.BUSY, RETRY_BUDGET_RETRY_AFTER_S))
            return
        choice = context.choose(requirements)
        if isinstance(choice, ServerChoice):
            self._on_server_found(choice)
            return
        self._pending = context.pending.add(
            requirements, choice, self._on_server_found, self._on_selection_expired, now
        )
        if self._pending is None:
            retry_after_s = context.pending.retry_after_s(choice, requirements)
            self._inputs.append(NoServerFound(choice, retry_after_s))
            return
        self._span.event("held", why=choice.value)
        context.record_waiting(self._pool, self._facts.prompt, choice, 1)

    def _on_server_found(self, choice: ServerChoice) -> None:
        self._stop_waiting()
        self._reserve(choice)
        self._feed(ServerFound(choice.server.row.incarnation))

    def _on_selection_expired(self, reason: NoServerReason, retry_after_s: float) -> None:
        self._stop_waiting()
        self._feed(NoServerFound(reason, retry_after_s))

    def _stop_waiting(self) -> None:
        if self._pending is None:
            return
        reason, self._pending = self._pending.reason, None
        self._context.record_waiting(self._pool, self._facts.prompt, reason, -1)

    def _cancel_selection(self) -> None:
        if self._pending is not None:
            self._context.pending.remove(self._pending)
            self._stop_waiting()

    def _reserve(self, choice: ServerChoice) -> None:
        now = self._context.clock()
        server = choice.server
        server.outstanding += 1
        server.outstanding_tokens += choice.tokens
        if server.is_in_slow_start(now):
            server.slow_start_limiter.record_sent(now)
        if self._facts.prompt is not None:
            server.record_cached_parts(self._facts.prompt)
        self._context.record_sent(self._pool, self._facts.prompt, server.server)
        self._choice = choice

    def _send(self, effect: SendRequest) -> None:
        assert self._choice is not None
        row = self._choice.server.row
        now = self._context.clock()
        self._sent_at = now
        self._head = None
        urgency = min(MAX_URGENCY, self._route.priority * URGENCY_STEP + 1)
        added = self._context.dialect.attempt_headers(
            AttemptFacts(
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
        self._attempt_span = self._context.spans.start(
            "send",
            self._span.context,
            attributes={"server": row.server, "zone": row.zone, "attempt": self._machine.attempts},
        )
        self._exchange = self._context.client.start(row.address, row.incarnation, request, self)

    def _is_own_response(self, status: int, headers: Mapping[str, str]) -> bool:
        """Whether a response belongs to this request; only a success must state its request id."""
        stated_id = self._context.dialect.response_facts(status, headers).request_id
        if not stated_id and status >= MIN_NON_SUCCESS_STATUS:
            return True
        return stated_id == self._facts.request_id

    def _cancel_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()
            self._exchange = None

    def _release(self, effect: ReleaseServer) -> None:
        if self._choice is None:
            return
        now = self._context.clock()
        choice, self._choice = self._choice, None
        server: ServerState = choice.server
        server.outstanding -= 1
        server.outstanding_tokens -= choice.tokens
        if effect.unreachable:
            server.on_unreachable(now)
            self._context.on_unreachable(server.server)
        if effect.refused:
            server.on_refused(now)
        if effect.not_resident and self._facts.prompt is not None:
            server.mark_absent(self._facts.prompt, now)
        self._context.record_end(self._pool, self._facts.prompt, server.server)
        if self._attempt_span is not None:
            if effect.unreachable:
                self._attempt_span.error("broken")
            self._attempt_span.end()
        self._context.schedule_dispatch()

    def _relay_head(self) -> None:
        assert self._head is not None
        headers = to_caller(self._head.headers, is_stream=self._splitter is not None)
        self._sink.open(self._head.status, self._head.reason, headers)

    def _relay_content(self, content: bytes) -> None:
        self._sink.write(content)
        if self._exchange is not None and self._sink.unsent_bytes > MAX_UNSENT_BYTES:
            self._exchange.pause()
            self._check_backpressure()

    def _check_backpressure(self) -> None:
        if self._exchange is None:
            return
        if self._sink.unsent_bytes <= MAX_UNSENT_BYTES // 2:
            self._exchange.resume()
            return
        asyncio.get_running_loop().call_later(
            BACKPRESSURE_POLL_INTERVAL_S, self._check_backpressure
        )

    def _reply(self, effect: LocalReply) -> None:
        headers = [("Content-Type", "application/json")]
        if effect.retry_after_s is not None:
            headers.append(("Retry-After", f"{effect.retry_after_s:.2f}"))
        body = orjson.dumps({"problem": effect.reason, "request_id": self._facts.request_id})
        self._sink.respond(effect.status, headers, body)

    def _finish(self, effect: FinishRequest) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._span.set("outcome", effect.outcome.value)
        if effect.outcome in (RequestOutcome.UNKNOWN, RequestOutcome.INTERRUPTED):
            self._span.error(effect.reason)
        elif effect.reason:
            self._span.set("reason", effect.reason)
        self._span.end()
        if effect.outcome is RequestOutcome.ANSWERED:
            now = self._context.clock()
            duration_s = now - self._incoming.read_at
            self._context.response_times.record(self._route.name, duration_s, now)
        self._context.outcome_counts[effect.outcome] += 1
        self._context.active_requests.discard(self)
