"""The stream journal service: runs the journal's state machine over peer calls and timers."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from tornado.concurrent import Future
from tornado.ioloop import IOLoop

from zincvale.dataplane.inference.dependencies import (
    FIRST_STREAM_EPOCH,
    JournalAppend,
    JournalState,
)
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
from zincvale.dataplane.stream_journal.node_machine import JournalInput, StreamJournalNode
from zincvale.dataplane.stream_journal.timings import JournalTimings
from zincvale.model.identifiers import MemberId, RequestId, ZoneName
from zincvale.model.machine import Call, CallFailed, CallReceived, CallReplied, Log, Reply, Tick
from zincvale.model.view import Members, Role
from zincvale.transport.peer import PeerCaller

WriteLog = Callable[[int, dict[str, Any]], None]


def ignore_log(number: int, fields: dict[str, Any]) -> None:
    """Write no log."""


class StreamJournalService:
    """Implements `inference.dependencies.StreamJournal`.

    Parameters
    ----------
    clock : seconds on the monotonic clock that counts suspension.
    peers : calls to other nodes.
    write_log : receives (number, fields) of log events.
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
        self._write_log = write_log
        self._node = StreamJournalNode(member_id, incarnation, zone, timings or JournalTimings())
        self._tokens = itertools.count(1)
        self._waiting: dict[str, Future[Any]] = {}
        self._replies: dict[str, Any] = {}
        self._calls: set[asyncio.Future] = set()

    async def append(
        self,
        request_id: RequestId,
        digest: str,
        first_index: int,
        chunks: list[str],
        epoch: int = FIRST_STREAM_EPOCH,
    ) -> JournalAppend:
        """Store `chunks`, whose first has event number `first_index`, at a peer.

        `epoch` is that of the `JournalState` with which the stream was resumed, or
        `NEWEST_STREAM_EPOCH` for whichever this node has.
        """
        token = self._next_token()
        event = AppendRequested(token, request_id, digest, first_index, list(chunks), epoch)
        return await self._request(token, event)

    async def close(
        self, request_id: RequestId, count: int, epoch: int = FIRST_STREAM_EPOCH
    ) -> None:
        """Record that the stream ended complete after `count` chunks."""
        token = self._next_token()
        await self._request(token, EndRequested(token, request_id, count, epoch))

    def forget(self, request_id: RequestId) -> None:
        """Let a stream expire whose caller has left, though it may come back at any node."""
        self._submit(StreamForgotten(request_id))

    async def resume(self, request_id: RequestId, after: int) -> JournalState | None:
        """Take the stream over and return its newest copy, if it has `after` chunks."""
        token = self._next_token()
        return await self._request(token, ResumeRequested(token, request_id, after))

    def handle_message(self, sender: MemberId, message: Any) -> Any:
        """Return the reply to a peer's call."""
        token = self._next_token()
        self._submit(CallReceived(sender, token, message))
        return self._replies.pop(token, None)

    def apply_members(self, members: Members) -> None:
        """Learn the nodes with live leases."""
        nodes = {member: row for member, row in members.rows.items() if row.role is Role.NODE}
        zones = {member: row.zone for member, row in nodes.items()}
        incarnations = {member: row.incarnation for member, row in nodes.items()}
        self._submit(NodesChanged(zones, incarnations))

    def tick(self, now: float) -> None:
        """Act on the time passed; call every 50 ms or so."""
        self._carry_out(self._node.handle(Tick(), now))

    def _next_token(self) -> str:
        return f"local-{next(self._tokens)}"

    async def _request(self, token: str, event: JournalInput) -> Any:
        future: Future[Any] = Future()
        self._waiting[token] = future
        try:
            self._submit(event)
            return await future
        finally:
            del self._waiting[token]

    def _submit(self, event: JournalInput) -> None:
        self._carry_out(self._node.handle(event, self._clock()))

    def _carry_out(self, effects: list) -> None:
        for effect in effects:
            match effect:
                case AppendCompleted(token, result) | Resumed(token, result):
                    self._resolve(token, result)
                case Call():
                    self._start_call(effect)
                case Reply(token, message):
                    self._replies[token] = message
                case FlushAt(at):
                    delay_s = max(0.0, at - self._clock())
                    IOLoop.current().call_later(delay_s, self._submit, BatchDue())
                case Log(number, fields):
                    self._write_log(number, fields)

    def _resolve(self, token: str, result: Any) -> None:
        future = self._waiting.get(token)
        if future is not None and not future.done():
            future.set_result(result)

    def _start_call(self, call: Call) -> None:
        task = asyncio.ensure_future(self._call(call))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, call: Call) -> None:
        try:
            reply = await self._peers.call(call.to, call.message, call.timeout_s)
        except Exception as error:  # whatever the reason, the machine must not wait for ever
            self._submit(CallFailed(call.token, str(error)))
            return
        self._submit(CallReplied(call.token, reply))
