"""One forwarded request as a pure state machine.

What may be retried is decided here alone. After the first byte of a request was sent, only the
server's statement (`ResponseFacts.never_ran`) proves that it did not run; without it a request that
may not be repeated ends as unknown. A request is refused only while nothing ran and nothing is in
flight.

`Retry-After` of a refusal is the one in `NoServerFound`, from `pending_requests` or the retry
budget; where a server was found and did not take the request, or the time is over, it is
`REFUSED_RETRY_AFTER_S`. A server's 503 without proof is relayed with the server's own header on a
route whose requests may be repeated and have no attempt left.
"""

from __future__ import annotations

import enum

from zincvale.dataplane.forwarding.policies import NoServerReason
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
from zincvale.model.forwarding import ForwardRoute

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
MIN_NON_SUCCESS_STATUS = 300
MIN_SERVER_ERROR = 500
RETRYABLE_STATUSES = frozenset({408, 421, 429, 503})
"""Callers take these to mean that the request did not run and never will."""
REFUSED_RETRY_AFTER_S = 0.1
"""`Retry-After` of these refusals: callers that retry sooner meet the same servers."""
MAX_UNCOUNTED_SENDS = 3
"""Failed connections and misdirected sends are not attempts of the route; this bounds them."""


class Phase(enum.Enum):
    """The state of a request.

    Legal transitions: NEW to SELECTING; SELECTING to SENT or DONE; SENT to RESPONDING, SELECTING
    (a retry) or DONE; RESPONDING to SELECTING (a stream that is resumed) or DONE.
    """

    NEW = "new"
    SELECTING = "finding"
    SENT = "sent"
    """At a server; no head of its response was received."""
    RESPONDING = "answering"
    DONE = "done"


class RequestMachine:
    """Decides the sends, the retries and the response of one request.

    Parameters
    ----------
    route : the route in force when the request came.
    resume_after : the event after which the caller wants its stream to be resumed.
    """

    def __init__(self, route: ForwardRoute, resume_after: str = "") -> None:
        self.phase = Phase.NEW
        self.attempts = 0
        self._route = route
        self._last_event_id = resume_after
        self._server = ""
        self._excluded: set[str] = set()
        self._uncounted_sends = 0
        self._arrivals = 0
        """Sends that reached a server, whatever it said: any send after them is a retry."""
        self._may_have_run = False
        self._is_head_relayed = False
        self._is_event_stream = False

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run again after it may have run."""
        return self._route.repeatable or self._route.resumable

    @property
    def is_over(self) -> bool:
        """Whether the caller has its final response."""
        return self.phase is Phase.DONE

    def begin(self) -> list[Effect]:
        """Start."""
        self.phase = Phase.SELECTING
        return [SelectServer(frozenset(), is_retry=False)]

    def handle(self, event: Input) -> list[Effect]:
        """Apply one input and return its effects."""
        if self.phase is Phase.DONE:
            return []
        match event:
            case ServerFound(server):
                return self._send(server)
            case NoServerFound(reason, retry_after_s):
                return self._no_server(reason, retry_after_s)
            case NotSent(reason):
                return self._not_sent(reason)
            case HeadReceived() | ContentReceived() | ResponseCompleted() | ResponseBroken():
                return self._handle_response(event)
            case DeadlineExpired():
                return self._handle_deadline_expired()
            case CallerDisconnected():
                return self._finish_without_response(RequestOutcome.ABANDONED, "the caller left")

    # --- selecting and sending ------------------------------------------------------------

    def _send(self, server: str) -> list[Effect]:
        self.phase = Phase.SENT
        self._server = server
        self.attempts += 1
        self._arrivals += 1
        return [SendRequest(server, self._last_event_id)]

    def _select_again(self) -> list[Effect]:
        self.phase = Phase.SELECTING
        return [SelectServer(frozenset(self._excluded), is_retry=self._arrivals > 0)]

    def _no_server(self, reason: NoServerReason, retry_after_s: float) -> list[Effect]:
        if self._is_head_relayed:
            return self._abort(f"no server to go on at: {reason.value}")
        if self._may_have_run:
            return self._reply(BAD_GATEWAY, RequestOutcome.UNKNOWN, reason.value)
        return self._refuse(reason.value, retry_after_s)

    def _not_sent(self, reason: str) -> list[Effect]:
        self.attempts -= 1
        self._arrivals -= 1
        self._excluded.add(self._server)
        self._uncounted_sends += 1
        released: list[Effect] = [ReleaseServer(unreachable=True)]
        if self._uncounted_sends <= MAX_UNCOUNTED_SENDS:
            return released + self._select_again()
        if self._is_head_relayed:
            return released + self._abort(reason)
        if self._may_have_run:
            return released + self._reply(BAD_GATEWAY, RequestOutcome.UNKNOWN, reason)
        return released + self._refuse(reason, REFUSED_RETRY_AFTER_S)

    # --- responses ------------------------------------------------------------------------

    def _handle_response(
        self, event: HeadReceived | ContentReceived | ResponseCompleted | ResponseBroken
    ) -> list[Effect]:
        match event:
            case HeadReceived():
                return self._head(event)
            case ContentReceived(content, last_event_id):
                return self._content(content, last_event_id)
            case ResponseCompleted():
                return self._completed()
            case ResponseBroken(reason):
                return self._handle_broken(reason)

    def _head(self, head: HeadReceived) -> list[Effect]:
        if head.facts.never_ran:
            return self._refused_by_server(head)
        if head.status >= MIN_SERVER_ERROR and self._may_continue():
            self._may_have_run = True
            self._excluded.add(self._server)
            return [CancelExchange(), ReleaseServer(), *self._select_again()]
        if self._is_head_relayed:
            return self._second_head(head)
        if head.status in RETRYABLE_STATUSES and not self.may_repeat:
            # The status would tell the caller that it never ran, which the server did not state.
            self._may_have_run = True
            dropped: list[Effect] = [CancelExchange(), ReleaseServer()]
            return dropped + self._reply(BAD_GATEWAY, RequestOutcome.UNKNOWN, "the server failed")
        self.phase = Phase.RESPONDING
        self._is_head_relayed = True
        self._is_event_stream = head.is_event_stream
        self._may_have_run = True
        return [RelayHead()]

    def _second_head(self, head: HeadReceived) -> list[Effect]:
        """Resume the response whose head was relayed."""
        if head.status >= MIN_NON_SUCCESS_STATUS or not head.is_event_stream:
            dropped: list[Effect] = [CancelExchange(), ReleaseServer()]
            return dropped + self._abort(f"the stream cannot go on: status {head.status}")
        self.phase = Phase.RESPONDING
        return []

    def _refused_by_server(self, head: HeadReceived) -> list[Effect]:
        misdirected = head.facts.misdirected
        released: list[Effect] = [
            CancelExchange(),
            ReleaseServer(refused=not misdirected, absent=misdirected),
        ]
        self._excluded.add(self._server)
        if misdirected and self._uncounted_sends < MAX_UNCOUNTED_SENDS:
            self._uncounted_sends += 1
            self.attempts -= 1
            return released + self._select_again()
        if self._has_attempts_left():
            return released + self._select_again()
        if self._is_head_relayed:
            return released + self._abort("no server takes the rest of the stream")
        if self._may_have_run:
            return released + self._reply(
                BAD_GATEWAY, RequestOutcome.UNKNOWN, "refused after a run"
            )
        return released + self._refuse("the server refused it", REFUSED_RETRY_AFTER_S)

    def _content(self, content: bytes, last_event_id: str) -> list[Effect]:
        if last_event_id:
            self._last_event_id = last_event_id
        return [RelayContent(content)]

    def _completed(self) -> list[Effect]:
        self.phase = Phase.DONE
        return [ReleaseServer(), EndResponse(), FinishRequest(RequestOutcome.ANSWERED)]

    def _handle_broken(self, reason: str) -> list[Effect]:
        self._may_have_run = True
        self._excluded.add(self._server)
        released: list[Effect] = [ReleaseServer(unreachable=True)]
        if self._may_continue():
            return released + self._select_again()
        if self._is_head_relayed:
            return released + self._abort(reason)
        return released + self._reply(BAD_GATEWAY, RequestOutcome.UNKNOWN, reason)

    def _may_continue(self) -> bool:
        """Whether another server may continue what may have run."""
        if not self._has_attempts_left():
            return False
        if self._is_head_relayed:
            return self._route.resumable and self._is_event_stream
        return self.may_repeat

    def _has_attempts_left(self) -> bool:
        return self.attempts < self._route.attempts

    # --- ends -----------------------------------------------------------------------------

    def _handle_deadline_expired(self) -> list[Effect]:
        if self.phase is Phase.SELECTING:
            stopped: list[Effect] = [CancelSelection()]
            if self._is_head_relayed:
                return stopped + self._abort("the time is over")
            if self._may_have_run:
                return stopped + self._reply(
                    GATEWAY_TIMEOUT, RequestOutcome.UNKNOWN, "the time is over"
                )
            return stopped + self._refuse("the time is over", REFUSED_RETRY_AFTER_S)
        dropped: list[Effect] = [CancelExchange(), ReleaseServer()]
        if self._is_head_relayed:
            return dropped + self._abort("the time is over")
        return dropped + self._reply(GATEWAY_TIMEOUT, RequestOutcome.UNKNOWN, "the time is over")

    def _finish_without_response(self, kind: RequestOutcome, reason: str) -> list[Effect]:
        phase = self.phase
        self.phase = Phase.DONE
        if phase is Phase.SELECTING:
            return [CancelSelection(), FinishRequest(kind, reason)]
        return [CancelExchange(), ReleaseServer(), FinishRequest(kind, reason)]

    def _refuse(self, reason: str, retry_after_s: float) -> list[Effect]:
        self.phase = Phase.DONE
        return [
            LocalReply(UNAVAILABLE, reason, retry_after_s),
            FinishRequest(RequestOutcome.REFUSED, reason),
        ]

    def _reply(self, status: int, kind: RequestOutcome, reason: str) -> list[Effect]:
        self.phase = Phase.DONE
        return [LocalReply(status, reason), FinishRequest(kind, reason)]

    def _abort(self, reason: str) -> list[Effect]:
        self.phase = Phase.DONE
        return [AbortResponse(), FinishRequest(RequestOutcome.INTERRUPTED, reason)]
