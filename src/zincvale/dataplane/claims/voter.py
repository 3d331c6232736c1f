"""Voter's side of claims: one vote for each request, given to the first attempt that calls."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import (
    BlockCall,
    ClaimCall,
    ClaimReply,
    ClaimStatus,
    CloseCall,
    CopiedClaim,
    PullCall,
    PullReply,
    QueryCall,
    RecordCall,
)
from zincvale.dataplane.claims.readiness import VoterReadiness
from zincvale.dataplane.claims.records import ClaimRow, ClaimState
from zincvale.dataplane.claims.table import ClaimTable, copy_of
from zincvale.model.identifiers import MemberId, RequestId

PAGE_ROWS = 100
"""Limit of rows in one page or announcement; longer ones would block the event loop for longer."""
PAGE_BYTES = 256 * 1024
"""Size at which a page ends, because peers limit the size of a message."""
ROW_OVERHEAD_BYTES = 200
"""Estimate of a row's encoded size without its body."""
EMPTY_STATE = ClaimState()


@attrs.define
class ClaimVoter:
    """This node's votes on claims, and the claims of requests that it received itself.

    Attributes
    ----------
    votes : votes, closed attempts and outcomes of the requests of which this node is a voter.
    own_claims : this node's attempts as an ingress node; they carry no vote, but tell what became
        of each attempt.
    readiness : whether this voter may vote, and in which view.
    """

    member_id: MemberId
    incarnation: str
    votes: ClaimTable
    own_claims: ClaimTable
    readiness: VoterReadiness

    def claim(self, call: ClaimCall, now: float) -> ClaimReply:
        """Vote for the attempt unless another attempt may have this voter's vote."""
        request_id = RequestId(call.request_id)
        row = self.votes.find(request_id, now)
        if row is not None and row.recorded is not None:
            return self._reply(ClaimStatus.RECORDED, row)
        refusal = self._reason_not_to_vote(call.view, request_id)
        if refusal is not None:
            return self._reply(refusal, row)
        if row is not None and not row.may_vote_for(call.attempt):
            return self._reply(ClaimStatus.BLOCKED, row)
        if row is not None and row.other_open_attempts(call.attempt):
            return self._reply(ClaimStatus.CONTENDED, row)
        if not self.votes.has_room(row):
            return self._reply(ClaimStatus.FULL, row)
        row = self.votes.touch(request_id, now)
        row.open_attempt(call.attempt, call.digest)
        return self._reply(ClaimStatus.GRANTED, row)

    def query(self, call: QueryCall, now: float) -> ClaimReply:
        """Return what this node knows of a request, as a voter and as an ingress node."""
        request_id = RequestId(call.request_id)
        row = self._merged_row(request_id, now)
        refusal = self._reason_not_to_vote(call.view, request_id)
        if row.recorded is not None:
            return self._reply(ClaimStatus.RECORDED, row)
        if refusal is not None:
            return self._reply(refusal, row)
        if row.open:
            return self._reply(ClaimStatus.CONTENDED, row)
        return self._reply(ClaimStatus.FREE, row)

    def block(self, call: BlockCall, now: float) -> ClaimReply:
        """Exclude the attempts from votes permanently, except those with this voter's vote."""
        request_id = RequestId(call.request_id)
        row = self.votes.find(request_id, now)
        refusal = self._reason_not_to_vote(call.view, request_id)
        if refusal is not None:
            return self._reply(refusal, row)
        row = self.votes.touch(request_id, now)
        for attempt in call.attempts:
            row.block(attempt)
        return self._reply(ClaimStatus.BLOCKED, row)

    def close(self, call: CloseCall, now: float) -> None:
        """Close the attempts, which withdraws this voter's votes for them."""
        state = ClaimState(closed=call.attempts)
        self.votes.merge(RequestId(call.request_id), state, now)

    def record(self, call: RecordCall, now: float) -> None:
        """Store the outcome of a request."""
        state = ClaimState(recorded=call.recorded)
        self.votes.merge(RequestId(call.request_id), state, now)

    def merge_copies(self, claims: list[CopiedClaim], now: float) -> None:
        """Merge claims that another node sent, except expired ones."""
        for claim in claims:
            if claim.remaining_s > 0:
                self.votes.merge(RequestId(claim.request_id), claim.state, now, claim.remaining_s)

    def pull(self, sender: MemberId, call: PullCall, now: float) -> PullReply:
        """Stop voting in older views, and return a page of claims that `sender` votes on."""
        self.readiness.observe_version(call.view)
        view = self.readiness.view
        is_usable = (
            view is not None and call.view == view.version == self.readiness.newest_seen_view
        )
        reply = PullReply(
            self.readiness.newest_seen_view,
            is_usable,
            sorted(self.readiness.completed_views),
            [],
            call.cursor,
            False,
            [] if call.cursor or call.own_claims else self.readiness.view_lists(),
        )
        if not is_usable:
            return reply
        return self._fill_page(reply, sender, call, now)

    def _fill_page(
        self, reply: PullReply, sender: MemberId, call: PullCall, now: float
    ) -> PullReply:
        table = self.own_claims if call.own_claims else self.votes
        claims: list[CopiedClaim] = []
        size = 0
        cursor = call.cursor
        is_done = True
        for position, row in enumerate(table.changes_after(call.cursor, now)):
            if position == PAGE_ROWS or size >= PAGE_BYTES:
                is_done = False
                break
            cursor = row.sequence
            if sender in self._voters(row):
                claims.append(copy_of(row, now))
                size += ROW_OVERHEAD_BYTES + row.body_bytes()
        return attrs.evolve(reply, claims=claims, cursor=cursor, is_done=is_done)

    def _voters(self, row: ClaimRow) -> tuple[MemberId, ...]:
        view = self.readiness.view
        if view is None:
            return ()
        if row.voters_view != view.version:
            row.voters = view.voters(row.request_id)
            row.voters_view = view.version
        return row.voters

    def _reason_not_to_vote(self, view_version: int, request_id: RequestId) -> ClaimStatus | None:
        """Return why this node cannot vote in this view, or None if it can."""
        if view_version < self.readiness.newest_seen_view:
            return ClaimStatus.STALE_VIEW
        if not self.readiness.may_vote or view_version != self.readiness.view_version:
            return ClaimStatus.NOT_READY
        view = self.readiness.view
        if view is None or self.member_id not in view.voters(request_id):
            return ClaimStatus.NOT_READY
        return None

    def _merged_row(self, request_id: RequestId, now: float) -> ClaimRow:
        merged = ClaimRow(request_id)
        for table in (self.votes, self.own_claims):
            row = table.find(request_id, now)
            if row is not None:
                merged.merge(row.state())
        return merged

    def _reply(self, status: ClaimStatus, row: ClaimRow | None) -> ClaimReply:
        state = EMPTY_STATE if row is None else row.state()
        return ClaimReply(status.value, self.readiness.newest_seen_view, self.incarnation, state)
