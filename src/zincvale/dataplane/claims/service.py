"""The claim service: connects the state machine of claims to peer calls and timers."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from tornado.ioloop import IOLoop

from zincvale.dataplane.claims.events import (
    ClaimAbandoned,
    ClaimRequested,
    Confirmed,
    Decided,
    LiveMembersChanged,
    OutcomeReached,
    ReleaseRequested,
    RenewalRequested,
    ViewsReceived,
    WakeAt,
)
from zincvale.dataplane.claims.messages import BatchCall, BatchReply, ViewList
from zincvale.dataplane.claims.node_machine import ClaimsInput, ClaimsNode
from zincvale.dataplane.claims.outbox import ClaimsEffect
from zincvale.dataplane.claims.peer_call_queues import PeerCallQueues, pack_message, unpack_message
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.inference.dependencies import ClaimDecision, ClaimGranted
from zincvale.dataplane.machine_driver import MachineDriver, WriteLog, ignore_log
from zincvale.model.control_tables import Members
from zincvale.model.identifiers import MemberId, RequestId, RouteName, ZoneName
from zincvale.model.machine import Call, CallFailed, CallReplied
from zincvale.model.outcomes import Outcome
from zincvale.transport.peer import PeerCaller


class ClaimService:
    """Implements `inference.dependencies.Claims`.

    Parameters
    ----------
    random : source of the jitter of retries.
    clock : returns seconds of a monotonic clock that also runs while the machine is suspended.
    peers : makes calls to other nodes; calls to this node are handled without it.
    write_log : called with the number and the fields of each log event.
    """

    def __init__(
        self,
        member_id: MemberId,
        incarnation: str,
        random: Random,
        clock: Callable[[], float],
        peers: PeerCaller,
        timings: ClaimTimings | None = None,
        write_log: WriteLog = ignore_log,
    ) -> None:
        self._member_id = member_id
        self._clock = clock
        self._node = ClaimsNode(
            member_id, incarnation, random, timings or ClaimTimings(), started_at=clock()
        )
        self._call_queues = PeerCallQueues(peers, clock, self._on_call_ended)
        self._driver: MachineDriver[ClaimsInput] = MachineDriver(
            self._node.handle, clock, self._start_call, self._on_effect, write_log
        )

    @property
    def is_ready(self) -> bool:
        """Whether this node votes on claims, after it has read enough from the other voters."""
        return self._node.readiness.may_vote

    @property
    def view_version(self) -> int:
        """The newest version of the registered nodes that this node knows; 0 for none."""
        return self._node.readiness.view_version

    async def claim(
        self, request_id: RequestId, digest: str, route: RouteName, deadline_at: float
    ) -> ClaimDecision:
        """Claim a request and return the decision by `deadline_at`.

        While another attempt has the claim, this waits for that attempt's outcome.
        """
        full_digest = f"{route}:{digest}"

        def on_cancelled(token: str, decision: ClaimDecision | None) -> None:
            if isinstance(decision, ClaimGranted):
                self._driver.submit(ReleaseRequested(token, request_id))
            else:
                self._driver.submit(ClaimAbandoned(token))

        decision: ClaimDecision = await self._driver.request(
            lambda token: ClaimRequested(token, request_id, full_digest, deadline_at),
            on_cancelled,
        )
        return decision

    async def renew(self, request_id: RequestId, deadline_at: float) -> bool:
        """Renew a granted claim for a dispatch; returns whether a majority confirmed it."""
        is_confirmed: bool = await self._driver.request(
            lambda token: RenewalRequested(token, request_id, deadline_at),
            lambda token, _: self._driver.submit(ClaimAbandoned(token)),
        )
        return is_confirmed

    def may_dispatch(self, request_id: RequestId) -> bool:
        """Whether the request's grant permits a dispatch at this moment."""
        return self._node.may_dispatch(request_id, self._clock())

    async def record(
        self,
        request_id: RequestId,
        outcome: Outcome,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> bool:
        """Store the outcome for later resends; returns whether a majority confirmed it in time."""
        is_confirmed: bool = await self._driver.request(
            lambda token: OutcomeReached(
                token, request_id, outcome, status, dict(headers), bytes(body)
            )
        )
        return is_confirmed

    async def release(self, request_id: RequestId) -> bool:
        """Release the claim of a request that provably never ran, so that a resend may run.

        Returns whether a majority confirmed it.
        """
        is_confirmed: bool = await self._driver.request(
            lambda token: ReleaseRequested(token, request_id)
        )
        return is_confirmed

    def handle_message(self, sender: MemberId, message: Any) -> Any:
        """Return the reply to a peer's call."""
        if isinstance(message, BatchCall):
            return self._handle_batch(sender, message)
        return self._driver.receive(sender, message)

    def apply_registry(self, view_version: int, nodes: Mapping[MemberId, ZoneName]) -> None:
        """Update the registered nodes; called for each known version, the oldest first."""
        zone_by_node = {str(node): str(zone) for node, zone in nodes.items()}
        self._driver.submit(ViewsReceived([ViewList(view_version, zone_by_node)]))

    def apply_members(self, members: Members) -> None:
        """Update the members with live leases."""
        incarnations = {member: row.incarnation for member, row in members.rows.items()}
        self._driver.submit(LiveMembersChanged(incarnations))

    def tick(self, now: float) -> None:
        """Handle timeouts and pending resends; called about every 50 ms."""
        self._driver.tick(now)

    def _on_effect(self, effect: ClaimsEffect) -> None:
        match effect:
            case Decided(token, decision):
                self._driver.resolve(token, decision)
            case Confirmed(token, is_confirmed):
                self._driver.resolve(token, is_confirmed)
            case WakeAt(at):
                delay_s = max(0.0, at - self._clock())
                IOLoop.current().call_later(delay_s, self._wake)

    def _wake(self) -> None:
        self.tick(self._clock())

    def _start_call(self, call: Call) -> None:
        if call.to == self._member_id:
            reply = self.handle_message(self._member_id, call.message)
            self._driver.submit(CallReplied(call.token, reply))
            return
        self._call_queues.call(call)

    def _on_call_ended(self, token: str, reply: Any) -> None:
        if reply is None:
            self._driver.submit(CallFailed(token, "the peer did not reply"))
        else:
            self._driver.submit(CallReplied(token, reply))

    def _handle_batch(self, sender: MemberId, batch: BatchCall) -> BatchReply:
        messages = [unpack_message(named) for named in batch.calls]
        replies = [self.handle_message(sender, message) for message in messages]
        return BatchReply([pack_message(reply) for reply in replies])
