"""The claim service: runs the claims state machine over peer calls and timers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from tornado.concurrent import Future
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
from zincvale.dataplane.claims.peer_call_queues import PeerCallQueues, pack_message, unpack_message
from zincvale.dataplane.claims.timings import ClaimTimings
from zincvale.dataplane.inference.dependencies import ClaimDecision, ClaimGranted
from zincvale.model.identifiers import MemberId, RequestId, RouteName, ZoneName
from zincvale.model.machine import Call, CallFailed, CallReceived, CallReplied, Log, Reply, Tick
from zincvale.model.outcomes import Outcome
from zincvale.model.view import Members
from zincvale.transport.peer import PeerCaller

WriteLog = Callable[[int, dict[str, Any]], None]


def ignore_log(number: int, fields: dict[str, Any]) -> None:
    """Write no log."""


class ClaimService:
    """Implements `inference.dependencies.Claims`.

    Parameters
    ----------
    random : jitter of retries.
    clock : seconds on the monotonic clock that counts suspension.
    peers : calls to other nodes; calls to this one are answered within.
    write_log : receives (number, fields) of log events.
    """

    def __init__(
        self,
        member_id: MemberId,
        incarnation: str,
        zone: ZoneName,
        random: Random,
        clock: Callable[[], float],
        peers: PeerCaller,
        timings: ClaimTimings | None = None,
        write_log: WriteLog = ignore_log,
    ) -> None:
        self._member_id = member_id
        self._zone = zone
        self._clock = clock
        self._write_log = write_log
        self._node = ClaimsNode(
            member_id, incarnation, random, timings or ClaimTimings(), started_at=clock()
        )
        self._tokens = itertools.count(1)
        self._waiting: dict[str, Future[Any]] = {}
        self._replies: dict[str, Any] = {}
        self._call_queues = PeerCallQueues(peers, clock, self._call_ended)

    @property
    def is_ready(self) -> bool:
        """Whether this node votes: it restarted long enough ago and read what it must know."""
        return self._node.readiness.may_vote

    @property
    def view_version(self) -> int:
        """The newest version of the registered nodes."""
        return self._node.readiness.view_version

    async def claim(
        self, request_id: RequestId, digest: str, route: RouteName, deadline_at: float
    ) -> ClaimDecision:
        """Decide by `deadline_at`; waits for the outcome when another attempt holds the claim."""
        token, future = self._open()
        full_digest = f"{route}:{digest}"
        try:
            self._submit(ClaimRequested(token, request_id, full_digest, deadline_at))
            return await future
        except asyncio.CancelledError:
            self._withdraw(token, request_id, future)
            raise
        finally:
            self._waiting.pop(token, None)

    async def renew(self, request_id: RequestId, deadline_at: float) -> bool:
        """Request a majority's votes again for a granted claim, so that it may be dispatched."""
        token, future = self._open()
        try:
            self._submit(RenewalRequested(token, request_id, deadline_at))
            return await future
        except asyncio.CancelledError:
            self._submit(ClaimAbandoned(token))
            raise
        finally:
            self._waiting.pop(token, None)

    def may_dispatch(self, request_id: RequestId) -> bool:
        """Whether the grant is fresh enough for a send at this very moment."""
        return self._node.may_dispatch(request_id, self._clock())

    async def record(
        self,
        request_id: RequestId,
        outcome: Outcome,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
    ) -> bool:
        """Keep the outcome for later resends; False when no majority confirmed it in time."""
        token, future = self._open()
        try:
            self._submit(
                OutcomeReached(token, request_id, outcome, status, dict(headers), bytes(body))
            )
            return await future
        finally:
            self._waiting.pop(token, None)

    async def release(self, request_id: RequestId) -> bool:
        """Give the claim back: the request provably never ran, so that a resend may run."""
        token, future = self._open()
        try:
            self._submit(ReleaseRequested(token, request_id))
            return await future
        finally:
            self._waiting.pop(token, None)

    def handle_message(self, sender: MemberId, message: Any) -> Any:
        """Return the reply to a peer's call."""
        if isinstance(message, BatchCall):
            return self._handle_batch(sender, message)
        token = f"peer-{next(self._tokens)}"
        self._submit(CallReceived(sender, token, message))
        return self._replies.pop(token, None)

    def apply_registry(self, view_version: int, nodes: Mapping[MemberId, ZoneName]) -> None:
        """Learn one version of the registered nodes; call for each known version, in order."""
        plain = {str(node): str(zone) for node, zone in nodes.items()}
        self._submit(ViewsReceived([ViewList(view_version, plain)]))

    def apply_members(self, members: Members) -> None:
        """Learn the members with live leases."""
        incarnations = {member: row.incarnation for member, row in members.rows.items()}
        self._submit(LiveMembersChanged(incarnations))

    def tick(self, now: float) -> None:
        """Act on the time passed; call every 50 ms or so."""
        self._carry_out(self._node.handle(Tick(), now))

    def _open(self) -> tuple[str, Future[Any]]:
        token = f"local-{next(self._tokens)}"
        future: Future[Any] = Future()
        self._waiting[token] = future
        return token, future

    def _withdraw(self, token: str, request_id: RequestId, future: Future[Any]) -> None:
        """Give back what a cancelled claim got or would get."""
        was_granted = (
            future.done() and not future.cancelled() and isinstance(future.result(), ClaimGranted)
        )
        if was_granted:
            self._submit(ReleaseRequested(token, request_id))
        else:
            self._submit(ClaimAbandoned(token))

    def _submit(self, event: ClaimsInput) -> None:
        self._carry_out(self._node.handle(event, self._clock()))

    def _carry_out(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case Call():
                    self._start_call(effect)
                case Reply(token, message):
                    self._replies[token] = message
                case Decided(token, decision):
                    self._resolve(token, decision)
                case Confirmed(token, is_confirmed):
                    self._resolve(token, is_confirmed)
                case WakeAt(at):
                    delay_s = max(0.0, at - self._clock())
                    IOLoop.current().call_later(delay_s, self._wake)
                case Log(number, fields):
                    self._write_log(number, fields)

    def _wake(self) -> None:
        self.tick(self._clock())

    def _resolve(self, token: str, result: Any) -> None:
        future = self._waiting.get(token)
        if future is not None and not future.done():
            future.set_result(result)

    def _start_call(self, call: Call) -> None:
        if call.to == self._member_id:
            reply = self.handle_message(self._member_id, call.message)
            self._submit(CallReplied(call.token, reply))
            return
        self._call_queues.call(call)

    def _call_ended(self, token: str, reply: Any) -> None:
        if reply is None:
            self._submit(CallFailed(token, "no answer"))
        else:
            self._submit(CallReplied(token, reply))

    def _handle_batch(self, sender: MemberId, batch: BatchCall) -> BatchReply:
        messages = [unpack_message(named) for named in batch.calls]
        replies = [self.handle_message(sender, message) for message in messages]
        return BatchReply([pack_message(reply) for reply in replies])
