"""Stores retained traces and replicates ERROR traces to a second member: a pure state machine.

The chunks of a retained trace are acknowledged to their origins once they are stored, and those of
an ERROR trace only once its replica is confirmed, so that the crash of one member does not lose it.
"""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.model.machine import Log, Send
from zincvale.tracing.chunks import TraceChunk, decode_chunks, encode_chunks
from zincvale.tracing.collector.effects import AcknowledgeChunks, RetainTrace
from zincvale.tracing.collector.policies import NO_POLICY, Verdict
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.log_events import RETAINED_EVICTED
from zincvale.tracing.messages import TraceReplica
from zincvale.tracing.ownership import CollectorTable
from zincvale.tracing.retention.retained_store import RetainedTraceStore
from zincvale.tracing.retention.retained_trace import RetainedTrace

REPLICA_ACK_TIMEOUT_S = 2.0
"""A replica that is not confirmed after this time is sent again."""
REPLICATION_BYTES_PER_TICK = 512 * 1024
"""Limit of the bytes sent per tick to replace replicas after a crash."""
DRAIN_BYTES_PER_TICK = 8 * 1024 * 1024
"""Limit of the bytes sent per tick while this member drains. It is higher because little time is
left to transfer the retained traces."""
NO_PROBABILITY = 0.0
"""Head probability of a trace before a chunk gives it."""


@attrs.frozen
class ReplicaReceived:
    """Input: `primary` sent a replica of chunks of a retained trace."""

    primary: MemberId
    message: TraceReplica


@attrs.frozen
class ReplicaAcknowledged:
    """Input: `member` stored the replica."""

    member: MemberId
    replica_id: int


@attrs.frozen
class ReplicaMembersChanged:
    """Input: the collector table changed; `departed` left, or restarted and lost their memory."""

    departed: frozenset[MemberId]


@attrs.frozen
class DrainStarted:
    """Input: this member drains; traces that only it has must be transferred."""


@attrs.frozen
class RetentionDue:
    """Input: the retention timer fired; `wall_now_s` is in seconds since the epoch."""

    wall_now_s: float


Input = (
    RetainTrace
    | ReplicaReceived
    | ReplicaAcknowledged
    | ReplicaMembersChanged
    | DrainStarted
    | RetentionDue
)
ReplicatorEffect = AcknowledgeChunks | Send | Log


@attrs.define(slots=True, eq=False)
class PendingReplica:
    """A replica that was sent and is not confirmed yet."""

    trace_id: TraceId
    to: MemberId
    sent_at: float
    chunks: list[TraceChunk]


@attrs.define(slots=True)
class ReplicatorStats:
    """Totals since the start, for metrics; `adopted` traces are those of lost primaries."""

    retained_by_policy: dict[str, int] = attrs.field(factory=dict)
    replicas: int = 0
    adopted: int = 0


@attrs.define(slots=True)
class TraceReplicator:
    """State machine that stores and replicates retained traces."""

    member_id: MemberId
    config: TracingConfig
    collectors: CollectorTable
    store: RetainedTraceStore
    wall_now_s: float = 0.0
    stats: ReplicatorStats = attrs.field(factory=ReplicatorStats)
    _pending: dict[int, PendingReplica] = attrs.field(factory=dict)
    _to_replicate: deque[TraceId] = attrs.field(factory=deque)
    _next_replica: int = 1
    _is_draining: bool = False
    _reported_evictions: int = 0

    def handle(self, event: Input, now: float) -> list[ReplicatorEffect]:
        """Apply one input and return the effects."""
        match event:
            case RetainTrace(chunks, verdict, is_error):
                return self._handle_retain(chunks, verdict, is_error, now)
            case ReplicaReceived(primary, message):
                return self._handle_replica(primary, message)
            case ReplicaAcknowledged(member, replica_id):
                return self._handle_ack(member, replica_id)
            case ReplicaMembersChanged(departed):
                return self._handle_members(departed, now)
            case DrainStarted():
                return self._handle_drain()
            case RetentionDue(wall_now_s):
                return self._handle_tick(wall_now_s, now)

    @property
    def is_idle(self) -> bool:
        """Whether no replica is unconfirmed or waiting to be sent."""
        return not (self._pending or self._to_replicate)

    def _handle_retain(
        self, chunks: list[TraceChunk], verdict: Verdict, is_error: bool, now: float
    ) -> list[ReplicatorEffect]:
        trace_id = chunks[0].trace_id
        trace = self.store.take_out(trace_id)
        if trace is None:
            if verdict.policy == NO_POLICY:
                return _acknowledgements(chunks)
            trace = self._new_trace(trace_id, verdict)
        for chunk in chunks:
            trace.add(chunk)
        if verdict.policy != NO_POLICY:
            trace.revise(verdict, is_error)
        self.store.put(trace)
        if not self._needs_replica(trace):
            return _acknowledgements(chunks)
        return self._replicate(trace, chunks, now)

    def _new_trace(self, trace_id: TraceId, verdict: Verdict) -> RetainedTrace:
        stats = self.stats.retained_by_policy
        stats[verdict.policy] = stats.get(verdict.policy, 0) + 1
        return RetainedTrace(
            trace_id, verdict.policy, 0.0, NO_PROBABILITY, self.wall_now_s, self.member_id
        )

    def _replicate(
        self, trace: RetainedTrace, chunks: list[TraceChunk], now: float
    ) -> list[ReplicatorEffect]:
        successor = self.collectors.successor(trace.trace_id, self.member_id)
        if successor is None:
            return _acknowledgements(chunks)
        replica_id = self._next_replica
        self._next_replica += 1
        self.stats.replicas += 1
        self._pending[replica_id] = PendingReplica(trace.trace_id, successor, now, chunks)
        evidence, bodies = encode_chunks(chunks)
        message = TraceReplica(
            replica_id,
            trace.trace_id,
            trace.policy,
            trace.weight,
            trace.retained_wall_s,
            evidence,
            bodies,
        )
        return [Send(successor, message)]

    def _handle_replica(self, primary: MemberId, message: TraceReplica) -> list[ReplicatorEffect]:
        trace_id = TraceId(message.trace_id)
        trace = self.store.take_out(trace_id)
        if trace is None:
            trace = RetainedTrace(
                trace_id,
                message.policy,
                message.weight,
                NO_PROBABILITY,
                message.retained_wall_s,
                primary,
            )
        for chunk in decode_chunks(message.evidence, message.bodies):
            trace.add(chunk)
        if not trace.is_error:
            trace.policy = message.policy
            trace.weight = message.weight
        self.store.put(trace)
        return []

    def _handle_ack(self, member: MemberId, replica_id: int) -> list[ReplicatorEffect]:
        pending = self._pending.pop(replica_id, None)
        if pending is None:
            return []
        trace = self.store.get(pending.trace_id)
        if trace is not None:
            trace.replica_member = member
        return _acknowledgements(pending.chunks)

    def _handle_members(self, departed: frozenset[MemberId], now: float) -> list[ReplicatorEffect]:
        """Take over traces of lost primaries, and schedule replacements for lost replicas."""
        for trace in self.store.rows():
            if trace.primary in departed:
                trace.primary = self.member_id
                self.stats.adopted += 1
                self._to_replicate.append(trace.trace_id)
            elif trace.replica_member in departed and trace.replica_member:
                trace.replica_member = MemberId("")
                self._to_replicate.append(trace.trace_id)
        effects: list[ReplicatorEffect] = []
        for replica_id, pending in list(self._pending.items()):
            if pending.to in departed:
                effects += self._replicate_again(replica_id, now)
        return effects

    def _handle_tick(self, wall_now_s: float, now: float) -> list[ReplicatorEffect]:
        self.wall_now_s = wall_now_s
        self.store.expire(wall_now_s)
        effects: list[ReplicatorEffect] = []
        for replica_id, pending in list(self._pending.items()):
            if now - pending.sent_at >= REPLICA_ACK_TIMEOUT_S:
                effects += self._replicate_again(replica_id, now)
        effects += self._replicate_due(now)
        return effects + self._report_evictions()

    def _handle_drain(self) -> list[ReplicatorEffect]:
        self._is_draining = True
        own_traces = [trace for trace in self.store.rows() if trace.primary == self.member_id]
        own_traces.sort(key=lambda trace: (not trace.is_error, -trace.retained_wall_s))
        self._to_replicate.clear()
        self._to_replicate.extend(
            trace.trace_id for trace in own_traces if not trace.replica_member
        )
        return []

    def _replicate_due(self, now: float) -> list[ReplicatorEffect]:
        """Send the scheduled replicas, up to the limit of bytes per tick."""
        effects: list[ReplicatorEffect] = []
        remaining_bytes = DRAIN_BYTES_PER_TICK if self._is_draining else REPLICATION_BYTES_PER_TICK
        while self._to_replicate and remaining_bytes > 0:
            trace = self.store.get(self._to_replicate.popleft())
            if trace is None or not self._needs_replica(trace):
                continue
            remaining_bytes -= trace.body_bytes
            effects += self._replicate(trace, list(trace.chunks), now)
        return effects

    def _needs_replica(self, trace: RetainedTrace) -> bool:
        return self._is_draining or (trace.is_error and self.config.copy_errors)

    def _replicate_again(self, replica_id: int, now: float) -> list[ReplicatorEffect]:
        pending = self._pending.pop(replica_id)
        trace = self.store.get(pending.trace_id)
        if trace is None:
            return _acknowledgements(pending.chunks)
        # The successor may have changed and have no part of the trace, so send all of it.
        unstored = [chunk for chunk in pending.chunks if chunk not in trace.chunks]
        return self._replicate(trace, trace.chunks + unstored, now)

    def _report_evictions(self) -> list[ReplicatorEffect]:
        total = self.store.evicted.total()
        if total == self._reported_evictions:
            return []
        self._reported_evictions = total
        fields = {
            "evicted": dict(self.store.evicted),
            "complete_since": dict(self.store.complete_since),
        }
        return [Log(RETAINED_EVICTED, fields)]


def _acknowledgements(chunks: list[TraceChunk]) -> list[ReplicatorEffect]:
    sequences_by_origin: dict[MemberId, list[int]] = {}
    for chunk in chunks:
        sequences_by_origin.setdefault(chunk.origin, []).append(chunk.sequence)
    return [
        AcknowledgeChunks(origin, sequences) for origin, sequences in sequences_by_origin.items()
    ]
