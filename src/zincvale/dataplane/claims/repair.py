"""Repair of claims: fetches views, reads claims from other voters and announces running ones."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from zincvale.dataplane.claims import log_events
from zincvale.dataplane.claims.messages import (
    AnnounceCall,
    CopiedClaim,
    PullCall,
    PullReply,
    ViewList,
    ViewsCall,
    ViewsReply,
)
from zincvale.dataplane.claims.outbox import (
    ClaimOutbox,
    PendingAnnounce,
    PendingPull,
    PendingViews,
)
from zincvale.dataplane.claims.table import copy_of
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.claims.view import ClaimView
from zincvale.dataplane.claims.voter import PAGE_ROWS, ClaimVoter
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.machine import Log


class ClaimRepair:
    """Makes the voter complete in each view, and announces running claims to their voters."""

    def __init__(
        self,
        voter: ClaimVoter,
        timings: ClaimTimings,
        outbox: ClaimOutbox,
        started_at: float,
    ) -> None:
        self._voter = voter
        self._readiness = voter.readiness
        self._timings = timings
        self._outbox = outbox
        self._fetching_from: set[MemberId] = set()
        self._incarnations: dict[MemberId, str] = {}
        self._announce_at = started_at + timings.announce_interval_s

    @property
    def view(self) -> ClaimView | None:
        """The newest view whose nodes are known."""
        return self._readiness.view

    def observe_version(self, member: MemberId, version: int) -> None:
        """Stop voting in views older than `version`, and fetch unknown ones from `member`."""
        if version > self._readiness.view_version:
            self._readiness.observe_version(version)
            self.fetch_views(member)

    def fetch_views(self, member: MemberId) -> None:
        """Request the versions of the registered nodes, unless such a request is in flight."""
        if member in self._fetching_from or member == self._voter.member_id:
            return
        self._fetching_from.add(member)
        call = ViewsCall(self._readiness.view_version)
        self._outbox.call(member, call, PendingViews(member))

    def on_views(self, pending: PendingViews, reply: ViewsReply, now: float) -> bool:
        """Add the fetched versions; return whether the newest one changed."""
        self._fetching_from.discard(pending.member)
        return self.update_views(reply.views, now)

    def on_fetch_failure(self, pending: PendingViews) -> None:
        """Allow another request to a member that did not respond."""
        self._fetching_from.discard(pending.member)

    def update_views(self, views: Iterable[ViewList], now: float) -> bool:
        """Add versions of the registered nodes; return whether the newest one changed."""
        if not self._readiness.update_views(views, now):
            return False
        view = self._readiness.view
        assert view is not None
        fields = {"view": view.version, "nodes": len(view.nodes)}
        self._outbox.add(Log(log_events.CLAIMS_VIEW_UPDATED, fields))
        self.pull_due(now)
        return True

    def on_page(self, pending: PendingPull, reply: PullReply, now: float) -> bool:
        """Merge a page of claims; return whether it contained a newer view."""
        self.observe_version(pending.member, reply.view)
        is_newer = self.update_views(reply.views, now)
        if self._readiness.on_page(pending.member, pending.call.view, reply, now):
            self._voter.merge_copies(reply.claims, now)
        self.pull_due(now)
        return is_newer

    def on_page_failure(self, pending: PendingPull, now: float) -> None:
        """Schedule a retry to a source that did not respond."""
        self._readiness.on_page_failure(pending.member, pending.call.view, now)

    def pull_due(self, now: float) -> None:
        """Request a page from each source that is due."""
        for member, source in list(self._readiness.due_pulls(now)):
            source.is_in_flight = True
            call = PullCall(self._readiness.view_version, source.own_claims, source.cursor)
            self._outbox.call(member, call, PendingPull(member, call))

    def try_to_complete(self, now: float) -> None:
        """Start voting once enough was read from the other voters."""
        if not self._readiness.try_to_complete(now):
            return
        log_event = log_events.CLAIMS_COMPLETE
        if self._readiness.used_quarantine:
            log_event = log_events.CLAIMS_QUARANTINED
        self._outbox.add(Log(log_event, {"view": self._readiness.complete_view}))

    def on_live_members_changed(
        self,
        incarnations: dict[MemberId, str],
        running: Collection[RequestId],
        now: float,
    ) -> None:
        """Update the live members, and announce running claims to voters that have started."""
        before = self._incarnations
        self._incarnations = dict(incarnations)
        self._readiness.update_live_members(frozenset(incarnations))
        restarted = {
            member
            for member, incarnation in incarnations.items()
            if before.get(member) != incarnation
        }
        if restarted:
            self._announce(running, restarted, now)

    def tick(self, running: Collection[RequestId], now: float) -> None:
        """Request due pages, and periodically announce running claims so that none expires."""
        self.pull_due(now)
        if now >= self._announce_at:
            self._announce_at = now + self._timings.announce_interval_s
            self._announce(running, None, now)

    def _announce(
        self, running: Collection[RequestId], recipients: set[MemberId] | None, now: float
    ) -> None:
        view = self._readiness.view
        if view is None:
            return
        claims_by_member: dict[MemberId, list[CopiedClaim]] = {}
        for request_id in running:
            row = self._voter.own_claims.touch(request_id, now)
            for member in view.voters(request_id):
                if recipients is None or member in recipients:
                    claims_by_member.setdefault(member, []).append(copy_of(row, now))
        for member, claims in claims_by_member.items():
            for start in range(0, len(claims), PAGE_ROWS):
                call = AnnounceCall(claims[start : start + PAGE_ROWS])
                self._outbox.call(member, call, PendingAnnounce(member))
