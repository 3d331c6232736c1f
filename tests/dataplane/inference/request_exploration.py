"""Every order of events around one request machine, with what a server could have run.

The environment answers each effect in every legal way and counts possible runs in the worst case:
an exchange whose first byte left ran, unless the server said that it did not. `explore` walks all
orders to a bounded depth and returns the traces that break a promise.
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

CLAIM_ANSWERS = (
    ClaimGranted(),
    ClaimRefused(ClaimRefusal.UNAVAILABLE),
    ClaimRefused(ClaimRefusal.UNAVAILABLE, never_ran=True),
    RecordedOutcome(Outcome.ANSWERED, 200, {OUTCOME_HEADER: "answered"}, b"{}"),
    OutcomePending(),
)
RECORDED_STREAM = RecordedOutcome(
    Outcome.ANSWERED, 200, {OUTCOME_HEADER: "answered"}, responses.whole_stream(["t1", "t2", "t3"])
)
BUSY = Refusal(RefusalReason.OVERLOADED, "busy")
STREAM_LENGTH = 3


@attrs.define
class Environment:
    """What surrounds the machine, and what has happened so far."""

    machine: RequestMachine
    waits_for: str = ""
    """`claim`, `lookup`, `choice` or `exchange`."""
    sent: bool = False
    possible_runs: int = 0
    places: int = 0
    deadline_used: bool = False
    caller_used: bool = False
    responses: list = attrs.field(factory=list)
    relayed: list = attrs.field(factory=list)
    granted: bool = False
    renewed: bool = False
    never_ran: bool = False
    invalid: bool = False
    noted: bool = False
    """The claim voters were notified that an unclaimed request may have run."""
    settled: bool = False
    """The claim was recorded or released."""
    finished: list = attrs.field(factory=list)
    broken: list = attrs.field(factory=list)

    def step(self, event) -> None:
        if event == "connected":
            self.sent = True
            self.possible_runs += 1
            return
        self._before(event)
        for effect in self.machine.handle(event):
            self._carry_out(effect)

    def _before(self, event) -> None:
        match event:
            case ServerRefused():
                self.possible_runs -= 1
            case ClaimDecided(ClaimGranted()):
                self.granted = True
            case ClaimDecided(ClaimRefused(never_ran=True)):
                self.never_ran = True
            case ClaimRenewed():
                self.renewed = True
            case ServerChosen():
                self.places += 1
            case DeadlinePassed():
                self.deadline_used = True
            case CallerDisconnected():
                self.caller_used = True
        if isinstance(event, (ClaimDecided, ClaimRenewed, StreamFound, ServerChosen, NoServer)):
            self.waits_for = ""
        if isinstance(event, (ResponseReceived, ServerRefused, ServerFailed, StreamEnded)):
            self.waits_for = ""

    def _carry_out(self, effect) -> None:
        if self.finished:
            self.broken.append(f"{effect} after the end")
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
                self.places -= 1
            case SendResponse(status, headers):
                self._respond(status, headers)
            case MarkMayHaveRun():
                self.noted = True
            case RecordOutcome() | RecordStream() | ReleaseClaim():
                self._settle(effect)
            case RelayChunks(first, chunks):
                self._relay(first, chunks)
            case EndStream(count):
                if self.relayed != list(range(1, count + 1)):
                    self.broken.append(f"a stream of {count} ended after {self.relayed}")
                self.responses.append("end")
            case BreakStream():
                self.responses.append("interrupted")
            case Finish(outcome):
                self._finish(outcome)

    def _dispatch(self, prefix) -> None:
        route = self.machine.route
        self.waits_for = "exchange"
        self.sent = False
        if route.at_most_once and not self.granted:
            self.broken.append("dispatched without a claim")
        if route.at_most_once and self.possible_runs:
            self.broken.append("dispatched again after it may have run")
        if any(status != "end" for status in self.responses):
            self.broken.append("dispatched after the caller was answered")
        if list(prefix) != self.machine.chunks:
            self.broken.append("a prefix that is not what was received")

    def _respond(self, status, headers) -> None:
        self.responses.append(headers[OUTCOME_HEADER])
        invalid = status == HTTP_STATUS_BY_REASON[RefusalReason.INVALID]
        self.invalid = self.invalid or invalid
        ran = self.possible_runs or self.machine.request.resume_after
        if headers[OUTCOME_HEADER] == "refused" and ran and not invalid:
            self.broken.append("refused what may have run")

    def _settle(self, effect) -> None:
        self.settled = True
        if isinstance(effect, ReleaseClaim) and self.possible_runs:
            self.broken.append("released a claim whose request may have run")
        if isinstance(effect, RecordOutcome) and effect.outcome is Outcome.REFUSED:
            self.broken.append("recorded a refusal")

    def _relay(self, first, chunks) -> None:
        numbers = list(range(first, first + len(chunks)))
        if not self.relayed:
            self.relayed = list(range(1, first))
        expected = len(self.relayed) + 1
        if first != expected:
            self.broken.append(f"piece {first} relayed where {expected} was due")
        self.relayed += numbers

    def _finish(self, outcome) -> None:
        self.finished.append(outcome)
        if outcome is Outcome.REFUSED and self.possible_runs:
            self.broken.append("finished as refused although it may have run")
        if len(self.responses) > 1:
            self.broken.append(f"responses {self.responses}")
        if not self.responses and not self.caller_used:
            self.broken.append("the caller got nothing")
        if self.places:
            self.broken.append(f"{self.places} places not given back")
        if self.granted and not self.settled:
            self.broken.append("the claim was left open")
        known = self.noted or self.machine.route.at_most_once or self.machine.chunks
        known = known or self.machine.request.resume_after
        if self.possible_runs and not known and outcome is not Outcome.ANSWERED:
            self.broken.append("a run that nobody else knows of")
        proved = self.granted or self.never_ran or self.invalid or self.caller_used
        if outcome is Outcome.REFUSED and not proved:
            self.broken.append("refused without proof that no earlier attempt ran")
        if self.waits_for == "exchange":
            self.broken.append("an exchange was left running")

    def choices(self) -> list:
        """Every input that could come now."""
        found: list = []
        match self.waits_for:
            case "claim":
                found += [ClaimDecided(answer) for answer in CLAIM_ANSWERS]
                if self.machine.request.inference_request.stream:
                    found.append(ClaimDecided(RECORDED_STREAM))
            case "renewal":
                found += [ClaimRenewed(True), ClaimRenewed(False)]
            case "lookup":
                found += [StreamFound(state) for state in _journal_states(self.machine)]
            case "choice":
                found += [ServerChosen(f"s{self.machine.attempts + 1}"), NoServer(BUSY)]
            case "exchange":
                found += self._exchange_choices()
        journalled = self.machine.is_stream_open and not self.machine.route.at_most_once
        if journalled and self.machine.chunks and not self.finished:
            found.append(StreamFenced())
        if not self.finished:
            sent = self.waits_for == "exchange" and self.sent
            if not self.deadline_used:
                found.append(DeadlinePassed(sent))
            if not self.caller_used:
                found.append(CallerDisconnected(sent))
        return found

    def _exchange_choices(self) -> list:
        if not self.sent:
            found: list = ["connected", ServerFailed("no connection", sent=False)]
            if self.machine.route.at_most_once and not self.renewed:
                found.append(DispatchForbidden())
            return found
        found = [ServerFailed("broke", sent=True)]
        if not self.machine.request.inference_request.stream:
            found += [
                ResponseReceived(b"{}", 1),
                ServerRefused(ExchangeEnd.OVERLOADED, "overloaded"),
            ]
            return found
        have = len(self.machine.chunks)
        if self.machine.phase is Phase.EXCHANGING and have == 0:
            found.append(ServerRefused(ExchangeEnd.OVERLOADED, "overloaded"))
        if have < STREAM_LENGTH:
            found.append(ChunksReceived(have + 1, [f"t{have + 1}"]))
            found.append(ChunksReceived(have + 2, ["skipped"]))
            if have:
                found.append(ChunksReceived(have, ["repeated"]))
            found.append(StreamEnded(have + 1))
        else:
            found.append(StreamEnded(have))
        return found


def _journal_states(machine) -> list:
    digest = machine.request.digest
    return [
        None,
        JournalState(digest, ("t1",)),
        JournalState(digest, ("t1", "t2", "t3"), complete=True),
        JournalState("other", ("t1",)),
    ]


def _fingerprint(environment: Environment) -> str:
    """Sets have no order of their own, so the tried servers are written sorted."""
    machine = copy.copy(environment.machine)
    machine.excluded = frozenset()
    plain = attrs.evolve(environment, machine=machine)
    return f"{sorted(environment.machine.excluded)} {plain!r}"


def explore(make_machine, depth: int, refusals=(None,)) -> tuple[int, list[str]]:
    """Walk every order of at most `depth` inputs; returns states seen and broken promises."""
    seen: set[str] = set()
    broken: list[str] = []
    frontier = []
    for refusal in refusals:
        environment = Environment(make_machine())
        environment.step(Started(refusal))
        frontier.append((environment, ["Started"]))
    for _ in range(depth):
        following = []
        for environment, trace in frontier:
            for event in environment.choices():
                changed = copy.deepcopy(environment)
                changed.step(event)
                if changed.broken:
                    broken.append(f"{changed.broken[0]}: {' > '.join([*trace, repr(event)])}")
                    continue
                fingerprint = _fingerprint(changed)
                if fingerprint in seen:
                    continue
                seen.add(fingerprint)
                following.append((changed, [*trace, repr(event)]))
        frontier = following
    return len(seen), broken
