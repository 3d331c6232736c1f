"""The stream journal service: connects the journal's state machine to peer calls and timers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from zincvale.dataplane.inference.dependencies import (
    FIRST_STREAM_EPOCH,
    JournalAppend,
    JournalState,
)
from zincvale.dataplane.machine_driver import MachineDriver, WriteLog, ignore_log
from zincvale.dataplane.stream_journal.events import (
    AppendCompleted,
    AppendRequested,
    BatchDue,
    EndRequested,
    FlushAt,
    NodesChanged,
    Resumed,
    ResumeRequested,
    StreamForgotten,
)
from zincvale.dataplane.stream_journal.node_machine import (
    JournalEffect,
    JournalInput,
    StreamJournalNode,
)
from zincvale.dataplane.stream_journal.timings import JournalTimings
from zincvale.model.control_tables import Members, Role
from zincvale.model.identifiers import MemberId, RequestId, ZoneName
from zincvale.model.machine import Call, CallFailed, CallReplied
from zincvale.transport.peer import PeerCaller


class StreamJournalService:
    """Implements `inference.dependencies.StreamJournal`.

    Parameters
    ----------
    clock : returns seconds of a monotonic clock that also runs while the machine is suspended.
    peers : makes calls to other nodes.
    write_log : called with the number and the fields of each log event.
    """

    def __init__(
        self,
        member_id: MemberId,
        incarnation: str,
        zone: ZoneName,
        clock: Callable[[], float],
        peers: PeerCaller,
        timings: JournalTimings | None = None,
        write_log: WriteLog = ignore_log,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._calls: set[asyncio.Future[None]] = set()
        node = StreamJournalNode(member_id, incarnation, zone, timings or JournalTimings())
        self._driver: MachineDriver[JournalInput] = MachineDriver(
            node.handle, clock, self._start_call, self._on_effect, write_log
        )

    async def append(
        self,
        request_id: RequestId,
        digest: str,
        first_index: int,
        chunks: list[str],
        epoch: int = FIRST_STREAM_EPOCH,
    ) -> JournalAppend:
        """Replicate `chunks`, the first of which has event number `first_index`, to a peer.

        `epoch` is that of the `JournalState` with which the stream was resumed, or
        `NEWEST_STREAM_EPOCH` for the epoch that this node has.
        """
        result: JournalAppend = await self._driver.request(
            lambda token: AppendRequested(
                token, request_id, digest, first_index, list(chunks), epoch
            )
        )
        return result

    async def close(
        self, request_id: RequestId, count: int, epoch: int = FIRST_STREAM_EPOCH
    ) -> None:
        """Record that the stream is complete with `count` chunks."""
        await self._driver.request(lambda token: EndRequested(token, request_id, count, epoch))

    def forget(self, request_id: RequestId) -> None:
        """Allow a stream to expire because its caller disconnected.

        Until it expires, the caller may resume it at any node.
        """
        self._driver.submit(StreamForgotten(request_id))

    async def resume(self, request_id: RequestId, after: int) -> JournalState | None:
        """Take over the stream and return its newest copy; None if none has `after` chunks."""
        state: JournalState | None = await self._driver.request(
            lambda token: ResumeRequested(token, request_id, after)
        )
        return state

    def handle_message(self, sender: MemberId, message: Any) -> Any:
        """Return the reply to a peer's call."""
        return self._driver.receive(sender, message)

    def apply_members(self, members: Members) -> None:
        """Update the nodes with live leases."""
        nodes = {member: row for member, row in members.rows.items() if row.role is Role.NODE}
        zones = {member: row.zone for member, row in nodes.items()}
        incarnations = {member: row.incarnation for member, row in nodes.items()}
        self._driver.submit(NodesChanged(zones, incarnations))

    def tick(self, now: float) -> None:
        """Handle timeouts and due batches; called about every 50 ms."""
        self._driver.tick(now)

    def _on_effect(self, effect: JournalEffect) -> None:
        match effect:
            case AppendCompleted(token, result):
                self._driver.resolve(token, result)
            case Resumed(token, state):
                self._driver.resolve(token, state)
            case FlushAt(at):
                delay_s = max(0.0, at - self._clock())
                IOLoop.current().call_later(delay_s, self._driver.submit, BatchDue())

    def _start_call(self, call: Call) -> None:
        task = asyncio.ensure_future(self._call(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, call: Call) -> None:
        try:
            reply = await self._peers.call(call.to, call.message, call.timeout_s)
        except Exception as error:  # any unhandled error would leave the state machine waiting
            self._driver.submit(CallFailed(call.token, str(error)))
            return
        self._driver.submit(CallReplied(call.token, reply))
