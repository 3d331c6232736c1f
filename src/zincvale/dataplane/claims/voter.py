"""Holder's side of claims: one vote for each request, given to the first attempt that asks."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import (
    BarCall,
    ClaimCall,
    ClaimReply,
    ClaimStatus,
    CloseCall,
    CopiedClaim,
    LookCall,
    PullCall,
    PullReply,
    RecordCall,
)
from zincvale.dataplane.claims.readiness import HolderReadiness
from zincvale.dataplane.claims.records import ClaimRow, ClaimState
from zincvale.dataplane.claims.table import ClaimTable, copy_of
from zincvale.model.identifiers import MemberId, RequestId

PAGE_ROWS = 100
PAGE_BYTES = 256 * 1024
ROW_OVERHEAD_BYTES = 200
EMPTY_STATE = ClaimState()


@attrs.define
class ClaimHolder:
    """The claims this node holds for others, and those it entered itself.

    Attributes
    ----------
    held : votes, closed attempts and outcomes of requests that this node is a holder of.
    own : this node's attempts as an entry node; they carry no vote, but tell what became of them.
    readiness : whether this holder may vote, and in which view.
    """

    member_id: MemberId
    incarnation: str
    held: ClaimTable
    own: ClaimTable
    readiness: HolderReadiness

    def claim(self, call: ClaimCall, now: float) -> ClaimReply:
        """Vote for the attempt if no other attempt can have this holder's vote."""
        request_id = RequestId(call.request_id)
        row = self.held.find(request_id, now)
        if row is not None and row.recorded is not None:
            return self._reply(ClaimStatus.RECORDED, row)
        refusal = self._not_voting(call.view, request_id)
        if refusal is not None:
            return self._reply(refusal, row)
        if row is not None and not row.may_vote_for(call.attempt):
            return self._reply(ClaimStatus.BARRED, row)
        if row is not None and row.others(call.attempt):
            return self._reply(ClaimStatus.HELD, row)
        if not self.held.has_room(row):
            return self._reply(ClaimStatus.FULL, row)
        row = self.held.touch(request_id, now)
        row.open_attempt(call.attempt, call.digest)
        return self._reply(ClaimStatus.GRANTED, row)

    def look(self, call: LookCall, now: float) -> ClaimReply:
        """Tell what is known of a request, as a holder and as an entry node."""
        request_id = RequestId(call.request_id)
        row = self._everything(request_id, now)
        refusal = self._not_voting(call.view, request_id)
        if row.recorded is not None:
            return self._reply(ClaimStatus.RECORDED, row)
        if refusal is not None:
            return self._reply(refusal, row)
        if row.open:
            return self._reply(ClaimStatus.HELD, row)
        return self._reply(ClaimStatus.FREE, row)

    def bar(self, call: BarCall, now: float) -> ClaimReply:
        """Never vote for the attempts, save those that have this holder's vote already."""
        request_id = RequestId(call.request_id)
        row = self.held.find(request_id, now)
        refusal = self._not_voting(call.view, request_id)
        if refusal is not None:
            return self._reply(refusal, row)
        row = self.held.touch(request_id, now)
        for attempt in call.attempts:
            row.bar(attempt)
        return self._reply(ClaimStatus.BARRED, row)

    def close(self, call: CloseCall, now: float) -> None:
        """Take the votes of the attempts back."""
        state = ClaimState(closed=call.attempts)
        self.held.merge(RequestId(call.request_id), state, now)

    def record(self, call: RecordCall, now: float) -> None:
        """Keep an outcome."""
        state = ClaimState(recorded=call.recorded)
        self.held.merge(RequestId(call.request_id), state, now)

    def keep(self, claims: list[CopiedClaim], now: float) -> None:
        """Merge claims copied from another node."""
        for claim in claims:
            if claim.remaining_s > 0:
                self.held.merge(RequestId(claim.request_id), claim.state, now, claim.remaining_s)

    def pull(self, sender: MemberId, call: PullCall, now: float) -> PullReply:
        """Stop voting in older views, and return a page of what `sender` holds in this one."""
        self.readiness.hear_of(call.view)
        view = self.readiness.view
        usable = view is not None and call.view == view.version == self.readiness.heard_view
        reply = PullReply(
            self.readiness.heard_view,
            usable,
            sorted(self.readiness.completed),
            [],
            call.cursor,
            False,
            [] if call.cursor or call.own else self.readiness.lists(),
        )
        if not usable:
            return reply
        return self._fill_page(reply, sender, call, now)

    def _fill_page(
        self, reply: PullReply, sender: MemberId, call: PullCall, now: float
    ) -> PullReply:
        table = self.own if call.own else self.held
        claims: list[CopiedClaim] = []
        size = 0
        cursor = call.cursor
        done = True
        for looked_at, row in enumerate(table.changes_after(call.cursor, now)):
            if looked_at == PAGE_ROWS or size >= PAGE_BYTES:
                done = False
                break
            cursor = row.sequence
            if sender in self._holders(row):
                claims.append(copy_of(row, now))
                size += ROW_OVERHEAD_BYTES + row.body_bytes()
        return attrs.evolve(reply, claims=claims, cursor=cursor, done=done)

    def _holders(self, row: ClaimRow) -> tuple[MemberId, ...]:
        view = self.readiness.view
        if view is None:
            return ()
        if row.holders_view != view.version:
            row.holders = view.holders(row.request_id)
            row.holders_view = view.version
        return row.holders

    def _not_voting(self, view_version: int, request_id: RequestId) -> ClaimStatus | None:
        """Return why no vote can be given to a call of this view, or None."""
        if view_version < self.readiness.heard_view:
            return ClaimStatus.STALE_VIEW
        if not self.readiness.may_vote or view_version != self.readiness.view_version:
            return ClaimStatus.NOT_READY
        view = self.readiness.view
        if view is None or self.member_id not in view.holders(request_id):
            return ClaimStatus.NOT_READY
        return None

    def _everything(self, request_id: RequestId, now: float) -> ClaimRow:
        merged = ClaimRow(request_id)
        for table in (self.held, self.own):
            row = table.find(request_id, now)
            if row is not None:
                merged.merge(row.state())
        return merged

    def _reply(self, status: ClaimStatus, row: ClaimRow | None) -> ClaimReply:
        state = EMPTY_STATE if row is None else row.state()
        return ClaimReply(status.value, self.readiness.heard_view, self.incarnation, state)
