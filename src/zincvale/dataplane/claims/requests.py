"""Entry node's side of the claim service: claimants at work, granted claims, their outcomes."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

from zincvale.dataplane.claims.claimant import Claimant
from zincvale.dataplane.claims.delivery import Deliveries, Delivery
from zincvale.dataplane.claims.effects import (
    Ask,
    ClaimantEffect,
    FetchViews,
    Finished,
    Grant,
    Tell,
)
from zincvale.dataplane.claims.events import (
    ClaimWanted,
    Confirmed,
    Decided,
    OutcomeReached,
    RenewalWanted,
    WakeAt,
)
from zincvale.dataplane.claims.messages import ClaimCall, ClaimReply, CloseCall, RecordCall
from zincvale.dataplane.claims.outbox import ClaimOutbox, PendingAsk
from zincvale.dataplane.claims.records import Attempt, ClaimState, OpenClaim, RecordedClaim
from zincvale.dataplane.claims.repair import ClaimRepair
from zincvale.dataplane.claims.table import ClaimTable
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.claims.view import ClaimView
from zincvale.dataplane.inference.dependencies import ClaimGranted, ClaimRefusal, ClaimRefused
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.outcomes import Outcome


@attrs.define
class _Running:
    """A claimant at work; `is_renewal` says which effect ends it."""

    claimant: Claimant
    is_renewal: bool
    announced_wake_at: float = 0.0


class ClaimRequests:
    """The requests that this node entered.

    Parameters
    ----------
    own : the node's table of its own attempts.
    repair : knows the newest view, and fetches newer ones.
    """

    def __init__(
        self,
        member_id: MemberId,
        incarnation: str,
        random: Random,
        timings: ClaimTimings,
        own: ClaimTable,
        repair: ClaimRepair,
        outbox: ClaimOutbox,
    ) -> None:
        self._member_id = member_id
        self._incarnation = incarnation
        self._random = random
        self._timings = timings
        self._own = own
        self._repair = repair
        self._outbox = outbox
        self._running: dict[str, _Running] = {}
        self._deliveries = Deliveries(outbox)
        self.granted: dict[RequestId, Grant] = {}

    def claim(self, event: ClaimWanted, now: float) -> None:
        """Start a claimant."""
        view = self._repair.view
        if view is None or not view.majority or not self._own.has_room(None):
            refusal = ClaimRefused(ClaimRefusal.UNAVAILABLE)
            self._outbox.add(Decided(event.token, refusal))
            return
        claimant = Claimant(
            event.request_id,
            event.digest,
            event.deadline_at,
            view,
            self._random,
            self._timings,
            lambda: self._open(event.request_id, event.digest, now),
            lambda attempt: self._close(event.request_id, attempt, now),
        )
        self._start(event.token, _Running(claimant, is_renewal=False), now)

    def renew(self, event: RenewalWanted, now: float) -> None:
        """Start a claimant that confirms a granted claim."""
        view = self._repair.view
        grant = self.granted.get(event.request_id)
        if view is None or grant is None:
            self._outbox.add(Confirmed(event.token, False))
            return
        claimant = Claimant(
            event.request_id,
            grant.digest,
            event.deadline_at,
            view,
            self._random,
            self._timings,
            lambda: grant.attempt,
            lambda attempt: None,
            renewed=grant.attempt,
        )
        self._start(event.token, _Running(claimant, is_renewal=True), now)

    def abandon(self, token: str, now: float) -> None:
        """Stop a claimant that nobody waits for."""
        running = self._running.pop(token, None)
        if running is not None:
            self._carry_out(token, running.claimant.abandon(now), now)

    def record(self, event: OutcomeReached, now: float) -> None:
        """Bring a granted claim's outcome to its holders."""
        if event.outcome is Outcome.REFUSED:
            self.release(event.token, event.request_id, now)
            return
        grant = self.granted.pop(event.request_id, None)
        if grant is None:
            self._outbox.add(Confirmed(event.token, False))
            return
        recorded = RecordedClaim(
            grant.attempt,
            grant.digest,
            event.outcome.value,
            event.status,
            event.headers,
            event.body,
        )
        if len(event.body) > self._timings.max_body_bytes:
            recorded = recorded.without_body()
        self._own.merge(event.request_id, ClaimState(recorded=recorded), now)
        self._bring_to_holders(event.token, RecordCall(event.request_id, recorded), now)

    def release(self, token: str, request_id: RequestId, now: float) -> None:
        """Close a granted claim; it is closed here before any other node hears of it."""
        grant = self.granted.pop(request_id, None)
        if grant is None:
            self._outbox.add(Confirmed(token, False))
            return
        self._close(request_id, grant.attempt, now)
        self._bring_to_holders(token, CloseCall(request_id, [grant.attempt]), now)

    def view_changed(self, view: ClaimView, now: float) -> None:
        """Let the claimants go on with the holders of a new view."""
        for token, running in list(self._running.items()):
            self._carry_out(token, running.claimant.view_changed(view, now), now)

    def replied(self, pending: PendingAsk, reply: ClaimReply, now: float) -> None:
        """Hand a holder's answer to its claimant."""
        running = self._running.get(pending.token)
        if running is None:
            self._return_late_vote(pending.ask, reply, now)
            return
        self._carry_out(pending.token, running.claimant.replied(pending.ask, reply, now), now)

    def failed(self, pending: PendingAsk, now: float) -> None:
        """Tell a claimant that its call was not answered."""
        running = self._running.get(pending.token)
        if running is not None:
            self._carry_out(pending.token, running.claimant.failed(pending.ask, now), now)

    @property
    def deliveries(self) -> Deliveries:
        """Records and releases under way."""
        return self._deliveries

    def tick(self, now: float) -> None:
        """Wake claimants that are due."""
        for token, running in list(self._running.items()):
            if now >= running.claimant.wake_at:
                self._carry_out(token, running.claimant.woken(now), now)
        self._deliveries.tick(now)
        self._forget_abandoned(now)

    def _forget_abandoned(self, now: float) -> None:
        """Stop announcing claims whose outcome never came; they expire at their holders."""
        for request_id, grant in list(self.granted.items()):
            if now < grant.dispatch_by + self._timings.max_run_s:
                return
            del self.granted[request_id]

    def _start(self, token: str, running: _Running, now: float) -> None:
        self._running[token] = running
        self._carry_out(token, running.claimant.begin(now), now)

    def _open(self, request_id: RequestId, digest: str, now: float) -> Attempt:
        attempt = Attempt(self._member_id, self._incarnation, self._outbox.next_number())
        self._own.merge(request_id, ClaimState(open=[OpenClaim(attempt, digest)]), now)
        return attempt

    def _close(self, request_id: RequestId, attempt: Attempt, now: float) -> None:
        self._own.merge(request_id, ClaimState(closed=[attempt]), now)

    def _carry_out(self, token: str, effects: Iterable[ClaimantEffect], now: float) -> None:
        for effect in effects:
            match effect:
                case Ask(member, message):
                    self._outbox.call(member, message, PendingAsk(token, effect))
                case Tell(members, message):
                    self._tell(members, message, now)
                case FetchViews(member):
                    self._repair.fetch_views(member)
                case Finished():
                    self._finish(token, effect)
        running = self._running.get(token)
        if running is not None and running.claimant.wake_at != running.announced_wake_at:
            running.announced_wake_at = running.claimant.wake_at
            self._outbox.add(WakeAt(running.claimant.wake_at))

    def _finish(self, token: str, finished: Finished) -> None:
        running = self._running.pop(token, None)
        if running is None:
            return
        request_id = running.claimant.request_id
        if not running.is_renewal:
            if finished.grant is not None:
                self.granted[request_id] = finished.grant
            self._outbox.add(Decided(token, finished.decision))
            return
        is_granted = isinstance(finished.decision, ClaimGranted)
        if is_granted and finished.grant is not None and request_id in self.granted:
            self.granted[request_id] = finished.grant
        self._outbox.add(Confirmed(token, is_granted))

    def _tell(
        self, members: tuple[MemberId, ...], message: CloseCall | RecordCall, now: float
    ) -> None:
        ends_at = now + self._timings.delivery_s
        self._deliveries.add(Delivery(message, 0, "", ends_at, set(members)), now)

    def _bring_to_holders(self, token: str, message: CloseCall | RecordCall, now: float) -> None:
        view = self._repair.view
        assert view is not None
        ends_at = now + self._timings.delivery_s
        holders = set(view.holders(message.request_id))
        self._deliveries.add(Delivery(message, view.majority, token, ends_at, holders), now)

    def _return_late_vote(self, ask: Ask, reply: ClaimReply, now: float) -> None:
        """Take back a vote that arrived after its attempt was closed."""
        if not isinstance(ask.message, ClaimCall):
            return
        row = self._own.find(RequestId(ask.message.request_id), now)
        attempt = ask.message.attempt
        if row is None or attempt not in row.closed:
            return
        if attempt in {claim.attempt for claim in reply.state.open}:
            self._tell((ask.member,), CloseCall(ask.message.request_id, [attempt]), now)
