"""Exhaustive exploration of the input orders of one request machine.

The environment responds to each effect in every legal way and counts runs in the worst case: once
its first byte was sent, a request ran unless the server states that it did not. `explore` tries all
orders up to a bounded depth and returns the input sequences that violate a guarantee.
"""

from __future__ import annotations

import copy

import attrs

from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.dependencies import (
    ClaimGranted,
    ClaimRefusal,
    ClaimRefused,
    JournalState,
    OutcomePending,
    RecordedOutcome,
)
from zincvale.dataplane.inference.events import (
    BreakStream,
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
    EndStream,
    Finish,
    FreeServer,
    LookUpStream,
    MarkMayHaveRun,
    NoServer,
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
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_state import Phase
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.outcomes import HTTP_STATUS_BY_REASON, OUTCOME_HEADER, Outcome, RefusalReason

CLAIM_DECISIONS = (
    ClaimGranted(),
    ClaimRefused(ClaimRefusal.UNAVAILABLE),
    ClaimRefused(ClaimRefusal.UNAVAILABLE, never_ran=True),
    RecordedOutcome(Outcome.ANSWERED, 200, {OUTCOME_HEADER: "answered"}, b"{}"),
    OutcomePending(),
)
RECORDED_STREAM = RecordedOutcome(
    Outcome.ANSWERED, 200, {OUTCOME_HEADER: "answered"}, responses.encode_stream(["t1", "t2", "t3"])
)
BUSY = Refusal(RefusalReason.OVERLOADED, "busy")
STREAM_LENGTH = 3


@attrs.define
class Environment:
    """The machine, the state of its surroundings, and the violations so far."""

    machine: RequestMachine
    waits_for: str = ""
    """The pending effect: `claim`, `renewal`, `lookup`, `choice` or `exchange`; empty for none."""
    sent: bool = False
    possible_runs: int = 0
    reserved_slots: int = 0
    has_deadline_passed: bool = False
    has_caller_disconnected: bool = False
    responses: list = attrs.field(factory=list)
    relayed: list = attrs.field(factory=list)
    is_claim_granted: bool = False
    is_claim_renewed: bool = False
    never_ran: bool = False
    is_refused_as_invalid: bool = False
    is_marked_may_have_run: bool = False
    """The claim voters were notified that an unclaimed request may have run."""
    is_claim_closed: bool = False
    """The claim was recorded or released."""
    outcomes: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)

    def step(self, event) -> None:
        if event == "connected":
            self.sent = True
            self.possible_runs += 1
            return
        self._apply_input(event)
        for effect in self.machine.handle(event):
            self._carry_out(effect)

    def _apply_input(self, event) -> None:
        match event:
            case ServerRefused():
                self.possible_runs -= 1
            case ClaimDecided(ClaimGranted()):
                self.is_claim_granted = True
            case ClaimDecided(ClaimRefused(never_ran=True)):
                self.never_ran = True
            case ClaimRenewed():
                self.is_claim_renewed = True
            case ServerChosen():
                self.reserved_slots += 1
            case DeadlinePassed():
                self.has_deadline_passed = True
            case CallerDisconnected():
                self.has_caller_disconnected = True
        if isinstance(event, (ClaimDecided, ClaimRenewed, StreamFound, ServerChosen, NoServer)):
            self.waits_for = ""
        if isinstance(event, (ResponseReceived, ServerRefused, ServerFailed, StreamEnded)):
            self.waits_for = ""

    def _carry_out(self, effect) -> None:
        if self.outcomes:
            self.violations.append(f"{effect} after Finish")
        match effect:
            case Claim():
                self.waits_for = "claim"
            case RenewClaim():
                self.waits_for = "renewal"
            case LookUpStream():
                self.waits_for = "lookup"
            case ChooseServer():
                self.waits_for = "choice"
            case Dispatch(_, prefix):
                self._dispatch(prefix)
            case CancelChoice() | CancelExchange():
                self.waits_for = ""
            case FreeServer():
                self.reserved_slots -= 1
            case SendResponse(status, headers):
                self._respond(status, headers)
            case MarkMayHaveRun():
                self.is_marked_may_have_run = True
            case RecordOutcome() | RecordStream() | ReleaseClaim():
                self._close_claim(effect)
            case RelayChunks(first, chunks):
                self._relay(first, chunks)
            case EndStream(count):
                if self.relayed != list(range(1, count + 1)):
                    self.violations.append(f"a stream of {count} ended after {self.relayed}")
                self.responses.append("end")
            case BreakStream():
                self.responses.append("interrupted")
            case Finish(outcome):
                self._finish(outcome)

    def _dispatch(self, prefix) -> None:
        route = self.machine.route
        self.waits_for = "exchange"
        self.sent = False
        if route.at_most_once and not self.is_claim_granted:
            self.violations.append("dispatched without a claim")
        if route.at_most_once and self.possible_runs:
            self.violations.append("dispatched again after it may have run")
        if any(status != "end" for status in self.responses):
            self.violations.append("dispatched after a response was sent to the caller")
        if list(prefix) != self.machine.chunks:
            self.violations.append("the prefix differs from the received chunks")

    def _respond(self, status, headers) -> None:
        self.responses.append(headers[OUTCOME_HEADER])
        is_refused_as_invalid = status == HTTP_STATUS_BY_REASON[RefusalReason.INVALID]
        self.is_refused_as_invalid = self.is_refused_as_invalid or is_refused_as_invalid
        ran = self.possible_runs or self.machine.request.resume_after
        if headers[OUTCOME_HEADER] == "refused" and ran and not is_refused_as_invalid:
            self.violations.append("refused a request that may have run")

    def _close_claim(self, effect) -> None:
        self.is_claim_closed = True
        if isinstance(effect, ReleaseClaim) and self.possible_runs:
            self.violations.append("released a claim whose request may have run")
        if isinstance(effect, RecordOutcome) and effect.outcome is Outcome.REFUSED:
            self.violations.append("recorded a refusal")

    def _relay(self, first, chunks) -> None:
        numbers = list(range(first, first + len(chunks)))
        if not self.relayed:
            self.relayed = list(range(1, first))
        expected = len(self.relayed) + 1
        if first != expected:
            self.violations.append(f"chunk {first} relayed where {expected} was expected")
        self.relayed += numbers

    def _finish(self, outcome) -> None:
        self.outcomes.append(outcome)
        if outcome is Outcome.REFUSED and self.possible_runs:
            self.violations.append("finished as refused although it may have run")
        if len(self.responses) > 1:
            self.violations.append(f"more than one response: {self.responses}")
        if not self.responses and not self.has_caller_disconnected:
            self.violations.append("the caller got no response")
        if self.reserved_slots:
            self.violations.append(f"{self.reserved_slots} slots not freed")
        if self.is_claim_granted and not self.is_claim_closed:
            self.violations.append("the claim was neither recorded nor released")
        is_run_known = (
            self.is_marked_may_have_run or self.machine.route.at_most_once or self.machine.chunks
        )
        is_run_known = is_run_known or self.machine.request.resume_after
        if self.possible_runs and not is_run_known and outcome is not Outcome.ANSWERED:
            self.violations.append("the claim voters do not know that the request may have run")
        is_refusal_proved = (
            self.is_claim_granted
            or self.never_ran
            or self.is_refused_as_invalid
            or self.has_caller_disconnected
        )
        if outcome is Outcome.REFUSED and not is_refusal_proved:
            self.violations.append("refused without proof that no earlier attempt ran")
        if self.waits_for == "exchange":
            self.violations.append("an exchange was left open")

    def possible_inputs(self) -> list:
        """Return every input that may come next."""
        inputs: list = []
        match self.waits_for:
            case "claim":
                inputs += [ClaimDecided(decision) for decision in CLAIM_DECISIONS]
                if self.machine.request.inference_request.stream:
                    inputs.append(ClaimDecided(RECORDED_STREAM))
            case "renewal":
                inputs += [ClaimRenewed(True), ClaimRenewed(False)]
            case "lookup":
                inputs += [StreamFound(state) for state in _journal_states(self.machine)]
            case "choice":
                inputs += [ServerChosen(f"s{self.machine.attempts + 1}"), NoServer(BUSY)]
            case "exchange":
                inputs += self._possible_exchange_inputs()
        journalled = self.machine.is_stream_open and not self.machine.route.at_most_once
        if journalled and self.machine.chunks and not self.outcomes:
            inputs.append(StreamFenced())
        if not self.outcomes:
            sent = self.waits_for == "exchange" and self.sent
            if not self.has_deadline_passed:
                inputs.append(DeadlinePassed(sent))
            if not self.has_caller_disconnected:
                inputs.append(CallerDisconnected(sent))
        return inputs

    def _possible_exchange_inputs(self) -> list:
        if not self.sent:
            inputs: list = ["connected", ServerFailed("no connection", sent=False)]
            if self.machine.route.at_most_once and not self.is_claim_renewed:
                inputs.append(DispatchForbidden())
            return inputs
        inputs = [ServerFailed("broke", sent=True)]
        if not self.machine.request.inference_request.stream:
            inputs += [
                ResponseReceived(b"{}", 1),
                ServerRefused(ExchangeEnd.OVERLOADED, "overloaded"),
            ]
            return inputs
        received = len(self.machine.chunks)
        if self.machine.phase is Phase.EXCHANGING and received == 0:
            inputs.append(ServerRefused(ExchangeEnd.OVERLOADED, "overloaded"))
        if received < STREAM_LENGTH:
            inputs.append(ChunksReceived(received + 1, [f"t{received + 1}"]))
            inputs.append(ChunksReceived(received + 2, ["skipped"]))
            if received:
                inputs.append(ChunksReceived(received, ["repeated"]))
            inputs.append(StreamEnded(received + 1))
        else:
            inputs.append(StreamEnded(received))
        return inputs


def _journal_states(machine) -> list:
    digest = machine.request.digest
    return [
        None,
        JournalState(digest, ("t1",)),
        JournalState(digest, ("t1", "t2", "t3"), complete=True),
        JournalState("other", ("t1",)),
    ]


def _fingerprint(environment: Environment) -> str:
    """Return a text that identifies the state; excluded servers are sorted, since sets are not."""
    machine = copy.copy(environment.machine)
    machine.excluded = frozenset()
    plain = attrs.evolve(environment, machine=machine)
    return f"{sorted(environment.machine.excluded)} {plain!r}"


def explore(make_machine, depth: int, refusals=(None,)) -> tuple[int, list[str]]:
    """Try every order of up to `depth` inputs; returns the number of states and the violations."""
    seen: set[str] = set()
    violations: list[str] = []
    frontier = []
    for refusal in refusals:
        environment = Environment(make_machine())
        environment.step(Started(refusal))
        frontier.append((environment, ["Started"]))
    for _ in range(depth):
        next_frontier = []
        for environment, inputs in frontier:
            for event in environment.possible_inputs():
                changed = copy.deepcopy(environment)
                changed.step(event)
                if changed.violations:
                    violations.append(
                        f"{changed.violations[0]}: {' > '.join([*inputs, repr(event)])}"
                    )
                    continue
                fingerprint = _fingerprint(changed)
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                next_frontier.append((changed, [*inputs, repr(event)]))
        frontier = next_frontier
    return len(seen), violations
