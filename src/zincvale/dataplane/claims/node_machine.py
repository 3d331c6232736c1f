"""The claim service of one node as a state machine: holder, entry node and repair together."""

from __future__ import annotations

from random import Random

from zincvale.dataplane.claims.events import (
    ClaimAbandoned,
    ClaimWanted,
    LiveMembersChanged,
    OutcomeReached,
    ReleaseWanted,
    RenewalWanted,
    ViewsLearnt,
)
from zincvale.dataplane.claims.messages import (
    AnnounceCall,
    BarCall,
    ClaimCall,
    ClaimDone,
    ClaimReply,
    CloseCall,
    LookCall,
    PullCall,
    PullReply,
    RecordCall,
    ViewsCall,
    ViewsReply,
)
from zincvale.dataplane.claims.outbox import (
    ClaimOutbox,
    ClaimsEffect,
    Pending,
    PendingAnnounce,
    PendingAsk,
    PendingDelivery,
    PendingPull,
    PendingViews,
)
from zincvale.dataplane.claims.readiness import HolderReadiness
from zincvale.dataplane.claims.repair import ClaimRepair
from zincvale.dataplane.claims.requests import ClaimRequests
from zincvale.dataplane.claims.table import ClaimTable, TableLimits
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.claims.voter import ClaimHolder
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.machine import (
    CallFailed,
    CallReceived,
    CallReplied,
    Reply,
    Tick,
)

ClaimsInput = (
    ClaimWanted
    | RenewalWanted
    | ClaimAbandoned
    | OutcomeReached
    | ReleaseWanted
    | ViewsLearnt
    | LiveMembersChanged
    | CallReceived
    | CallReplied
    | CallFailed
    | Tick
)

FREEZE_S = 1.0
"""A longer pause between two inputs is taken for a freeze; there is a tick every 50 ms."""


class ClaimsNode:
    """Takes inputs and returns effects; see `claim_events` for both.

    Parameters
    ----------
    random : jitter of retries.
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
        self._handled_at = started_at
        self.readiness = HolderReadiness(member_id, timings, started_at)
        held = ClaimTable(_limits(timings, timings.ttl_s))
        own = ClaimTable(_limits(timings, timings.own_ttl_s))
        self.holder = ClaimHolder(member_id, incarnation, held, own, self.readiness)
        self._outbox = ClaimOutbox(timings.call_timeout_s)
        self._repair = ClaimRepair(self.holder, timings, self._outbox, started_at)
        self._requests = ClaimRequests(
            member_id, incarnation, random, timings, own, self._repair, self._outbox
        )

    def handle(self, event: ClaimsInput, now: float) -> list[ClaimsEffect]:
        """Apply one input and return what to do, in order."""
        if now > self._handled_at + FREEZE_S:
            self.readiness.woke_up(now)
        self._handled_at = now
        match event:
            case CallReceived(sender, token, message):
                self._outbox.add(Reply(token, self._answer(sender, message, now)))
            case CallReplied(token, message):
                self._handle_reply(self._outbox.take(token), message, now)
            case CallFailed(token):
                self._handle_failure(self._outbox.take(token), now)
            case ViewsLearnt(views):
                if self._repair.learn_views(views, now):
                    self._view_changed(now)
            case LiveMembersChanged(incarnations):
                self._repair.live_members_changed(incarnations, self._requests.granted, now)
            case Tick():
                self._handle_tick(now)
            case _:
                self._handle_request(event, now)
        self._repair.judge(now)
        return self._outbox.drain()

    def may_dispatch(self, request_id: RequestId, now: float) -> bool:
        """Whether the granted claim still covers a dispatch at this very moment."""
        grant = self._requests.granted.get(request_id)
        return grant is not None and now < grant.dispatch_by

    def _handle_request(self, event: ClaimsInput, now: float) -> None:
        match event:
            case ClaimWanted():
                self._requests.claim(event, now)
            case RenewalWanted():
                self._requests.renew(event, now)
            case ClaimAbandoned(token):
                self._requests.abandon(token, now)
            case OutcomeReached():
                self._requests.record(event, now)
            case ReleaseWanted(token, request_id):
                self._requests.release(token, request_id, now)

    def _answer(self, sender: MemberId, message: object, now: float) -> object:
        match message:
            case ClaimCall() | LookCall() | BarCall() | PullCall():
                self._repair.hear_of(sender, message.view)
        match message:
            case ClaimCall():
                return self.holder.claim(message, now)
            case LookCall():
                return self.holder.look(message, now)
            case BarCall():
                return self.holder.bar(message, now)
            case PullCall():
                return self.holder.pull(sender, message, now)
            case ViewsCall(newer_than):
                return ViewsReply(self.readiness.lists(newer_than))
            case CloseCall():
                self.holder.close(message, now)
            case RecordCall():
                self.holder.record(message, now)
            case AnnounceCall(claims):
                self.holder.keep(claims, now)
        return ClaimDone()

    def _handle_reply(self, pending: Pending | None, message: object, now: float) -> None:
        match pending, message:
            case PendingAsk(), ClaimReply():
                self._requests.replied(pending, message, now)
            case PendingDelivery(), ClaimDone():
                self._requests.deliveries.confirmed(pending)
            case PendingPull(), PullReply():
                if self._repair.page_received(pending, message, now):
                    self._view_changed(now)
            case PendingViews(), ViewsReply():
                if self._repair.views_received(pending, message, now):
                    self._view_changed(now)
            case PendingAnnounce(), ClaimDone():
                pass
            case _:
                self._handle_failure(pending, now)

    def _handle_failure(self, pending: Pending | None, now: float) -> None:
        match pending:
            case PendingAsk():
                self._requests.failed(pending, now)
            case PendingDelivery():
                self._requests.deliveries.failed(pending)
            case PendingPull():
                self._repair.page_failed(pending, now)
            case PendingViews():
                self._repair.fetch_failed(pending)

    def _view_changed(self, now: float) -> None:
        view = self.readiness.view
        assert view is not None
        self._requests.view_changed(view, now)

    def _handle_tick(self, now: float) -> None:
        self._requests.tick(now)
        self._repair.tick(self._requests.granted, now)
        self.holder.held.sweep(now)
        self.holder.own.sweep(now)


def _limits(timings: ClaimTimings, ttl_s: float) -> TableLimits:
    return TableLimits(
        timings.max_rows, timings.max_body_bytes, timings.max_total_body_bytes, ttl_s
    )
