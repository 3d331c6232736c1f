"""The claim service of one node as a state machine: its voter, its ingress side and repair."""

from __future__ import annotations

from random import Random

from zincvale.dataplane.claims.events import (
    ClaimAbandoned,
    ClaimRequested,
    LiveMembersChanged,
    OutcomeReached,
    ReleaseRequested,
    RenewalRequested,
    ViewsReceived,
)
from zincvale.dataplane.claims.messages import (
    AnnounceCall,
    BlockCall,
    ClaimAck,
    ClaimCall,
    ClaimReply,
    CloseCall,
    PullCall,
    PullReply,
    QueryCall,
    RecordCall,
    ViewsCall,
    ViewsReply,
)
from zincvale.dataplane.claims.outbox import (
    ClaimOutbox,
    ClaimsEffect,
    Pending,
    PendingAnnounce,
    PendingDelivery,
    PendingPull,
    PendingRequest,
    PendingViews,
)
from zincvale.dataplane.claims.own_attempts import OwnAttempts
from zincvale.dataplane.claims.readiness import VoterReadiness
from zincvale.dataplane.claims.repair import ClaimRepair
from zincvale.dataplane.claims.requests import ClaimRequests
from zincvale.dataplane.claims.table import ClaimTable, TableLimits
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.claims.voter import ClaimVoter
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.machine import (
    CallFailed,
    CallReceived,
    CallReplied,
    Reply,
    Tick,
)

ClaimsInput = (
    ClaimRequested
    | RenewalRequested
    | ClaimAbandoned
    | OutcomeReached
    | ReleaseRequested
    | ViewsReceived
    | LiveMembersChanged
    | CallReceived
    | CallReplied
    | CallFailed
    | Tick
)

FREEZE_GAP_S = 1.0
"""Pause between two inputs above which the process is taken to have been stopped or suspended.

There is a tick every 50 ms.
"""


class ClaimsNode:
    """Turns each input into effects; `events` defines both.

    Parameters
    ----------
    random : source of the jitter of retries.
    started_at : when the process started.
    """

    def __init__(
        self,
        member_id: MemberId,
        incarnation: str,
        random: Random,
        timings: ClaimTimings,
        started_at: float,
    ) -> None:
        self._last_input_at = started_at
        self.readiness = VoterReadiness(member_id, timings, started_at)
        votes = ClaimTable(_limits(timings, timings.ttl_s))
        own_claims = ClaimTable(_limits(timings, timings.own_claim_ttl_s))
        self.voter = ClaimVoter(member_id, incarnation, votes, own_claims, self.readiness)
        self._outbox = ClaimOutbox(timings.call_timeout_s)
        self._repair = ClaimRepair(self.voter, timings, self._outbox, started_at)
        own_attempts = OwnAttempts(member_id, incarnation, own_claims, self._outbox.next_number)
        self._requests = ClaimRequests(own_attempts, random, timings, self._repair, self._outbox)

    def handle(self, event: ClaimsInput, now: float) -> list[ClaimsEffect]:
        """Apply one input and return its effects in the order to carry them out."""
        if now > self._last_input_at + FREEZE_GAP_S:
            self.readiness.restart_reading(now)
        self._last_input_at = now
        match event:
            case CallReceived(sender, token, message):
                self._outbox.add(Reply(token, self._reply_to(sender, message, now)))
            case CallReplied(token, message):
                self._handle_reply(self._outbox.take(token), message, now)
            case CallFailed(token):
                self._handle_failure(self._outbox.take(token), now)
            case ViewsReceived(views):
                if self._repair.update_views(views, now):
                    self._on_view_changed(now)
            case LiveMembersChanged(incarnations):
                self._repair.on_live_members_changed(incarnations, self._requests.granted, now)
            case Tick():
                self._handle_tick(now)
            case _:
                self._handle_request(event, now)
        self._repair.try_to_complete(now)
        return self._outbox.drain()

    def may_dispatch(self, request_id: RequestId, now: float) -> bool:
        """Whether the request's claim is granted and the grant permits a dispatch at `now`."""
        grant = self._requests.granted.get(request_id)
        return grant is not None and now < grant.dispatch_by

    def _handle_request(self, event: ClaimsInput, now: float) -> None:
        match event:
            case ClaimRequested():
                self._requests.claim(event, now)
            case RenewalRequested():
                self._requests.renew(event, now)
            case ClaimAbandoned(token):
                self._requests.abandon(token, now)
            case OutcomeReached():
                self._requests.record(event, now)
            case ReleaseRequested(token, request_id):
                self._requests.release(token, request_id, now)

    def _reply_to(self, sender: MemberId, message: object, now: float) -> object:
        match message:
            case ClaimCall() | QueryCall() | BlockCall() | PullCall():
                self._repair.observe_version(sender, message.view)
        match message:
            case ClaimCall():
                return self.voter.claim(message, now)
            case QueryCall():
                return self.voter.query(message, now)
            case BlockCall():
                return self.voter.block(message, now)
            case PullCall():
                return self.voter.pull(sender, message, now)
            case ViewsCall(newer_than):
                return ViewsReply(self.readiness.view_lists(newer_than))
            case CloseCall():
                self.voter.close(message, now)
            case RecordCall():
                self.voter.record(message, now)
            case AnnounceCall(claims):
                self.voter.merge_copies(claims, now)
        return ClaimAck()

    def _handle_reply(self, pending: Pending | None, message: object, now: float) -> None:
        match pending, message:
            case PendingRequest(), ClaimReply():
                self._requests.on_reply(pending, message, now)
            case PendingDelivery(), ClaimAck():
                self._requests.deliveries.on_confirmation(pending)
            case PendingPull(), PullReply():
                if self._repair.on_page(pending, message, now):
                    self._on_view_changed(now)
            case PendingViews(), ViewsReply():
                if self._repair.on_views(pending, message, now):
                    self._on_view_changed(now)
            case PendingAnnounce(), ClaimAck():
                pass
            case _:
                self._handle_failure(pending, now)

    def _handle_failure(self, pending: Pending | None, now: float) -> None:
        match pending:
            case PendingRequest():
                self._requests.on_failure(pending, now)
            case PendingDelivery():
                self._requests.deliveries.on_failure(pending)
            case PendingPull():
                self._repair.on_page_failure(pending, now)
            case PendingViews():
                self._repair.on_fetch_failure(pending)

    def _on_view_changed(self, now: float) -> None:
        view = self.readiness.view
        assert view is not None
        self._requests.on_view_changed(view, now)

    def _handle_tick(self, now: float) -> None:
        self._requests.tick(now)
        self._repair.tick(self._requests.granted, now)
        self.voter.votes.sweep(now)
        self.voter.own_claims.sweep(now)


def _limits(timings: ClaimTimings, ttl_s: float) -> TableLimits:
    return TableLimits(
        timings.max_rows, timings.max_body_bytes, timings.max_total_body_bytes, ttl_s
    )
