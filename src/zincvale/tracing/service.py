"""Tracing in one daemon: combines recorder, sender, collector and replicator.

It executes the effects of the state machines: messages to other members are passed to `send`, and
messages to this member are handled here.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from zincvale.model.control_tables import Members, Role
from zincvale.model.identifiers import MemberId, TraceId
from zincvale.model.machine import Log, Send
from zincvale.tracing.chunks import TraceChunk, decode_chunks
from zincvale.tracing.collector.collector import Collector
from zincvale.tracing.collector.effects import AcknowledgeChunks, ForwardChunk, RetainTrace
from zincvale.tracing.collector.inputs import (
    BatchReceived,
    DecisionDue,
    MembersChanged,
    VerdictsReceived,
)
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.messages import (
    BatchAck,
    ChunksAcknowledged,
    PromoteTraces,
    SpanBatch,
    TraceReplica,
    TraceReplicaAck,
    VerdictsMoved,
)
from zincvale.tracing.ownership import CollectorTable
from zincvale.tracing.recorder.recorder import SpanRecorder
from zincvale.tracing.retention.retained_store import RetainedTraceStore
from zincvale.tracing.retention.trace_replicator import (
    DrainStarted,
    ReplicaAcknowledged,
    ReplicaMembersChanged,
    ReplicaReceived,
    RetentionDue,
    TraceReplicator,
)
from zincvale.tracing.sender.links import NO_BATCH
from zincvale.tracing.sender.sender import (
    AcknowledgementReceived,
    BatchAckReceived,
    ChunksEnded,
    CollectorsChanged,
    FlushDue,
    SpanSender,
)

SLOW_TICK_S = 1.0
"""Interval at which decisions, retention and open-root markers are checked; the sender is flushed
on each tick."""


def _discard_log(number: int, **fields: Any) -> None:
    """Ignore a log event."""


@attrs.define(eq=False)
class TracingService:
    """Tracing in one daemon.

    Parameters
    ----------
    random : random source of the identifiers.
    clock, wall_clock : seconds on the monotonic clock, and since the epoch.
    send : sends a one-way message, which may be lost, to a member.
    log : writes a numbered log event with its fields.

    Call `tick` about four times a second, `apply_members` with each new member table, and
    `handle_message` with each `tracing.` message.
    """

    member_id: MemberId
    random: random.Random
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    send: Callable[[MemberId, Any], None]
    config: TracingConfig = attrs.field(factory=TracingConfig)
    log: Callable[..., None] = _discard_log
    recorder: SpanRecorder = attrs.field(init=False)
    sender: SpanSender = attrs.field(init=False)
    collector: Collector = attrs.field(init=False)
    replicator: TraceReplicator = attrs.field(init=False)
    collectors: CollectorTable = attrs.field(factory=CollectorTable)
    _incarnations: dict[MemberId, str] = attrs.field(factory=dict)
    _is_draining: bool = False
    _last_slow_tick: float = float("-inf")
    _acknowledged: dict[MemberId, list[int]] = attrs.field(factory=dict)
    """Sequences of decided chunks by origin, until they are sent with an ack or on a slow tick."""
    _outbox: list[TraceChunk] = attrs.field(factory=list)
    """Chunks that are passed to the sender on the next tick."""
    _local: deque[Any] = attrs.field(factory=deque)
    """Messages from this member to itself that are queued while another one is handled."""
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
        store = RetainedTraceStore(config.kept_bytes, config.kept_s)
        self.replicator = TraceReplicator(
            self.member_id, config, self.collectors, store, self.wall_clock()
        )

    @property
    def store(self) -> RetainedTraceStore:
        """The store of the traces that this member retains."""
        return self.replicator.store

    def apply_members(self, members: Members) -> None:
        """Apply a new member table; its nodes are the collectors."""
        incarnations = {member: row.incarnation for member, row in members.rows.items()}
        restarted = frozenset(
            member
            for member, incarnation in incarnations.items()
            if self._incarnations.get(member, incarnation) != incarnation
        )
        self._incarnations = incarnations
        nodes = {member for member, row in members.rows.items() if row.role is Role.NODE}
        if self._is_draining:
            nodes.discard(self.member_id)
        self._change_collectors(
            frozenset(nodes), frozenset(incarnations), restarted - {self.member_id}
        )

    def leave(self) -> None:
        """Start to transfer undecided and retained traces; call `tick` until `is_idle`."""
        self._is_draining = True
        others = self.collectors.members - {self.member_id}
        self._change_collectors(others, self.collectors.live_members, frozenset())
        now = self.clock()
        self._execute(self.replicator.handle(DrainStarted(), now), now)

    @property
    def is_idle(self) -> bool:
        """Whether nothing is left to be sent, decided or replicated."""
        is_empty = not self._outbox and not len(self.collector)
        return is_empty and self.sender.is_idle and self.replicator.is_idle

    def tick(self, now: float) -> None:
        """Run the timers that are due at `now`."""
        if now - self._last_slow_tick >= SLOW_TICK_S:
            self._last_slow_tick = now
            self.recorder.tick(now)
            self._execute(self.replicator.handle(RetentionDue(self.wall_clock()), now), now)
            self._send_acknowledgements()
            self._execute(self.collector.handle(DecisionDue(), now), now)
        if self._outbox:
            chunks = self._outbox.copy()
            self._outbox.clear()
            self._execute(self.sender.handle(ChunksEnded(chunks), now), now)
        self._execute(self.sender.handle(FlushDue(), now), now)
        self.recorder.limiter.pressure = self.sender.pressure()

    def handle_message(self, sender: MemberId, message: Any) -> Any | None:
        """Handle one message; return the reply to `sender`, or None."""
        now = self.clock()
        match message:
            case SpanBatch(batch, evidence, bodies, is_backup):
                chunks = decode_chunks(evidence, bodies)
                self._execute(self.collector.handle(BatchReceived(chunks, is_backup), now), now)
                if batch == NO_BATCH:
                    return None
                acknowledged = self._acknowledged.pop(sender, [])
                return BatchAck(batch, self.collector.credit_bytes(), acknowledged)
            case BatchAck(batch, credit_bytes, acknowledged):
                acked = BatchAckReceived(sender, batch, credit_bytes)
                self._execute(self.sender.handle(acked, now), now)
                self._execute(self.sender.handle(AcknowledgementReceived(acknowledged), now), now)
            case ChunksAcknowledged(sequences):
                self._execute(self.sender.handle(AcknowledgementReceived(sequences), now), now)
            case TraceReplica():
                self._execute(self.replicator.handle(ReplicaReceived(sender, message), now), now)
                self.collector.mark_retained_here(TraceId(message.trace_id))
                return TraceReplicaAck(message.replica_id)
            case TraceReplicaAck(replica_id):
                self._execute(
                    self.replicator.handle(ReplicaAcknowledged(sender, replica_id), now), now
                )
            case VerdictsMoved(trace_ids):
                received = VerdictsReceived(sender, [TraceId(text) for text in trace_ids])
                self._execute(self.collector.handle(received, now), now)
            case PromoteTraces(trace_ids):
                self.recorder.promote(trace_ids)
        return None

    def _send_acknowledgements(self) -> None:
        """Send the acknowledgements that were not sent along with a batch ack."""
        for origin, sequences in self._acknowledged.items():
            self._send(origin, ChunksAcknowledged(sequences))
        self._acknowledged = {}

    def _change_collectors(
        self,
        collectors: frozenset[MemberId],
        live_members: frozenset[MemberId],
        restarted: frozenset[MemberId],
    ) -> None:
        now = self.clock()
        former_collectors = self.collectors.members
        if (
            collectors == former_collectors
            and live_members == self.collectors.live_members
            and not restarted
        ):
            return
        departed = ((former_collectors - collectors) | restarted) - {self.member_id}
        self.collectors.apply(collectors, live_members)
        self.recorder.set_target_share(len(collectors))
        self._execute(self.collector.handle(MembersChanged(departed), now), now)
        self._execute(self.replicator.handle(ReplicaMembersChanged(departed), now), now)
        changed = CollectorsChanged(collectors, restarted)
        self._execute(self.sender.handle(changed, now), now)

    def _execute(self, effects: Any, now: float) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self._send(to, message)
                case AcknowledgeChunks(origin, sequences):
                    self._acknowledged.setdefault(origin, []).extend(sequences)
                case ForwardChunk(chunk):
                    self._outbox.append(chunk)
                case RetainTrace():
                    self._execute(self.replicator.handle(effect, now), now)
                case Log(number, fields):
                    self.log(number, **fields)

    def _send(self, to: MemberId, message: Any) -> None:
        if to != self.member_id:
            self.send(to, message)
            return
        # Queued instead of handled at once: a state machine must not be re-entered while it runs.
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
