"""One forwarded request as a pure state machine.

What may be repeated is decided here alone. After the first byte of a request left, only the
server's own word proves that it did not run; without that word a request that may not be repeated
ends as unknown. A refusal is given only while nothing ran and nothing is under way.
"""

from __future__ import annotations

import enum

from zincvale.dataplane.forwarding.policies import Blocked
from zincvale.dataplane.forwarding.request_events import (
    AnswerBroken,
    AnswerEnded,
    CallerLeft,
    ContentReceived,
    CutAnswer,
    DropExchange,
    Effect,
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
from zincvale.model.forwarding import ForwardRoute

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
LEAST_SERVER_ERROR = 500
PROMISING_STATUSES = frozenset({408, 421, 429, 503})
"""Callers take these as a promise that the request did not run and never will."""
REFUSED_RETRY_AFTER_S = 0.1
MAX_UNCOUNTED_SENDS = 3
"""Connections that failed and misdirected sends reach no server of the pool; they are not attempts,
but there is an end to them."""


class Phase(enum.Enum):
    """How far the request is."""

    NEW = "new"
    FINDING = "finding"
    SENT = "sent"
    """At a server; no head of it was received."""
    ANSWERING = "answering"
    DONE = "done"


class RequestMachine:
    """Decides what becomes of one request.

    Parameters
    ----------
    route : the route in force when the request came.
    resumes_after : the event after which the caller wants its stream to go on.
    """

    def __init__(self, route: ForwardRoute, resumes_after: str = "") -> None:
        self.phase = Phase.NEW
        self.attempts = 0
        self._route = route
        self._last_event_id = resumes_after
        self._server = ""
        self._excluded: set[str] = set()
        self._uncounted = 0
        self._arrivals = 0
        """Sends that reached a server, whatever it said: what follows them spends the budget."""
        self._may_have_run = False
        self._head_relayed = False
        self._answers_stream = False

    @property
    def may_repeat(self) -> bool:
        """Whether a run that may have happened allows another one."""
        return self._route.repeatable or self._route.resumable

    @property
    def is_over(self) -> bool:
        """Whether the caller has its final answer."""
        return self.phase is Phase.DONE

    def begin(self) -> list[Effect]:
        """Start."""
        self.phase = Phase.FINDING
        return [FindServer(frozenset(), is_repeat=False)]

    def handle(self, event: Input) -> list[Effect]:
        """Apply one input and return what to do."""
        if self.phase is Phase.DONE:
            return []
        match event:
            case ServerFound(server):
                return self._send(server)
            case NoServerFound(blocked, retry_after_s):
                return self._no_server(blocked, retry_after_s)
            case NotSent(reason):
                return self._not_sent(reason)
            case HeadReceived():
                return self._head(event)
            case ContentReceived(content, last_event_id):
                if last_event_id:
                    self._last_event_id = last_event_id
                return [RelayContent(content)]
            case AnswerEnded():
                self.phase = Phase.DONE
                return [Release(), EndAnswer(), Finish(FinalKind.ANSWERED)]
            case AnswerBroken(reason):
                return self._broken(reason)
            case TimeOver():
                return self._time_over()
            case CallerLeft():
                return self._end(FinalKind.ABANDONED, "the caller left")
        return []

    # --- finding and sending --------------------------------------------------------------

    def _send(self, server: str) -> list[Effect]:
        self.phase = Phase.SENT
        self._server = server
        self.attempts += 1
        self._arrivals += 1
        return [Send(server, self._last_event_id)]

    def _find_again(self) -> list[Effect]:
        self.phase = Phase.FINDING
        return [FindServer(frozenset(self._excluded), is_repeat=self._arrivals > 0)]

    def _no_server(self, blocked: Blocked, retry_after_s: float) -> list[Effect]:
        if self._head_relayed:
            return self._cut(f"no server to go on at: {blocked.value}")
        if self._may_have_run:
            return self._answer(BAD_GATEWAY, FinalKind.UNKNOWN, blocked.value)
        return self._refuse(blocked.value, retry_after_s)

    def _not_sent(self, reason: str) -> list[Effect]:
        self.attempts -= 1
        self._arrivals -= 1
        self._excluded.add(self._server)
        self._uncounted += 1
        released: list[Effect] = [Release(unreachable=True)]
        if self._uncounted <= MAX_UNCOUNTED_SENDS:
            return released + self._find_again()
        if self._head_relayed:
            return released + self._cut(reason)
        if self._may_have_run:
            return released + self._answer(BAD_GATEWAY, FinalKind.UNKNOWN, reason)
        return released + self._refuse(reason, REFUSED_RETRY_AFTER_S)

    # --- answers --------------------------------------------------------------------------

    def _head(self, head: HeadReceived) -> list[Effect]:
        if head.facts.never_ran:
            return self._refused_by_server(head)
        if head.status >= LEAST_SERVER_ERROR and self._may_go_on():
            self._may_have_run = True
            self._excluded.add(self._server)
            return [DropExchange(), Release(), *self._find_again()]
        if self._head_relayed:
            return self._second_head(head)
        if head.status in PROMISING_STATUSES and not self.may_repeat:
            # The status would promise what the server did not say.
            self._may_have_run = True
            dropped: list[Effect] = [DropExchange(), Release()]
            return dropped + self._answer(BAD_GATEWAY, FinalKind.UNKNOWN, "the server failed")
        self.phase = Phase.ANSWERING
        self._head_relayed = True
        self._answers_stream = head.is_event_stream
        self._may_have_run = True
        return [RelayHead()]

    def _second_head(self, head: HeadReceived) -> list[Effect]:
        """Go on within the answer whose head was relayed."""
        if head.status >= 300 or not head.is_event_stream:
            dropped: list[Effect] = [DropExchange(), Release()]
            return dropped + self._cut(f"the stream cannot go on: status {head.status}")
        self.phase = Phase.ANSWERING
        return []

    def _refused_by_server(self, head: HeadReceived) -> list[Effect]:
        misdirected = head.facts.misdirected
        released: list[Effect] = [
            DropExchange(),
            Release(refused=not misdirected, absent=misdirected),
        ]
        self._excluded.add(self._server)
        if misdirected and self._uncounted < MAX_UNCOUNTED_SENDS:
            self._uncounted += 1
            self.attempts -= 1
            return released + self._find_again()
        if self._attempts_left():
            return released + self._find_again()
        if self._head_relayed:
            return released + self._cut("no server takes the rest of the stream")
        if self._may_have_run:
            return released + self._answer(BAD_GATEWAY, FinalKind.UNKNOWN, "refused after a run")
        return released + self._refuse("the server refused it", REFUSED_RETRY_AFTER_S)

    def _broken(self, reason: str) -> list[Effect]:
        self._may_have_run = True
        self._excluded.add(self._server)
        released: list[Effect] = [Release(unreachable=True)]
        if self._may_go_on():
            return released + self._find_again()
        if self._head_relayed:
            return released + self._cut(reason)
        return released + self._answer(BAD_GATEWAY, FinalKind.UNKNOWN, reason)

    def _may_go_on(self) -> bool:
        """Whether another server may take over what may have run."""
        if not self._attempts_left():
            return False
        if self._head_relayed:
            return self._route.resumable and self._answers_stream
        return self.may_repeat

    def _attempts_left(self) -> bool:
        return self.attempts < self._route.attempts

    # --- ends -----------------------------------------------------------------------------

    def _time_over(self) -> list[Effect]:
        if self.phase is Phase.FINDING:
            stopped: list[Effect] = [StopFinding()]
            if self._head_relayed:
                return stopped + self._cut("the time is over")
            if self._may_have_run:
                return stopped + self._answer(
                    GATEWAY_TIMEOUT, FinalKind.UNKNOWN, "the time is over"
                )
            return stopped + self._refuse("the time is over", REFUSED_RETRY_AFTER_S)
        dropped: list[Effect] = [DropExchange(), Release()]
        if self._head_relayed:
            return dropped + self._cut("the time is over")
        return dropped + self._answer(GATEWAY_TIMEOUT, FinalKind.UNKNOWN, "the time is over")

    def _end(self, kind: FinalKind, reason: str) -> list[Effect]:
        was = self.phase
        self.phase = Phase.DONE
        if was is Phase.FINDING:
            return [StopFinding(), Finish(kind, reason)]
        return [DropExchange(), Release(), Finish(kind, reason)]

    def _refuse(self, reason: str, retry_after_s: float) -> list[Effect]:
        self.phase = Phase.DONE
        return [OwnAnswer(UNAVAILABLE, reason, retry_after_s), Finish(FinalKind.REFUSED, reason)]

    def _answer(self, status: int, kind: FinalKind, reason: str) -> list[Effect]:
        self.phase = Phase.DONE
        return [OwnAnswer(status, reason), Finish(kind, reason)]

    def _cut(self, reason: str) -> list[Effect]:
        self.phase = Phase.DONE
        return [CutAnswer(), Finish(FinalKind.INTERRUPTED, reason)]
