"""One forwarded request as a pure state machine.

This module alone decides what may be retried. Once the first byte of a request was sent, only the
server's own statement (`ResponseFacts.never_ran`) proves that the request did not run. Without that
proof, a request that may not be repeated ends with an unknown outcome. A request is refused only
if it ran nowhere and is not in flight.

A refusal's `Retry-After` is the one in `NoServerFound`, which comes from `pending_requests` or from
the retry budget. If a server was found but did not accept the request, or if the deadline has
passed, it is `REFUSED_RETRY_AFTER_S`. On a route whose requests may be repeated, a server's 503
without proof is relayed with the server's own `Retry-After` when no attempt is left.
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
"""Statuses that callers take to mean that the request did not run and never will."""
REFUSED_RETRY_AFTER_S = 0.1
"""`Retry-After` when servers refused the request or could not be reached, or the deadline passed: a
caller that retries sooner meets the same servers in the same state."""
MAX_UNCOUNTED_SENDS = 3
"""Limit on one request's failed connections and misdirected sends, which do not count as attempts
of its route."""


class Phase(enum.Enum):
    """The phase of a request.

    Legal transitions: NEW to SELECTING; SELECTING to SENT or DONE; SENT to RESPONDING, SELECTING
    (for a retry) or DONE; RESPONDING to SELECTING (to resume a stream) or DONE.
    """

    NEW = "new"
    SELECTING = "finding"
    SENT = "sent"
    """Sent to a server; the head of its response was not received yet."""
    RESPONDING = "answering"
    DONE = "done"


class RequestMachine:
    """Decides the sends and retries of one request and the response to its caller.

    Parameters
    ----------
    route : the route that was configured when the request arrived.
    resume_after : the id of the event after which the caller wants its stream to be resumed; empty
        for a stream from its beginning.
    """

    def __init__(self, route: ForwardRoute, resume_after: str = "") -> None:
        self.phase = Phase.NEW
        self.attempts = 0
        self._route = route
        self._last_event_id = resume_after
        self._server = ""
        self._excluded: set[str] = set()
        self._uncounted_sends = 0
        self._delivered_sends = 0
        """Sends for which a connection was established, whatever the response. Once there is one,
        each further send is a retry."""
        self._may_have_run = False
        self._is_head_relayed = False
        self._is_event_stream = False

    @property
    def may_repeat(self) -> bool:
        """Whether the request may be sent again although it may already have run."""
        return self._route.repeatable or self._route.resumable

    @property
    def is_over(self) -> bool:
        """Whether the request has ended."""
        return self.phase is Phase.DONE

    def begin(self) -> list[Effect]:
        """Start the request by selecting a server."""
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
                return self._handle_no_server(reason, retry_after_s)
            case NotSent(reason):
                return self._handle_not_sent(reason)
            case HeadReceived() | ContentReceived() | ResponseCompleted() | ResponseBroken():
                return self._handle_response(event)
            case DeadlineExpired():
                return self._handle_deadline_expired()
            case CallerDisconnected():
                return self._finish_without_response(
                    RequestOutcome.ABANDONED, "the caller disconnected"
                )

    # --- selecting and sending ------------------------------------------------------------

    def _send(self, server: str) -> list[Effect]:
        self.phase = Phase.SENT
        self._server = server
        self.attempts += 1
        self._delivered_sends += 1
        return [SendRequest(server, self._last_event_id)]

    def _select_again(self) -> list[Effect]:
        self.phase = Phase.SELECTING
        return [SelectServer(frozenset(self._excluded), is_retry=self._delivered_sends > 0)]

    def _handle_no_server(self, reason: NoServerReason, retry_after_s: float) -> list[Effect]:
        if self._is_head_relayed:
            return self._abort(f"no server can resume the stream: {reason.value}")
        if self._may_have_run:
            return self._reply(BAD_GATEWAY, RequestOutcome.UNKNOWN, reason.value)
        return self._refuse(reason.value, retry_after_s)

    def _handle_not_sent(self, reason: str) -> list[Effect]:
        self.attempts -= 1
        self._delivered_sends -= 1
        self._excluded.add(self._server)
        self._uncounted_sends += 1
        release_effects: list[Effect] = [ReleaseServer(unreachable=True)]
        if self._uncounted_sends <= MAX_UNCOUNTED_SENDS:
            return release_effects + self._select_again()
        if self._is_head_relayed:
            return release_effects + self._abort(reason)
        if self._may_have_run:
            return release_effects + self._reply(BAD_GATEWAY, RequestOutcome.UNKNOWN, reason)
        return release_effects + self._refuse(reason, REFUSED_RETRY_AFTER_S)

    # --- responses ------------------------------------------------------------------------

    def _handle_response(
        self, event: HeadReceived | ContentReceived | ResponseCompleted | ResponseBroken
    ) -> list[Effect]:
        match event:
            case HeadReceived():
                return self._handle_head(event)
            case ContentReceived(content, last_event_id):
                return self._handle_content(content, last_event_id)
            case ResponseCompleted():
                return self._handle_completed()
            case ResponseBroken(reason, is_event_open):
                return self._handle_broken(reason, is_event_open)

    def _handle_head(self, head: HeadReceived) -> list[Effect]:
        if head.facts.never_ran:
            return self._handle_never_ran(head)
        if head.status >= MIN_SERVER_ERROR and self._may_continue():
            self._may_have_run = True
            self._excluded.add(self._server)
            return [CancelExchange(), ReleaseServer(), *self._select_again()]
        if self._is_head_relayed:
            return self._handle_resumed_head(head)
        if head.status in RETRYABLE_STATUSES and not self.may_repeat:
            # The status would tell the caller that the request never ran, which the server did not
            # state.
            self._may_have_run = True
            exchange_cleanup: list[Effect] = [CancelExchange(), ReleaseServer()]
            return exchange_cleanup + self._reply(
                BAD_GATEWAY,
                RequestOutcome.UNKNOWN,
                "the server failed",
            )
        self.phase = Phase.RESPONDING
        self._is_head_relayed = True
        self._is_event_stream = head.is_event_stream
        self._may_have_run = True
        return [RelayHead()]

    def _handle_resumed_head(self, head: HeadReceived) -> list[Effect]:
        """Resume the stream whose head was relayed to the caller before."""
        if head.status >= MIN_NON_SUCCESS_STATUS or not head.is_event_stream:
            exchange_cleanup: list[Effect] = [CancelExchange(), ReleaseServer()]
            return exchange_cleanup + self._abort(
                f"the server did not resume the stream: status {head.status}"
            )
        self.phase = Phase.RESPONDING
        return []

    def _handle_never_ran(self, head: HeadReceived) -> list[Effect]:
        misdirected = head.facts.misdirected
        exchange_cleanup: list[Effect] = [
            CancelExchange(),
            ReleaseServer(refused=not misdirected, not_resident=misdirected),
        ]
        self._excluded.add(self._server)
        if misdirected and self._uncounted_sends < MAX_UNCOUNTED_SENDS:
            self._uncounted_sends += 1
            self.attempts -= 1
            return exchange_cleanup + self._select_again()
        if self._has_attempts_left():
            return exchange_cleanup + self._select_again()
        if self._is_head_relayed:
            return exchange_cleanup + self._abort(
                "a server refused to resume the stream and no attempt is left"
            )
        if self._may_have_run:
            return exchange_cleanup + self._reply(
                BAD_GATEWAY,
                RequestOutcome.UNKNOWN,
                "refused after a run",
            )
        return exchange_cleanup + self._refuse("the server refused it", REFUSED_RETRY_AFTER_S)

    def _handle_content(self, content: bytes, last_event_id: str) -> list[Effect]:
        if last_event_id:
            self._last_event_id = last_event_id
        return [RelayContent(content)]

    def _handle_completed(self) -> list[Effect]:
        self.phase = Phase.DONE
        return [ReleaseServer(), EndResponse(), FinishRequest(RequestOutcome.ANSWERED)]

    def _handle_broken(self, reason: str, is_event_open: bool) -> list[Effect]:
        self._may_have_run = True
        self._excluded.add(self._server)
        release_effects: list[Effect] = [ReleaseServer(unreachable=True)]
        if self._may_continue() and not is_event_open:
            return release_effects + self._select_again()
        if self._is_head_relayed:
            return release_effects + self._abort(reason)
        return release_effects + self._reply(BAD_GATEWAY, RequestOutcome.UNKNOWN, reason)

    def _may_continue(self) -> bool:
        """Whether a request that may have run may be sent to another server."""
        if not self._has_attempts_left():
            return False
        if self._is_head_relayed:
            return self._route.resumable and self._is_event_stream
        return self.may_repeat

    def _has_attempts_left(self) -> bool:
        return self.attempts < self._route.attempts

    # --- end of the request ---------------------------------------------------------------

    def _handle_deadline_expired(self) -> list[Effect]:
        if self.phase is Phase.SELECTING:
            selection_cleanup: list[Effect] = [CancelSelection()]
            if self._is_head_relayed:
                return selection_cleanup + self._abort("the time is over")
            if self._may_have_run:
                return selection_cleanup + self._reply(
                    GATEWAY_TIMEOUT, RequestOutcome.UNKNOWN, "the time is over"
                )
            return selection_cleanup + self._refuse("the time is over", REFUSED_RETRY_AFTER_S)
        exchange_cleanup: list[Effect] = [CancelExchange(), ReleaseServer()]
        if self._is_head_relayed:
            return exchange_cleanup + self._abort("the time is over")
        return exchange_cleanup + self._reply(
            GATEWAY_TIMEOUT, RequestOutcome.UNKNOWN, "the time is over"
        )

    def _finish_without_response(self, outcome: RequestOutcome, reason: str) -> list[Effect]:
        phase = self.phase
        self.phase = Phase.DONE
        if phase is Phase.SELECTING:
            return [CancelSelection(), FinishRequest(outcome, reason)]
        return [CancelExchange(), ReleaseServer(), FinishRequest(outcome, reason)]

    def _refuse(self, reason: str, retry_after_s: float) -> list[Effect]:
        self.phase = Phase.DONE
        return [
            LocalReply(UNAVAILABLE, reason, retry_after_s),
            FinishRequest(RequestOutcome.REFUSED, reason),
        ]

    def _reply(self, status: int, outcome: RequestOutcome, reason: str) -> list[Effect]:
        self.phase = Phase.DONE
        return [LocalReply(status, reason), FinishRequest(outcome, reason)]

    def _abort(self, reason: str) -> list[Effect]:
        self.phase = Phase.DONE
        return [AbortResponse(), FinishRequest(RequestOutcome.INTERRUPTED, reason)]
