"""One request from arrival to outcome, as a pure state machine.

The outcome reports only what is proved. A request is `refused` only while no byte of it can have
reached a server that might run it. On at-most-once routes nothing is sent without a granted claim,
and once the first byte has been sent nothing is sent again.
"""

from __future__ import annotations

import attrs

from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.dependencies import (
    NEWEST_STREAM_EPOCH,
    ClaimGranted,
    ClaimRefusal,
    ClaimRefused,
    JournalState,
    OutcomePending,
    RecordedOutcome,
)
from zincvale.dataplane.inference.events import (
    CallerDisconnected,
    CancelChoice,
    CancelExchange,
    ChooseServer,
    ChunksReceived,
    Claim,
    ClaimDecided,
    ClaimRenewed,
    DeadlinePassed,
    Dispatch,
    DispatchForbidden,
    Effect,
    EndStream,
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
    ResponseReceived,
    SendResponse,
    ServerChosen,
    ServerFailed,
    ServerRefused,
    Started,
    StreamEnded,
    StreamFenced,
    StreamFound,
)
from zincvale.dataplane.inference.request_state import Phase, RequestState
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.identifiers import ServerId
from zincvale.model.outcomes import Outcome, RefusalReason

MAX_CONTINUATIONS = 8
"""How often a broken stream continues at another server before it is interrupted; a request whose
stream breaks more often probably crashes the servers."""
PENDING_RETRY_AFTER_S = 1.0
"""Retry-After while an earlier attempt still runs; more frequent resends load the claim voters."""

REFUSAL_REASON_BY_END = {
    ExchangeEnd.OVERLOADED: RefusalReason.OVERLOADED,
    ExchangeEnd.COLD: RefusalReason.OVERLOADED,
    ExchangeEnd.RATE_LIMITED: RefusalReason.OVERLOADED,
    ExchangeEnd.NOT_RESIDENT: RefusalReason.NOT_RESIDENT,
}


@attrs.define
class RequestMachine(RequestState):
    """State machine of one request; `handle` takes one input and returns the effects in order."""

    def handle(self, event: Input) -> list[Effect]:
        """Apply one input and return the effects to carry out."""
        if self.phase is Phase.DONE:
            return self._handle_when_done(event)
        match event:
            case Started(refusal):
                return self._handle_started(refusal)
            case ClaimDecided():
                return self._handle_claim(event)
            case ClaimRenewed(renewed):
                return self._handle_claim_renewed(renewed)
            case StreamFound(state):
                return self._handle_stream_found(state)
            case ServerChosen(server):
                return self._handle_server_chosen(server)
            case NoServer(refusal):
                return self._give_up(refusal)
            case DispatchForbidden():
                self.phase = Phase.CLAIMING
                return [RenewClaim()]
            case ResponseReceived():
                return self._handle_response(event)
            case ChunksReceived():
                return self._handle_chunks(event)
            case StreamEnded(count):
                return self._handle_stream_ended(count)
            case ServerRefused():
                return self._handle_server_refused(event)
            case ServerFailed():
                return self._handle_server_failed(event)
            case DeadlinePassed(sent):
                return self._handle_deadline_passed(sent)
            case CallerDisconnected(sent):
                return self._handle_caller_disconnected(sent)
            case StreamFenced():
                return self._handle_stream_fenced()

    @property
    def deadline_applies(self) -> bool:
        """Whether the deadline still applies; of a stream it covers only the start."""
        return not self.is_stream_open and self.phase not in (Phase.DONE, Phase.LATE)

    # before dispatch

    def _handle_started(self, refusal: Refusal | None) -> list[Effect]:
        # Only the claim proves that no earlier attempt ran, so the refusal waits for it.
        must_claim_first = refusal is None or self.request.caller_named_it
        if self.route.at_most_once and must_claim_first:
            self.pending_refusal = refusal
            self.phase = Phase.CLAIMING
            return [Claim()]
        if refusal is not None:
            return self._give_up(refusal)
        if self.request.resume_after is not None:
            self.phase = Phase.LOOKING_UP
            return [LookUpStream(self.request.resume_after)]
        return self._choose_server()

    def _handle_claim(self, event: ClaimDecided) -> list[Effect]:
        match event.decision:
            case ClaimGranted():
                return self._handle_claim_granted()
            case ClaimRefused() as refused:
                return self._handle_claim_refused(refused)
            case RecordedOutcome() as recorded:
                return self._replay_outcome(recorded)
            case OutcomePending():
                return self._handle_outcome_pending()

    def _handle_claim_granted(self) -> list[Effect]:
        self.is_claimed = True
        if self.is_caller_disconnected:
            return self._finish_after_disconnect()
        if self.is_expired:
            return self._give_up(self._deadline_refusal())
        if self.pending_refusal is not None:
            return self._give_up(self.pending_refusal)
        if self.request.resume_after:
            # The caller received events of a run that the claim voters no longer have a record of.
            reason = "the stream is no longer known"
            return [*self._record_unknown_outcome(reason), *self._interrupt(False, reason)]
        return self._choose_server()

    def _handle_claim_renewed(self, renewed: bool) -> list[Effect]:
        effects = self._free_reserved_server()
        if renewed and not self.is_caller_disconnected and not self.is_expired:
            # The renewal took time, in which the server chosen before may have been drained.
            return effects + self._choose_server()
        if self.is_caller_disconnected:
            return effects + self._finish_after_disconnect()
        if self.is_expired and renewed:
            return effects + self._refuse(self._deadline_refusal())
        # A resend may hold the claim by now, so this attempt cannot decide the outcome.
        response = responses.unknown(
            self.request.request_id, "the claim could not be renewed", PENDING_RETRY_AFTER_S
        )
        return [
            *effects,
            *self._release_claim(),
            response,
            *self._finish(Outcome.UNKNOWN, "the claim could not be renewed"),
        ]

    def _handle_claim_refused(self, refused: ClaimRefused) -> list[Effect]:
        if refused.reason is ClaimRefusal.OTHER_REQUEST:
            problem = "this X-Request-Id was used for another request"
            remedy = "use a new identifier for each request"
            return self._refuse(Refusal(RefusalReason.INVALID, problem, remedy))
        problem = "no majority of the claim voters responded"
        if refused.never_ran or not self.request.caller_named_it:
            refusal = Refusal(
                RefusalReason.CLAIM_UNAVAILABLE, problem, retry_after_s=refused.retry_after_s
            )
            return self._give_up(refusal)
        return self._finish_unknown(problem, refused.retry_after_s)

    def _handle_outcome_pending(self) -> list[Effect]:
        problem = "an earlier attempt is still running"
        if self.request.resume_after is not None:
            return self._interrupt(resumable=True, reason=problem)
        return self._finish_unknown(problem, PENDING_RETRY_AFTER_S)

    def _replay_outcome(self, recorded: RecordedOutcome) -> list[Effect]:
        after = self.request.resume_after
        if after is None:
            response = SendResponse(recorded.status, recorded.headers, recorded.body)
            return [response, *self._finish(recorded.outcome, "recorded")]
        if recorded.outcome is not Outcome.ANSWERED:
            return self._interrupt(resumable=False, reason="the outcome is not known")
        chunks = responses.decode_stream(recorded.body)
        effects = self._ensure_stream_open()
        if len(chunks) > after:
            effects.append(RelayChunks(after + 1, chunks[after:], journal=False))
        return [*effects, EndStream(len(chunks)), *self._finish(Outcome.ANSWERED, "recorded")]

    def _handle_stream_found(self, state: JournalState | None) -> list[Effect]:
        after = self.request.resume_after or 0
        if self.is_caller_disconnected:
            return self._finish(Outcome.INTERRUPTED, "the caller disconnected")
        if state is not None and state.digest != self.request.digest:
            problem = "this X-Request-Id was used for another request"
            remedy = "resume with the body and path that the stream was started with"
            return self._refuse(Refusal(RefusalReason.INVALID, problem, remedy))
        if state is None or len(state.chunks) < after:
            if after == 0:
                self.epoch = NEWEST_STREAM_EPOCH
                return self._choose_server()
            return self._interrupt(resumable=False, reason="the stream is no longer known")
        self.chunks = list(state.chunks)
        self.epoch = state.epoch
        effects: list[Effect] = [OpenStream()]
        self.is_stream_open = True
        if len(state.chunks) > after:
            effects.append(RelayChunks(after + 1, self.chunks[after:], journal=False))
        if state.complete:
            effects.append(EndStream(len(self.chunks)))
            return effects + self._finish(Outcome.ANSWERED, "resumed")
        return effects + self._choose_server()

    def _choose_server(self, retry: bool = False) -> list[Effect]:
        self.phase = Phase.CHOOSING
        self.server = None
        return [ChooseServer(self.excluded, retry)]

    def _handle_server_chosen(self, server: ServerId) -> list[Effect]:
        self.server = server
        return self._dispatch(server)

    def _dispatch(self, server: ServerId) -> list[Effect]:
        self.phase = Phase.EXCHANGING
        self.attempts += 1
        return [Dispatch(server, tuple(self.chunks), self.attempts)]

    # during an exchange

    def _handle_response(self, event: ResponseReceived) -> list[Effect]:
        if self.is_stream_open:
            return self._handle_server_failed(
                ServerFailed("the response is not a stream", sent=True)
            )
        effects: list[Effect] = [FreeServer(ExchangeEnd.ANSWERED, event.units)]
        response = responses.answered(self.request.request_id, event.body)
        if self.route.at_most_once:
            effects.append(
                RecordOutcome(Outcome.ANSWERED, response.status, response.headers, response.body)
            )
        if self.phase is not Phase.LATE:
            effects.append(response)
        return effects + self._finish(Outcome.ANSWERED)

    def _handle_chunks(self, event: ChunksReceived) -> list[Effect]:
        expected = len(self.chunks) + 1
        if event.first_index != expected:
            reason = f"event {event.first_index} received where {expected} was expected"
            return [CancelExchange(), *self._handle_server_failed(ServerFailed(reason, sent=True))]
        self.chunks += event.chunks
        if self.phase is Phase.LATE:
            return []
        # An at-most-once stream never continues at another server; its outcome is recorded instead.
        journal = not self.route.at_most_once
        relay = RelayChunks(event.first_index, event.chunks, journal)
        return [*self._ensure_stream_open(), relay]

    def _handle_stream_ended(self, count: int) -> list[Effect]:
        if count != len(self.chunks):
            reason = f"the stream ended at {count} after {len(self.chunks)} events"
            return [CancelExchange(), *self._handle_server_failed(ServerFailed(reason, sent=True))]
        effects: list[Effect] = [FreeServer(ExchangeEnd.ANSWERED, max(1, count))]
        late = self.phase is Phase.LATE
        if self.route.at_most_once:
            effects.append(RecordStream(count))
        if not late:
            effects += [*self._ensure_stream_open(), EndStream(count)]
        return effects + self._finish(Outcome.ANSWERED)

    def _handle_server_refused(self, event: ServerRefused) -> list[Effect]:
        free = FreeServer(event.end, missing=event.missing)
        if self.phase is Phase.LATE:
            return [free, ReleaseClaim(), *self._finish(Outcome.REFUSED, event.error)]
        self._exclude_server()
        reason = REFUSAL_REASON_BY_END.get(event.end, RefusalReason.SERVER_REFUSED)
        refusal = Refusal(reason, f"the server refused: {event.error}")
        if event.final:
            refusal = Refusal(RefusalReason.INVALID, refusal.problem, "change the request")
            return [free, *self._give_up(refusal)]
        if self._attempts_used_up():
            return [free, *self._give_up(refusal)]
        # A stream that has begun may exceed the retry budget, because giving up would break it.
        uses_retry_budget = event.end is not ExchangeEnd.NOT_RESIDENT and not self.is_stream_open
        return [free, *self._choose_server(retry=uses_retry_budget)]

    def _handle_server_failed(self, event: ServerFailed) -> list[Effect]:
        free = FreeServer(ExchangeEnd.FAILED)
        self._exclude_server()
        if not event.sent:
            return [FreeServer(ExchangeEnd.NOT_CONNECTED), *self._handle_unsent_failure(event)]
        self.may_have_run = True
        if self.phase is Phase.LATE:
            return [
                free,
                *self._record_unknown_outcome(event.reason),
                *self._finish(Outcome.UNKNOWN),
            ]
        if self.route.at_most_once:
            return [free, *self._finish_unknown(event.reason)]
        if self.chunks:
            return [free, *self._continue_stream(event.reason)]
        if self._attempts_used_up():
            return [free, *self._finish_unknown(event.reason)]
        return [free, *self._choose_server(retry=True)]

    def _handle_unsent_failure(self, event: ServerFailed) -> list[Effect]:
        if self.phase is Phase.LATE:
            return [ReleaseClaim(), *self._finish(Outcome.REFUSED, event.reason)]
        if self._attempts_used_up():
            return self._give_up(Refusal(RefusalReason.NO_SERVER, event.reason))
        return self._choose_server(retry=not self.is_stream_open)

    def _continue_stream(self, reason: str) -> list[Effect]:
        self.continuations += 1
        if self.continuations > MAX_CONTINUATIONS:
            return self._interrupt(resumable=True, reason=reason)
        return self._choose_server()

    # deadline, disconnect and fencing

    def _handle_deadline_passed(self, sent: bool) -> list[Effect]:
        if not self.deadline_applies:
            return []
        match self.phase:
            case Phase.CLAIMING | Phase.LOOKING_UP | Phase.NEW:
                self.is_expired = True
                return []
            case Phase.CHOOSING:
                return [CancelChoice(), *self._give_up(self._deadline_refusal())]
            case _:
                return self._expire_exchange(sent)

    def _expire_exchange(self, sent: bool) -> list[Effect]:
        if not sent:
            free = FreeServer(ExchangeEnd.NOT_CONNECTED)
            return [CancelExchange(), free, *self._give_up(self._deadline_refusal())]
        problem = "no response before the deadline"
        if not self.route.at_most_once:
            free = FreeServer(ExchangeEnd.TIMED_OUT)
            self.may_have_run = True
            return [CancelExchange(), free, *self._finish_unknown(problem)]
        self.may_have_run = True
        self.phase = Phase.LATE
        return [responses.unknown(self.request.request_id, problem, PENDING_RETRY_AFTER_S)]

    def _handle_caller_disconnected(self, sent: bool) -> list[Effect]:
        self.is_caller_disconnected = True
        match self.phase:
            case Phase.CLAIMING | Phase.LOOKING_UP | Phase.NEW | Phase.LATE:
                return []
            case Phase.CHOOSING:
                return [CancelChoice(), *self._finish_after_disconnect()]
            case _:
                return self._abandon_exchange(sent)

    def _abandon_exchange(self, sent: bool) -> list[Effect]:
        if sent and self.route.at_most_once:
            # The exchange continues without the caller, so that a resend finds the outcome.
            self.phase = Phase.LATE
            return []
        effects: list[Effect] = [CancelExchange(), FreeServer(ExchangeEnd.ABANDONED)]
        if not sent:
            return effects + self._finish_after_disconnect()
        self.may_have_run = True
        effects += self._mark_may_have_run()
        outcome = Outcome.INTERRUPTED if self.is_stream_open else Outcome.UNKNOWN
        return effects + self._finish(outcome, "the caller disconnected")

    def _finish_after_disconnect(self) -> list[Effect]:
        outcome = Outcome.UNKNOWN if self.may_have_run else Outcome.REFUSED
        if self.is_stream_open:
            outcome = Outcome.INTERRUPTED
        reason = "the caller disconnected"
        claim = [*self._release_claim(), *self._record_unknown_outcome(reason)]
        return [*claim, *self._mark_may_have_run(), *self._finish(outcome, reason)]

    def _handle_stream_fenced(self) -> list[Effect]:
        effects: list[Effect] = []
        if self.phase is Phase.CHOOSING:
            effects.append(CancelChoice())
        elif self.phase is Phase.EXCHANGING:
            effects += [CancelExchange(), FreeServer(ExchangeEnd.ABANDONED)]
        return effects + self._interrupt(resumable=True, reason="resumed at another node")

    def _handle_when_done(self, event: Input) -> list[Effect]:
        """Free the slot of a server chosen while the request ended; ignore other inputs."""
        if isinstance(event, ServerChosen):
            return [FreeServer(ExchangeEnd.ABANDONED)]
        return []
