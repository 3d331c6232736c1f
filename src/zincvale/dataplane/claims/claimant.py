"""Claimant's side of claims: one request's way to a decision.

    claiming --majority of votes--> granted
    claiming --another attempt is preferred or has a majority--> waiting
    claiming --no majority in time--> refused
    waiting  --outcome recorded--> that outcome
    waiting  --the other attempts are closed--> claiming, as a new attempt
    waiting  --their owners are gone--> barring
    barring  --a majority never voted for them--> claiming, as a new attempt
    barring  --they may have run--> pending

An attempt that leaves `claiming` without a grant is closed for ever before anything else happens,
so that its late votes count for nothing.
"""

from __future__ import annotations

import enum
from collections.abc import Callable
from random import Random

import attrs

from zincvale.dataplane.claims.competing_attempts import Bars, RivalOwners
from zincvale.dataplane.claims.effects import (
    Ask,
    ClaimantEffect,
    FetchViews,
    Finished,
    Grant,
    Tell,
)
from zincvale.dataplane.claims.messages import (
    BarCall,
    ClaimCall,
    ClaimReply,
    ClaimStatus,
    CloseCall,
    LookCall,
)
from zincvale.dataplane.claims.records import Attempt, ClaimRow, RecordedClaim
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.claims.view import ClaimView
from zincvale.dataplane.claims.votes import Votes
from zincvale.dataplane.inference.dependencies import (
    ClaimDecision,
    ClaimGranted,
    ClaimRefusal,
    ClaimRefused,
    OutcomePending,
    RecordedOutcome,
)
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.outcomes import Outcome

POLL_GROWTH = 1.5
RETRY_GROWTH = 2.0


class Phase(enum.Enum):
    """Where a request is on its way."""

    CLAIMING = "claiming"
    WAITING = "waiting"
    BARRING = "barring"
    FINISHED = "finished"


class Claimant:
    """Decides one claim call.

    Parameters
    ----------
    deadline_at : the decision is made by then.
    view : the newest registered nodes.
    next_attempt : mints this node's next attempt and opens it in the node's own table.
    close_own : marks one of this node's attempts as closed in its own table.
    renewed : the granted attempt to be confirmed again, which is not closed on failure.
    """

    def __init__(
        self,
        request_id: RequestId,
        digest: str,
        deadline_at: float,
        view: ClaimView,
        random: Random,
        timings: ClaimTimings,
        next_attempt: Callable[[], Attempt],
        close_own: Callable[[Attempt], None],
        renewed: Attempt | None = None,
    ) -> None:
        self.request_id = request_id
        self.phase = Phase.CLAIMING
        self.wake_at = 0.0
        self._digest = digest
        self._deadline_at = deadline_at
        self._view = view
        self._random = random
        self._timings = timings
        self._next_attempt = next_attempt
        self._close_own = close_own
        self._is_renewal = renewed is not None
        self._attempt = renewed
        self._known = ClaimRow(request_id)
        self._patience_at = 0.0
        self._round_number = 0
        self._is_between_rounds = False
        self._unanswered: set[MemberId] = set()
        self._asked_for_votes: set[MemberId] = set()
        self._votes = Votes(view, timings.dispatch_window_s)
        self._owners = RivalOwners()
        self._poll_s = timings.poll_s
        self._retry_s = timings.retry_s
        self._bars = Bars(view, [], 0.0, timings.dispatch_window_s)
        self._next_bar_at = 0.0

    def begin(self, now: float) -> list[ClaimantEffect]:
        """Start claiming."""
        return self._start_claiming(now)

    def view_changed(self, view: ClaimView, now: float) -> list[ClaimantEffect]:
        """Go on with other holders: votes of the older view count no more."""
        if self.phase is Phase.FINISHED or view.version <= self._view.version:
            return []
        self._view = view
        if self.phase is Phase.CLAIMING:
            self._votes = Votes(view, self._timings.dispatch_window_s)
            return self._ask_for_votes(now)
        return self._poll(now)

    def abandon(self, now: float) -> list[ClaimantEffect]:
        """Give up, since nobody waits for the decision."""
        if self.phase is Phase.FINISHED:
            return []
        self.phase = Phase.FINISHED
        return self._close_attempt()

    def woken(self, now: float) -> list[ClaimantEffect]:
        """Act on the time passed; does nothing before `wake_at`."""
        if self.phase is Phase.FINISHED or now < self.wake_at:
            return []
        if now >= self._deadline_at:
            return self._finish_undecided()
        match self.phase:
            case Phase.CLAIMING if self._is_between_rounds:
                return self._ask_for_votes(now)
            case Phase.CLAIMING:
                return self._judge_votes(now)
            case Phase.BARRING:
                return self._judge_bars(now)
            case _:
                return self._poll(now)

    def replied(self, ask: Ask, reply: ClaimReply, now: float) -> list[ClaimantEffect]:
        """Apply one answer."""
        if self.phase is Phase.FINISHED:
            return []
        effects = self._learn(ask, reply)
        if self._known.recorded is not None and not self._is_renewal:
            return effects + self._finish_recorded(self._known.recorded)
        if ask.round_number == self._round_number:
            self._unanswered.discard(ask.member)
        match ask.message:
            case ClaimCall():
                return effects + self._vote_received(ask, ask.message, reply, now)
            case LookCall():
                return effects + self._look_received(ask, reply, now)
            case BarCall():
                return effects + self._bar_received(ask, reply, now)

    def failed(self, ask: Ask, now: float) -> list[ClaimantEffect]:
        """Note that a call was not answered."""
        if self.phase is Phase.FINISHED:
            return []
        if isinstance(ask.message, LookCall):
            self._owners.was_silent(self._rivals(), ask.member, ask.asked_at)
        if ask.round_number == self._round_number:
            self._unanswered.discard(ask.member)
        match self.phase:
            case Phase.WAITING:
                return self._judge_rivals(now)
            case Phase.CLAIMING if self._round_is_over():
                return self._judge_votes(now)
            case Phase.BARRING if self._round_is_over():
                return self._judge_bars(now)
        return []

    def _learn(self, ask: Ask, reply: ClaimReply) -> list[ClaimantEffect]:
        """Merge the answer, and tell holders that still count on attempts known to be closed."""
        self._known.merge(attrs.evolve(reply.state, barred=[]))
        stale = [claim.attempt for claim in reply.state.open if claim.attempt in self._known.closed]
        effects: list[ClaimantEffect] = []
        if stale:
            effects.append(Tell((ask.member,), CloseCall(self.request_id, stale)))
        if reply.view > self._view.version:
            effects.append(FetchViews(ask.member))
        return effects

    def _rivals(self) -> list[Attempt]:
        """Return the other open attempts, the preferred one first."""
        return self._known.others(self._attempt)

    def _ask_all(
        self, members: list[MemberId], message: ClaimCall | LookCall | BarCall, now: float
    ) -> list[ClaimantEffect]:
        self._round_number += 1
        self._is_between_rounds = False
        self._unanswered = set(members)
        self._wake_by(now + self._timings.round_s)
        return [Ask(member, message, now, self._round_number) for member in members]

    def _round_is_over(self) -> bool:
        return not self._is_between_rounds and not self._unanswered

    # Claiming

    def _start_claiming(self, now: float) -> list[ClaimantEffect]:
        self.phase = Phase.CLAIMING
        self._patience_at = now + self._timings.patience_s
        self._retry_s = self._timings.retry_s
        if not self._is_renewal:
            self._attempt = self._next_attempt()
        self._votes = Votes(self._view, self._timings.dispatch_window_s)
        return self._ask_for_votes(now)

    def _ask_for_votes(self, now: float) -> list[ClaimantEffect]:
        assert self._attempt is not None
        call = ClaimCall(self._view.version, self.request_id, self._digest, self._attempt)
        holders = self._votes.to_ask(self._view.holders(self.request_id), now)
        self._asked_for_votes.update(holders)
        return self._ask_all(holders, call, now)

    def _vote_received(
        self, ask: Ask, call: ClaimCall, reply: ClaimReply, now: float
    ) -> list[ClaimantEffect]:
        is_current = call.attempt == self._attempt and call.view == self._view.version
        if self.phase is not Phase.CLAIMING or not is_current:
            return []
        if reply.status == ClaimStatus.BARRED and not self._is_renewal:
            return self._start_again(now)
        self._votes.note(ask.member, reply, ask.asked_at)
        dispatch_by = self._votes.dispatch_by()
        if dispatch_by is not None and now < dispatch_by:
            return self._finish(ClaimGranted(), Grant(call.attempt, self._digest, dispatch_by))
        if self._round_is_over() or self._votes.is_lost():
            return self._judge_votes(now)
        return []

    def _start_again(self, now: float) -> list[ClaimantEffect]:
        """Go on as a new attempt after a pause, since this one was barred."""
        effects = self._close_attempt()
        self._attempt = self._next_attempt()
        self._votes = Votes(self._view, self._timings.dispatch_window_s)
        self._pause_claiming(now)
        return effects

    def _judge_votes(self, now: float) -> list[ClaimantEffect]:
        """Yield, give up or try again after a round without a majority."""
        rivals = self._rivals()
        is_late = now >= min(self._patience_at, self._deadline_at)
        if rivals and not self._is_renewal:
            assert self._attempt is not None
            if is_late or rivals[0] < self._attempt or self._votes.is_lost():
                return self._yield_to(rivals, now)
        if is_late:
            return self._finish_undecided()
        self._pause_claiming(now)
        return []

    def _pause_claiming(self, now: float) -> None:
        self._is_between_rounds = True
        self._wake_by(now + self._retry_s * (1 + self._random.random()))
        self._retry_s = min(self._retry_s * RETRY_GROWTH, self._timings.retry_max_s)

    def _yield_to(self, rivals: list[Attempt], now: float) -> list[ClaimantEffect]:
        effects = self._close_attempt()
        if any(self._known.open[rival] != self._digest for rival in rivals):
            return effects + self._finish(ClaimRefused(ClaimRefusal.OTHER_REQUEST))
        self._poll_s = self._timings.poll_s
        return effects + self._poll(now)

    def _close_attempt(self) -> list[ClaimantEffect]:
        """Close the own attempt for ever and take its votes back."""
        attempt = self._attempt
        if attempt is None or self._is_renewal:
            return []
        self._attempt = None
        self._close_own(attempt)
        self._known.close(attempt)
        members = tuple(sorted(self._asked_for_votes))
        return [Tell(members, CloseCall(self.request_id, [attempt]))]

    # Waiting

    def _poll(self, now: float) -> list[ClaimantEffect]:
        self.phase = Phase.WAITING
        members = {rival.owner for rival in self._rivals()}
        members.update(self._view.holders(self.request_id))
        call = LookCall(self._view.version, self.request_id)
        effects = self._ask_all(sorted(members), call, now)
        self._wake_by(now + self._poll_s)
        self._poll_s = min(self._poll_s * POLL_GROWTH, self._timings.poll_max_s)
        return effects

    def _look_received(self, ask: Ask, reply: ClaimReply, now: float) -> list[ClaimantEffect]:
        if self.phase is not Phase.WAITING:
            return []
        self._owners.answered(self._rivals(), ask.member, reply)
        return self._judge_rivals(now)

    def _judge_rivals(self, now: float) -> list[ClaimantEffect]:
        rivals = self._rivals()
        if not rivals:
            return self._start_claiming(now)
        is_due = now >= self._next_bar_at
        if is_due and self._owners.all_silent(rivals, self._timings.suspect_s, now):
            return self._ask_to_bar(rivals, now)
        return []

    # Barring

    def _ask_to_bar(self, rivals: list[Attempt], now: float) -> list[ClaimantEffect]:
        self.phase = Phase.BARRING
        self._next_bar_at = now + self._timings.suspect_s
        self._bars = Bars(self._view, rivals, now, self._timings.dispatch_window_s)
        call = BarCall(self._view.version, self.request_id, rivals)
        return self._ask_all(list(self._view.holders(self.request_id)), call, now)

    def _bar_received(self, ask: Ask, reply: ClaimReply, now: float) -> list[ClaimantEffect]:
        if self.phase is not Phase.BARRING or ask.round_number != self._round_number:
            return []
        self._bars.note(ask.member, reply)
        if self._bars.prove_never_ran(now) or self._round_is_over():
            return self._judge_bars(now)
        return []

    def _judge_bars(self, now: float) -> list[ClaimantEffect]:
        rivals = self._bars.rivals
        if self._bars.prove_never_ran(now):
            for rival in rivals:
                self._known.close(rival)
            members = self._view.holders(self.request_id)
            effects: list[ClaimantEffect] = [Tell(members, CloseCall(self.request_id, rivals))]
            return effects + self._start_claiming(now)
        if self._owners.all_silent(rivals, self._timings.give_up_s, now):
            return self._finish(OutcomePending())
        self.phase = Phase.WAITING
        self._wake_by(now + self._poll_s)
        return []

    # Decisions

    def _finish_recorded(self, recorded: RecordedClaim) -> list[ClaimantEffect]:
        effects = self._close_attempt()
        if recorded.digest != self._digest:
            return effects + self._finish(ClaimRefused(ClaimRefusal.OTHER_REQUEST))
        if not recorded.has_body:
            return effects + self._finish(OutcomePending())
        decision = RecordedOutcome(
            Outcome(recorded.outcome), recorded.status, recorded.headers, recorded.body
        )
        return effects + self._finish(decision)

    def _finish_undecided(self) -> list[ClaimantEffect]:
        has_rivals = bool(self._rivals())
        effects = self._close_attempt()
        if has_rivals or self.phase is not Phase.CLAIMING:
            return effects + self._finish(OutcomePending())
        never_ran = self._votes.prove_fresh()
        return effects + self._finish(ClaimRefused(ClaimRefusal.UNAVAILABLE, never_ran=never_ran))

    def _finish(self, decision: ClaimDecision, grant: Grant | None = None) -> list[ClaimantEffect]:
        self.phase = Phase.FINISHED
        return [Finished(decision, grant)]

    def _wake_by(self, at: float) -> None:
        self.wake_at = min(at, self._deadline_at)
