"""The tracing plane of one daemon: recorder, sender, collector and kept traces behind one object.

It carries out the effects of the machines: messages go through `send`, or stay here when they are
for this member.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.model.machine import Log, Send
from zincvale.model.view import Members, Role
from zincvale.tracing.chunks import TraceChunk, decode_chunks
from zincvale.tracing.collector.collector import Collector
from zincvale.tracing.collector.effects import Keep, PassOn, Settle
from zincvale.tracing.collector.inputs import (
    BatchReceived,
    DecisionDue,
    MembersChanged,
    VerdictsReceived,
)
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.messages import (
    BatchAck,
    ChunksSettled,
    KeptCopy,
    KeptCopyAck,
    PromoteTraces,
    SpanBatch,
    VerdictsMoved,
)
from zincvale.tracing.ownership import CollectorTable
from zincvale.tracing.recorder.recorder import SpanRecorder
from zincvale.tracing.retention.retained_store import KeptTraceStore
from zincvale.tracing.retention.trace_replicator import (
    CopyAcked,
    CopyReceived,
    HoldersChanged,
    KeeperLeaves,
    RetentionDue,
    TraceKeeper,
)
from zincvale.tracing.sender.sender import (
    NO_BATCH,
    BatchAcked,
    ChunksDecided,
    ChunksEnded,
    CollectorsChanged,
    FlushDue,
    SpanSender,
)

SLOW_TICK_S = 1.0
"""Decisions, retention and open-root markers are looked at this often; flushes on each tick."""


def _no_log(number: int, **fields: Any) -> None:
    """Drop a log event."""


@attrs.define(eq=False)
class TracingService:
    """The tracing plane of one daemon.

    Parameters
    ----------
    random : seeded source of identifiers.
    clock, wall_clock : seconds on the monotonic clock, and since the epoch.
    send : sends a one-way message to a member; it may be lost.
    log : writes a numbered event with its fields.

    Call `tick` about four times a second, `apply_members` with each new member table, and
    `handle_message` with each `tracing.` message.
    """

    member_id: MemberId
    random: random.Random
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    send: Callable[[MemberId, Any], None]
    config: TracingConfig = attrs.field(factory=TracingConfig)
    log: Callable[..., None] = _no_log
    recorder: SpanRecorder = attrs.field(init=False)
    sender: SpanSender = attrs.field(init=False)
    collector: Collector = attrs.field(init=False)
    keeper: TraceKeeper = attrs.field(init=False)
    collectors: CollectorTable = attrs.field(factory=CollectorTable)
    _incarnations: dict[MemberId, str] = attrs.field(factory=dict)
    _is_leaving: bool = False
    _last_slow_tick: float = float("-inf")
    _settled: dict[MemberId, list[int]] = attrs.field(factory=dict)
    """Sequences of decided chunks by origin, until an ack or the next slow tick takes them."""
    _outbox: list[TraceChunk] = attrs.field(factory=list)
    """Chunks that wait for the next tick to reach the sender."""
    _local: deque[Any] = attrs.field(factory=deque)
    """Messages from this member to itself that wait for the running one to be handled."""
    _is_delivering: bool = False

    def __attrs_post_init__(self) -> None:
        config = self.config
        self.recorder = SpanRecorder(
            self.member_id,
            self.random,
            self.clock,
            self.wall_clock,
            config,
            self._outbox.append,
            self._send,
        )
        self.sender = SpanSender(self.member_id, config, self.collectors)
        self.collector = Collector(self.member_id, config, self.collectors)
        store = KeptTraceStore(config.kept_bytes, config.kept_s)
        self.keeper = TraceKeeper(self.member_id, config, self.collectors, store, self.wall_clock())

    @property
    def store(self) -> KeptTraceStore:
        """The kept traces of this member."""
        return self.keeper.store

    def apply_members(self, members: Members) -> None:
        """Take a new member table: the nodes in it collect."""
        incarnations = {member: row.incarnation for member, row in members.rows.items()}
        restarted = frozenset(
            member
            for member, incarnation in incarnations.items()
            if self._incarnations.get(member, incarnation) != incarnation
        )
        self._incarnations = incarnations
        nodes = {member for member, row in members.rows.items() if row.role is Role.NODE}
        if self._is_leaving:
            nodes.discard(self.member_id)
        self._change_collectors(
            frozenset(nodes), frozenset(incarnations), restarted - {self.member_id}
        )

    def leave(self) -> None:
        """Hand over what is undecided or kept here; go on ticking until `is_idle`."""
        self._is_leaving = True
        others = self.collectors.members - {self.member_id}
        self._change_collectors(others, self.collectors.everyone, frozenset())
        now = self.clock()
        self._run(self.keeper.handle(KeeperLeaves(), now), now)

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits to be sent, decided or copied."""
        is_empty = not self._outbox and not len(self.collector)
        return is_empty and self.sender.is_idle and self.keeper.is_idle

    def tick(self, now: float) -> None:
        """Run the timers."""
        if now - self._last_slow_tick >= SLOW_TICK_S:
            self._last_slow_tick = now
            self.recorder.tick(now)
            self._run(self.keeper.handle(RetentionDue(self.wall_clock()), now), now)
            self._report_settled()
            self._run(self.collector.handle(DecisionDue(), now), now)
        if self._outbox:
            chunks = self._outbox.copy()
            self._outbox.clear()
            self._run(self.sender.handle(ChunksEnded(chunks), now), now)
        self._run(self.sender.handle(FlushDue(), now), now)
        self.recorder.limiter.pressure = self.sender.pressure()

    def handle_message(self, sender: MemberId, message: Any) -> Any | None:
        """Apply one message; the reply, if any, is for `sender`."""
        now = self.clock()
        match message:
            case SpanBatch(batch, evidence, bodies, is_backup):
                chunks = decode_chunks(evidence, bodies)
                self._run(self.collector.handle(BatchReceived(chunks, is_backup), now), now)
                if batch == NO_BATCH:
                    return None
                settled = self._settled.pop(sender, [])
                return BatchAck(batch, self.collector.credit_bytes(), settled)
            case BatchAck(batch, credit_bytes, settled):
                acked = BatchAcked(sender, batch, credit_bytes)
                self._run(self.sender.handle(acked, now), now)
                self._run(self.sender.handle(ChunksDecided(settled), now), now)
            case ChunksSettled(sequences):
                self._run(self.sender.handle(ChunksDecided(sequences), now), now)
            case KeptCopy():
                self._run(self.keeper.handle(CopyReceived(sender, message), now), now)
                self.collector.remember_kept(TraceId(message.trace_id))
                return KeptCopyAck(message.copy_id)
            case KeptCopyAck(copy_id):
                self._run(self.keeper.handle(CopyAcked(sender, copy_id), now), now)
            case VerdictsMoved(trace_ids):
                received = VerdictsReceived(sender, [TraceId(text) for text in trace_ids])
                self._run(self.collector.handle(received, now), now)
            case PromoteTraces(trace_ids):
                self.recorder.promote(trace_ids)
        return None

    def http_routes(self) -> list[Any]:
        """Return the tornado routes of the trace API, for the node's api address."""
        # Imported late: only a daemon that serves HTTP needs tornado.
        from zincvale.tracing.api.http import http_routes

        return list(http_routes(self))

    def _report_settled(self) -> None:
        """Send what found no ack to ride on since the last time, or is for this member."""
        for origin, sequences in self._settled.items():
            self._send(origin, ChunksSettled(sequences))
        self._settled = {}

    def _change_collectors(
        self,
        collectors: frozenset[MemberId],
        everyone: frozenset[MemberId],
        restarted: frozenset[MemberId],
    ) -> None:
        now = self.clock()
        before = self.collectors.members
        if collectors == before and everyone == self.collectors.everyone and not restarted:
            return
        gone = ((before - collectors) | restarted) - {self.member_id}
        self.collectors.apply(collectors, everyone)
        self.recorder.share_target(len(collectors))
        self._run(self.collector.handle(MembersChanged(gone), now), now)
        self._run(self.keeper.handle(HoldersChanged(gone), now), now)
        changed = CollectorsChanged(collectors, restarted)
        self._run(self.sender.handle(changed, now), now)

    def _run(self, effects: Any, now: float) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._send(to, message)
                case Settle(origin, sequences):
                    self._settled.setdefault(origin, []).extend(sequences)
                case PassOn(chunk):
                    self._outbox.append(chunk)
                case Keep():
                    self._run(self.keeper.handle(effect, now), now)
                case Log(number, fields):
                    self.log(number, **fields)

    def _send(self, to: MemberId, message: Any) -> None:
        if to != self.member_id:
            self.send(to, message)
            return
        # Queued, not handled in place: a machine must not be entered again while it runs.
        self._local.append(message)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            self._deliver_local()
        finally:
            self._is_delivering = False

    def _deliver_local(self) -> None:
        while self._local:
            reply = self.handle_message(self.member_id, self._local.popleft())
            if reply is not None:
                self._local.append(reply)
