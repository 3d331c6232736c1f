"""Claimant's side of claims: the state machine that decides whether one request may run.

    claiming --majority of votes--> granted
    claiming --another attempt is preferred or has a majority--> waiting
    claiming --no majority in time--> refused
    waiting  --outcome recorded--> that outcome
    waiting  --the other attempts are closed--> claiming, as a new attempt
    waiting  --their owners lost them or do not respond--> blocking
    blocking --they provably never get a majority--> claiming, as a new attempt
    blocking --they may have run--> pending

An attempt that leaves `claiming` without a grant is first closed permanently, so that votes for it
that arrive late have no effect.
"""

from __future__ import annotations

import enum
from random import Random

import attrs

from zincvale.dataplane.claims.claimant_effects import (
    ClaimantEffect,
    FetchViews,
    Finished,
    Grant,
    Notify,
    Request,
)
from zincvale.dataplane.claims.competing_attempts import BlockProof, CompetingOwners
from zincvale.dataplane.claims.messages import (
    BlockCall,
    ClaimCall,
    ClaimReply,
    ClaimStatus,
    CloseCall,
    QueryCall,
)
from zincvale.dataplane.claims.own_attempts import OwnAttempts
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
"""Factor by which each pause between two polls grows; a smaller factor would put more load on the
voters of a request that runs long."""
RETRY_GROWTH = 2.0
"""Factor by which each pause between two rounds of claiming grows; without growth, competing
attempts could stay synchronized and split the votes again and again."""


class Phase(enum.Enum):
    """State of a claimant.

    Legal transitions (the module's docstring names the triggers): CLAIMING to CLAIMING, WAITING and
    FINISHED; WAITING to CLAIMING, BLOCKING and FINISHED; BLOCKING to CLAIMING, WAITING and
    FINISHED; FINISHED is final. A decision, `abandon` or the deadline leads to FINISHED.
    """

    CLAIMING = "claiming"
    WAITING = "waiting"
    BLOCKING = "blocking"
    FINISHED = "finished"


@attrs.frozen
class ClaimTask:
    """A request for which a claimant is to make a decision.

    Attributes
    ----------
    digest : identifies the route and the content; an attempt with another one is another request.
    started_at : when the claim was requested; the time to live of its attempts' rows starts then.
    deadline_at : the latest time of the decision.
    renewed_attempt : the granted attempt that a renewal confirms again, which is not closed on
        failure; None for a new claim.
    """

    request_id: RequestId
    digest: str
    started_at: float
    deadline_at: float
    renewed_attempt: Attempt | None = None


class Claimant:
    """Decides one claim, or renews a granted one.

    Parameters
    ----------
    view : the newest known version of the registered nodes.
    random : source of the jitter of the pauses between rounds.
    """

    def __init__(
        self,
        task: ClaimTask,
        own_attempts: OwnAttempts,
        view: ClaimView,
        random: Random,
        timings: ClaimTimings,
    ) -> None:
        self.request_id = task.request_id
        self.phase = Phase.CLAIMING
        self.wake_at = 0.0
        self._task = task
        self._own_attempts = own_attempts
        self._view = view
        self._random = random
        self._timings = timings
        self._is_renewal = task.renewed_attempt is not None
        self._attempt = task.renewed_attempt
        self._known_row = ClaimRow(task.request_id)
        self._claim_until = 0.0
        self._round_number = 0
        self._is_between_rounds = False
        self._awaited: set[MemberId] = set()
        self._requested_voters: set[MemberId] = set()
        self._votes = Votes(view, timings.dispatch_window_s)
        self._competing_owners = CompetingOwners()
        self._poll_interval_s = timings.poll_interval_s
        self._retry_backoff_s = timings.retry_backoff_s
        self._block_proof = BlockProof(view, [], 0.0, timings.dispatch_window_s)
        self._next_block_at = 0.0

    def begin(self, now: float) -> list[ClaimantEffect]:
        """Start the first round of claiming."""
        return self._start_claiming(now)

    def on_view_changed(self, view: ClaimView, now: float) -> list[ClaimantEffect]:
        """Continue with the voters of a newer view; votes of the older view no longer count."""
        if self.phase is Phase.FINISHED or view.version <= self._view.version:
            return []
        self._view = view
        if self.phase is Phase.CLAIMING:
            self._votes = Votes(view, self._timings.dispatch_window_s)
            return self._request_votes(now)
        return self._poll(now)

    def abandon(self) -> list[ClaimantEffect]:
        """Close the attempt because the caller no longer waits for the decision."""
        if self.phase is Phase.FINISHED:
            return []
        self.phase = Phase.FINISHED
        return self._close_attempt()

    def on_wake(self, now: float) -> list[ClaimantEffect]:
        """Handle timeouts and the ends of pauses; does nothing before `wake_at`."""
        if self.phase is Phase.FINISHED or now < self.wake_at:
            return []
        if now >= self._task.deadline_at:
            return self._finish_undecided()
        match self.phase:
            case Phase.CLAIMING if self._is_between_rounds:
                return self._request_votes(now)
            case Phase.CLAIMING:
                return self._evaluate_votes(now)
            case Phase.BLOCKING:
                return self._evaluate_blocks(now)
            case _:
                return self._poll(now)

    def on_reply(self, request: Request, reply: ClaimReply, now: float) -> list[ClaimantEffect]:
        """Apply a voter's or owner's reply to one of this claimant's calls."""
        if self.phase is Phase.FINISHED:
            return []
        effects = self._merge_reply(request, reply)
        if self._known_row.recorded is not None and not self._is_renewal:
            return effects + self._finish_recorded(self._known_row.recorded)
        if request.round_number == self._round_number:
            self._awaited.discard(request.member)
        match request.message:
            case ClaimCall():
                return effects + self._on_vote_reply(request, request.message, reply, now)
            case QueryCall():
                return effects + self._on_query_reply(request, reply, now)
            case BlockCall():
                return effects + self._on_block_reply(request, reply, now)

    def on_failure(self, request: Request, now: float) -> list[ClaimantEffect]:
        """Handle a call that got no response."""
        if self.phase is Phase.FINISHED:
            return []
        if isinstance(request.message, QueryCall):
            self._competing_owners.on_timeout(
                self._competing_attempts(), request.member, request.requested_at
            )
        if request.round_number == self._round_number:
            self._awaited.discard(request.member)
        match self.phase:
            case Phase.WAITING:
                return self._evaluate_competing(now)
            case Phase.CLAIMING if self._round_is_over():
                return self._evaluate_votes(now)
            case Phase.BLOCKING if self._round_is_over():
                return self._evaluate_blocks(now)
        return []

    def _merge_reply(self, request: Request, reply: ClaimReply) -> list[ClaimantEffect]:
        """Merge the reply, and send closed attempts to a member that still has them open."""
        self._known_row.merge(attrs.evolve(reply.state, blocked=[]))
        stale = [
            claim.attempt for claim in reply.state.open if claim.attempt in self._known_row.closed
        ]
        effects: list[ClaimantEffect] = []
        if stale:
            effects.append(Notify((request.member,), CloseCall(self.request_id, stale)))
        if reply.view > self._view.version:
            effects.append(FetchViews(request.member))
        return effects

    def _competing_attempts(self) -> list[Attempt]:
        """Return the other open attempts, the preferred one first."""
        return self._known_row.other_open_attempts(self._attempt)

    def _request_from_all(
        self, members: list[MemberId], message: ClaimCall | QueryCall | BlockCall, now: float
    ) -> list[ClaimantEffect]:
        self._round_number += 1
        self._is_between_rounds = False
        self._awaited = set(members)
        self._wake_by(now + self._timings.round_timeout_s)
        return [Request(member, message, now, self._round_number) for member in members]

    def _round_is_over(self) -> bool:
        return not self._is_between_rounds and not self._awaited

    # Claiming

    def _start_claiming(self, now: float) -> list[ClaimantEffect]:
        self.phase = Phase.CLAIMING
        self._claim_until = now + self._timings.max_claiming_s
        self._retry_backoff_s = self._timings.retry_backoff_s
        if not self._is_renewal:
            self._attempt = self._open_attempt()
        self._votes = Votes(self._view, self._timings.dispatch_window_s)
        return self._request_votes(now)

    def _request_votes(self, now: float) -> list[ClaimantEffect]:
        assert self._attempt is not None
        call = ClaimCall(self._view.version, self.request_id, self._task.digest, self._attempt)
        voters = self._votes.voters_to_request(self._view.voters(self.request_id), now)
        self._requested_voters.update(voters)
        return self._request_from_all(voters, call, now)

    def _on_vote_reply(
        self, request: Request, call: ClaimCall, reply: ClaimReply, now: float
    ) -> list[ClaimantEffect]:
        is_current = call.attempt == self._attempt and call.view == self._view.version
        if self.phase is not Phase.CLAIMING or not is_current:
            return []
        if reply.status == ClaimStatus.BLOCKED and not self._is_renewal:
            return self._restart_as_new_attempt(now)
        self._votes.record(request.member, reply, request.requested_at)
        dispatch_by = self._votes.dispatch_by()
        if dispatch_by is not None and now < dispatch_by:
            return self._finish(ClaimGranted(), Grant(call.attempt, self._task.digest, dispatch_by))
        if self._round_is_over() or self._votes.another_has_majority():
            return self._evaluate_votes(now)
        return []

    def _restart_as_new_attempt(self, now: float) -> list[ClaimantEffect]:
        """Close the attempt, which a voter blocked, and claim as a new attempt after a pause."""
        effects = self._close_attempt()
        self._attempt = self._open_attempt()
        self._votes = Votes(self._view, self._timings.dispatch_window_s)
        self._pause_claiming(now)
        return effects

    def _evaluate_votes(self, now: float) -> list[ClaimantEffect]:
        """Yield to another attempt, give up or retry after a round without a majority."""
        competing = self._competing_attempts()
        is_late = now >= min(self._claim_until, self._task.deadline_at)
        if competing and not self._is_renewal:
            assert self._attempt is not None
            if is_late or competing[0] < self._attempt or self._votes.another_has_majority():
                return self._yield_to(competing, now)
        if is_late:
            return self._finish_undecided()
        self._pause_claiming(now)
        return []

    def _pause_claiming(self, now: float) -> None:
        self._is_between_rounds = True
        self._wake_by(now + self._retry_backoff_s * (1 + self._random.random()))
        self._retry_backoff_s = min(
            self._retry_backoff_s * RETRY_GROWTH, self._timings.max_retry_backoff_s
        )

    def _yield_to(self, competing: list[Attempt], now: float) -> list[ClaimantEffect]:
        effects = self._close_attempt()
        if any(self._known_row.open[competitor] != self._task.digest for competitor in competing):
            return effects + self._finish(ClaimRefused(ClaimRefusal.OTHER_REQUEST))
        self._poll_interval_s = self._timings.poll_interval_s
        return effects + self._poll(now)

    def _open_attempt(self) -> Attempt:
        task = self._task
        return self._own_attempts.open(task.request_id, task.digest, task.started_at)

    def _close_attempt(self) -> list[ClaimantEffect]:
        """Close this claimant's attempt permanently and withdraw its votes."""
        attempt = self._attempt
        if attempt is None or self._is_renewal:
            return []
        self._attempt = None
        self._own_attempts.close(self.request_id, attempt, self._task.started_at)
        self._known_row.close(attempt)
        members = tuple(sorted(self._requested_voters))
        return [Notify(members, CloseCall(self.request_id, [attempt]))]

    # Waiting

    def _poll(self, now: float) -> list[ClaimantEffect]:
        self.phase = Phase.WAITING
        members = {competitor.owner for competitor in self._competing_attempts()}
        members.update(self._view.voters(self.request_id))
        call = QueryCall(self._view.version, self.request_id)
        effects = self._request_from_all(sorted(members), call, now)
        self._wake_by(now + self._poll_interval_s)
        self._poll_interval_s = min(
            self._poll_interval_s * POLL_GROWTH, self._timings.max_poll_interval_s
        )
        return effects

    def _on_query_reply(
        self, request: Request, reply: ClaimReply, now: float
    ) -> list[ClaimantEffect]:
        if self.phase is not Phase.WAITING:
            return []
        self._competing_owners.on_reply(self._competing_attempts(), request.member, reply)
        return self._evaluate_competing(now)

    def _evaluate_competing(self, now: float) -> list[ClaimantEffect]:
        competing = self._competing_attempts()
        if not competing:
            return self._start_claiming(now)
        is_due = now >= self._next_block_at
        if is_due and self._competing_owners.all_unresponsive(
            competing, self._timings.suspect_after_s, now
        ):
            return self._request_blocks(competing, now)
        return []

    # Blocking

    def _request_blocks(self, competing: list[Attempt], now: float) -> list[ClaimantEffect]:
        self.phase = Phase.BLOCKING
        self._next_block_at = now + self._timings.suspect_after_s
        self._block_proof = BlockProof(self._view, competing, now, self._timings.dispatch_window_s)
        call = BlockCall(self._view.version, self.request_id, competing)
        return self._request_from_all(list(self._view.voters(self.request_id)), call, now)

    def _on_block_reply(
        self, request: Request, reply: ClaimReply, now: float
    ) -> list[ClaimantEffect]:
        if self.phase is not Phase.BLOCKING or request.round_number != self._round_number:
            return []
        self._block_proof.record(request.member, reply)
        if self._block_proof.proves_never_ran(now) or self._round_is_over():
            return self._evaluate_blocks(now)
        return []

    def _evaluate_blocks(self, now: float) -> list[ClaimantEffect]:
        competing = self._block_proof.competing
        if self._block_proof.proves_never_ran(now):
            for competitor in competing:
                self._known_row.close(competitor)
            members = self._view.voters(self.request_id)
            effects: list[ClaimantEffect] = [Notify(members, CloseCall(self.request_id, competing))]
            return effects + self._start_claiming(now)
        if self._competing_owners.all_unresponsive(competing, self._timings.owner_timeout_s, now):
            return self._finish(OutcomePending())
        self.phase = Phase.WAITING
        self._wake_by(now + self._poll_interval_s)
        return []

    # Decisions

    def _finish_recorded(self, recorded: RecordedClaim) -> list[ClaimantEffect]:
        effects = self._close_attempt()
        if recorded.digest != self._task.digest:
            return effects + self._finish(ClaimRefused(ClaimRefusal.OTHER_REQUEST))
        if not recorded.has_body:
            return effects + self._finish(OutcomePending())
        decision = RecordedOutcome(
            Outcome(recorded.outcome), recorded.status, recorded.headers, recorded.body
        )
        return effects + self._finish(decision)

    def _finish_undecided(self) -> list[ClaimantEffect]:
        has_competitors = bool(self._competing_attempts())
        effects = self._close_attempt()
        if has_competitors or self.phase is not Phase.CLAIMING:
            return effects + self._finish(OutcomePending())
        never_ran = self._votes.proves_request_never_ran()
        return effects + self._finish(ClaimRefused(ClaimRefusal.UNAVAILABLE, never_ran=never_ran))

    def _finish(self, decision: ClaimDecision, grant: Grant | None = None) -> list[ClaimantEffect]:
        self.phase = Phase.FINISHED
        return [Finished(decision, grant)]

    def _wake_by(self, at: float) -> None:
        self.wake_at = min(at, self._task.deadline_at)
