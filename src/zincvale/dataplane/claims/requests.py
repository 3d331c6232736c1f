"""Ingress node's side of the claim service: running claimants, granted claims and outcomes."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

from zincvale.dataplane.claims.claimant import Claimant, ClaimTask
from zincvale.dataplane.claims.claimant_effects import (
    ClaimantEffect,
    FetchViews,
    Finished,
    Grant,
    Notify,
    Request,
)
from zincvale.dataplane.claims.delivery import Deliveries, Delivery
from zincvale.dataplane.claims.events import (
    ClaimRequested,
    Confirmed,
    Decided,
    OutcomeReached,
    RenewalRequested,
    WakeAt,
)
from zincvale.dataplane.claims.messages import ClaimCall, ClaimReply, CloseCall, RecordCall
from zincvale.dataplane.claims.outbox import ClaimOutbox, PendingRequest
from zincvale.dataplane.claims.own_attempts import OwnAttempts
from zincvale.dataplane.claims.records import ClaimState, RecordedClaim
from zincvale.dataplane.claims.repair import ClaimRepair
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.claims.view import ClaimView
from zincvale.dataplane.inference.dependencies import ClaimGranted, ClaimRefusal, ClaimRefused
from zincvale.model.identifiers import MemberId, RequestId
from zincvale.model.outcomes import Outcome


@attrs.define
class _RunningClaimant:
    """A running claimant.

    Attributes
    ----------
    is_renewal : whether it ends with a `Confirmed` effect instead of a `Decided` one.
    announced_wake_at : the time in the last `WakeAt` effect for this claimant.
    """

    claimant: Claimant
    is_renewal: bool
    announced_wake_at: float = 0.0


class ClaimRequests:
    """The claims of requests that this node received as their ingress node.

    Parameters
    ----------
    own_attempts : opens and closes this node's attempts.
    random : source of the jitter of the claimants' pauses.
    repair : has the newest known view, and fetches newer ones.
    """

    def __init__(
        self,
        own_attempts: OwnAttempts,
        random: Random,
        timings: ClaimTimings,
        repair: ClaimRepair,
        outbox: ClaimOutbox,
    ) -> None:
        self._own_attempts = own_attempts
        self._random = random
        self._timings = timings
        self._repair = repair
        self._outbox = outbox
        self._running: dict[str, _RunningClaimant] = {}
        self._deliveries = Deliveries(outbox)
        self.granted: dict[RequestId, Grant] = {}

    def claim(self, event: ClaimRequested, now: float) -> None:
        """Start a claimant, or refuse if there is no usable view or no room for an attempt."""
        view = self._repair.view
        if view is None or not view.majority or not self._own_attempts.table.has_room(None):
            refusal = ClaimRefused(ClaimRefusal.UNAVAILABLE)
            self._outbox.add(Decided(event.token, refusal))
            return
        task = ClaimTask(event.request_id, event.digest, now, event.deadline_at)
        self._start(event.token, task, view, now)

    def renew(self, event: RenewalRequested, now: float) -> None:
        """Start a claimant that renews a granted claim."""
        view = self._repair.view
        grant = self.granted.get(event.request_id)
        if view is None or grant is None:
            self._outbox.add(Confirmed(event.token, False))
            return
        task = ClaimTask(event.request_id, grant.digest, now, event.deadline_at, grant.attempt)
        self._start(event.token, task, view, now)

    def abandon(self, token: str, now: float) -> None:
        """Stop a claimant whose caller no longer waits for it."""
        running = self._running.pop(token, None)
        if running is not None:
            self._carry_out(token, running.claimant.abandon(), now)

    def record(self, event: OutcomeReached, now: float) -> None:
        """Deliver the outcome of a granted claim to its voters; a refusal releases the claim."""
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
        self._own_attempts.table.merge(event.request_id, ClaimState(recorded=recorded), now)
        self._deliver_to_voters(event.token, RecordCall(event.request_id, recorded), now)

    def release(self, token: str, request_id: RequestId, now: float) -> None:
        """Release a granted claim; its attempt is closed here before any voter is told."""
        grant = self.granted.pop(request_id, None)
        if grant is None:
            self._outbox.add(Confirmed(token, False))
            return
        self._own_attempts.close(request_id, grant.attempt, now)
        self._deliver_to_voters(token, CloseCall(request_id, [grant.attempt]), now)

    def on_view_changed(self, view: ClaimView, now: float) -> None:
        """Let each claimant continue with the voters of the new view."""
        for token, running in list(self._running.items()):
            self._carry_out(token, running.claimant.on_view_changed(view, now), now)

    def on_reply(self, pending: PendingRequest, reply: ClaimReply, now: float) -> None:
        """Pass a reply to the claimant that made the call, or withdraw a late vote."""
        running = self._running.get(pending.token)
        if running is None:
            self._return_late_vote(pending.request, reply, now)
            return
        self._carry_out(pending.token, running.claimant.on_reply(pending.request, reply, now), now)

    def on_failure(self, pending: PendingRequest, now: float) -> None:
        """Notify the claimant that its call failed."""
        running = self._running.get(pending.token)
        if running is not None:
            self._carry_out(pending.token, running.claimant.on_failure(pending.request, now), now)

    @property
    def deliveries(self) -> Deliveries:
        """The deliveries of outcomes, releases and closed attempts that are in progress."""
        return self._deliveries

    def tick(self, now: float) -> None:
        """Wake due claimants, resend deliveries and forget old claims without an outcome."""
        for token, running in list(self._running.items()):
            if now >= running.claimant.wake_at:
                self._carry_out(token, running.claimant.on_wake(now), now)
        self._deliveries.tick(now)
        self._forget_abandoned(now)

    def _forget_abandoned(self, now: float) -> None:
        """Stop announcing claims without an outcome after `max_run_s`; their voters expire them."""
        for request_id, grant in list(self.granted.items()):
            if now < grant.dispatch_by + self._timings.max_run_s:
                return
            del self.granted[request_id]

    def _start(self, token: str, task: ClaimTask, view: ClaimView, now: float) -> None:
        claimant = Claimant(task, self._own_attempts, view, self._random, self._timings)
        self._running[token] = _RunningClaimant(
            claimant, is_renewal=task.renewed_attempt is not None
        )
        self._carry_out(token, claimant.begin(now), now)

    def _carry_out(self, token: str, effects: Iterable[ClaimantEffect], now: float) -> None:
        for effect in effects:
            match effect:
                case Request(member, message):
                    self._outbox.call(member, message, PendingRequest(token, effect))
                case Notify(members, message):
                    self._notify(members, message, now)
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

    def _notify(
        self, members: tuple[MemberId, ...], message: CloseCall | RecordCall, now: float
    ) -> None:
        ends_at = now + self._timings.delivery_timeout_s
        self._deliveries.add(Delivery(message, 0, "", ends_at, set(members)), now)

    def _deliver_to_voters(self, token: str, message: CloseCall | RecordCall, now: float) -> None:
        view = self._repair.view
        assert view is not None
        ends_at = now + self._timings.delivery_timeout_s
        voters = set(view.voters(message.request_id))
        self._deliveries.add(Delivery(message, view.majority, token, ends_at, voters), now)

    def _return_late_vote(self, request: Request, reply: ClaimReply, now: float) -> None:
        """Withdraw a vote that arrived after its attempt was closed."""
        if not isinstance(request.message, ClaimCall):
            return
        row = self._own_attempts.table.find(RequestId(request.message.request_id), now)
        attempt = request.message.attempt
        if row is None or attempt not in row.closed:
            return
        if attempt in {claim.attempt for claim in reply.state.open}:
            self._notify((request.member,), CloseCall(request.message.request_id, [attempt]), now)
