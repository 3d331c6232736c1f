"""State of one request, and the effects of each way in which it can end."""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.dependencies import FIRST_STREAM_EPOCH
from zincvale.dataplane.inference.events import (
    BreakStream,
    Claim,
    Effect,
    Finish,
    FreeServer,
    MarkMayHaveRun,
    OpenStream,
    RecordOutcome,
    Refusal,
    ReleaseClaim,
)
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.identifiers import ServerId
from zincvale.model.outcomes import Outcome, RefusalReason
from zincvale.model.resources import RouteSpec, Stake

PROOF_TIMEOUT_S = 0.5
"""How long a refusal waits for the claim voters to prove that no earlier attempt ran."""
MAX_ATTEMPTS = 8
"""Limit on the dispatches of one request. With a higher limit, a few requests that always fail
would load all servers."""
MAX_ATTEMPTS_HIGH_PRIORITY = 24
"""Limit on the dispatches of a request on a high-stake route, or of one whose stream has begun."""


class Phase(enum.Enum):
    """What the request currently waits for.

    Legal transitions: NEW to CLAIMING (at most once), LOOKING_UP (resumed) and CHOOSING; CLAIMING
    and LOOKING_UP to CHOOSING; CHOOSING to EXCHANGING; EXCHANGING to CHOOSING (another server),
    CLAIMING (the claim is too old) and LATE; LATE to DONE. A refusal that needs the proof that no
    earlier attempt ran leads from any of these but LATE to CLAIMING once. Every phase may end in
    DONE, which is final.
    """

    NEW = "new"
    CLAIMING = "claiming"
    LOOKING_UP = "looking-up"
    CHOOSING = "choosing"
    EXCHANGING = "exchanging"
    LATE = "late"
    """The caller got `unknown` or disconnected; a late response is still recorded for resends."""
    DONE = "done"


@attrs.define
class RequestState:
    """State of a request and the effects of its possible ends; `RequestMachine` handles the inputs.

    A request ends as `refused` only while nothing of it can have run; after that it ends as
    `unknown`, or as `interrupted` once a stream has begun.
    """

    request: CallerRequest
    route: RouteSpec
    phase: Phase = Phase.NEW
    is_claimed: bool = False
    may_have_run: bool = False
    """A sent attempt has no known result, or the request resumes a stream that already ran."""
    attempts: int = 0
    continuations: int = 0
    chunks: list[str] = attrs.field(factory=list)
    is_stream_open: bool = False
    is_caller_disconnected: bool = False
    is_expired: bool = False
    server: ServerId | None = None
    excluded: frozenset[str] = frozenset()
    pending_refusal: Refusal | None = None
    has_requested_proof: bool = False
    """The claim voters were asked to prove, before a refusal, that no earlier attempt ran."""
    epoch: int = FIRST_STREAM_EPOCH

    def __attrs_post_init__(self) -> None:
        self.may_have_run = bool(self.request.resume_after)

    def _give_up(self, refusal: Refusal) -> list[Effect]:
        """End a request that gets no server: refused, unless an attempt of it may have run."""
        if self.is_stream_open:
            return self._interrupt(resumable=True, reason=refusal.problem)
        if self.may_have_run:
            return self._finish_unknown(refusal.problem, refusal.retry_after_s)
        return self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> list[Effect]:
        if self._needs_proof(refusal):
            # An earlier attempt of the same request may have run through another node.
            self.pending_refusal = refusal
            self.phase = Phase.CLAIMING
            return [Claim(PROOF_TIMEOUT_S)]
        response = responses.refused(self.request.request_id, refusal)
        finish = self._finish(Outcome.REFUSED, refusal.reason.value)
        return [*self._release_claim(), response, *finish]

    def _needs_proof(self, refusal: Refusal) -> bool:
        if self.is_claimed or self.has_requested_proof or not self.request.caller_named_it:
            return False
        if refusal.reason is RefusalReason.INVALID:
            return False
        self.has_requested_proof = True
        return not self.route.at_most_once

    def _mark_may_have_run(self) -> list[Effect]:
        """Tell the claim voters that the request may have run, so that no resend is refused."""
        if self.route.at_most_once or not self.request.caller_named_it:
            return []
        if not self.may_have_run or self.chunks or self.request.resume_after:
            # Either the request did not run, or a resend proves by its Last-Event-ID that it ran.
            return []
        return [MarkMayHaveRun()]

    def _release_claim(self) -> list[Effect]:
        if not self.is_claimed or self.may_have_run:
            return []
        return [ReleaseClaim()]

    def _finish_unknown(self, problem: str, retry_after_s: float = 0.0) -> list[Effect]:
        if self.is_stream_open:
            return [
                *self._record_unknown_outcome(problem),
                *self._interrupt(not self.route.at_most_once, problem),
            ]
        response = responses.unknown(self.request.request_id, problem, retry_after_s)
        mark = self._mark_may_have_run()
        finish = self._finish(Outcome.UNKNOWN, problem)
        return [*self._record_unknown_outcome(problem), response, *mark, *finish]

    def _record_unknown_outcome(self, problem: str) -> list[Effect]:
        if not self.is_claimed or not self.may_have_run:
            return []
        response = responses.unknown(self.request.request_id, problem)
        return [RecordOutcome(Outcome.UNKNOWN, response.status, response.headers, response.body)]

    def _interrupt(self, resumable: bool, reason: str) -> list[Effect]:
        mark = self._mark_may_have_run()
        effects = [*self._ensure_stream_open(), BreakStream(resumable, reason), *mark]
        return effects + self._finish(Outcome.INTERRUPTED, reason)

    def _finish(self, outcome: Outcome, reason: str = "") -> list[Effect]:
        self.phase = Phase.DONE
        return [Finish(outcome, reason)]

    def _ensure_stream_open(self) -> list[Effect]:
        if self.is_stream_open:
            return []
        self.is_stream_open = True
        return [OpenStream()]

    def _free_reserved_server(self) -> list[Effect]:
        if self.server is None:
            return []
        self.server = None
        return [FreeServer(ExchangeEnd.ABANDONED)]

    def _exclude_server(self) -> None:
        if self.server is not None:
            self.excluded = self.excluded | {self.server}

    def _attempts_used_up(self) -> bool:
        has_priority = self.is_stream_open or self.route.stake is Stake.HIGH
        return self.attempts >= (MAX_ATTEMPTS_HIGH_PRIORITY if has_priority else MAX_ATTEMPTS)

    def _deadline_refusal(self) -> Refusal:
        return Refusal(RefusalReason.DEADLINE, "the deadline passed before a server was available")
