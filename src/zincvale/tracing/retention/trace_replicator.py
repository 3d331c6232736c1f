"""Stores kept traces and copies the ERROR ones to a second member, as a pure state machine.

A kept trace is settled at its origins once it is stored; an ERROR trace only once its copy is
confirmed, so that no crash of one member loses it.
"""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.model.machine import Log, Send
from zincvale.tracing.chunks import TraceChunk, decode_chunks, encode_chunks
from zincvale.tracing.collector.effects import Keep, Settle
from zincvale.tracing.collector.policies import NO_POLICY, Verdict
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.log_events import KEPT_EVICTED
from zincvale.tracing.messages import KeptCopy
from zincvale.tracing.ownership import CollectorTable
from zincvale.tracing.retention.retained_store import KeptTraceStore
from zincvale.tracing.retention.retained_trace import KeptTrace

COPY_TIMEOUT_S = 2.0
COPY_BYTES_PER_TICK = 512 * 1024
"""Copies made again after a crash leave at this pace."""
LEAVING_BYTES_PER_TICK = 8 * 1024 * 1024
"""A leaving member has little time to hand its kept traces over."""
NO_PROBABILITY = 0.0


@attrs.frozen
class CopyReceived:
    """Input: `holder` sent a copy of chunks of a kept trace."""

    holder: MemberId
    message: KeptCopy


@attrs.frozen
class CopyAcked:
    """Input: the copy is held by `member`."""

    member: MemberId
    copy_id: int


@attrs.frozen
class HoldersChanged:
    """Input: the collector table was changed; `gone` left or lost their memory."""

    gone: frozenset[MemberId]


@attrs.frozen
class KeeperLeaves:
    """Input: this member stops in order; what only it holds has to go elsewhere."""


@attrs.frozen
class RetentionDue:
    """Input: the retention timer fired; `wall_now_s` is in seconds since the epoch."""

    wall_now_s: float


Input = Keep | CopyReceived | CopyAcked | HoldersChanged | KeeperLeaves | RetentionDue
KeeperEffect = Settle | Send | Log


@attrs.define(slots=True, eq=False)
class PendingCopy:
    """A copy on its way."""

    trace_id: TraceId
    to: MemberId
    sent_at: float
    chunks: list[TraceChunk]


@attrs.define(slots=True)
class KeeperCounts:
    """Totals since the start, for metrics."""

    kept_by_policy: dict[str, int] = attrs.field(factory=dict)
    copies: int = 0
    adopted: int = 0


@attrs.define(slots=True)
class TraceKeeper:
    """State machine over the kept-trace store."""

    member_id: MemberId
    config: TracingConfig
    collectors: CollectorTable
    store: KeptTraceStore
    wall_now_s: float = 0.0
    counts: KeeperCounts = attrs.field(factory=KeeperCounts)
    _pending: dict[int, PendingCopy] = attrs.field(factory=dict)
    _to_copy: deque[TraceId] = attrs.field(factory=deque)
    _next_copy: int = 1
    _is_leaving: bool = False
    _reported_evictions: int = 0

    def handle(self, event: Input, now: float) -> list[KeeperEffect]:
        """Apply one input and return what to do."""
        match event:
            case Keep(chunks, verdict, is_error):
                return self._handle_keep(chunks, verdict, is_error, now)
            case CopyReceived(holder, message):
                return self._handle_copy(holder, message)
            case CopyAcked(member, copy_id):
                return self._handle_ack(member, copy_id)
            case HoldersChanged(gone):
                return self._handle_members(gone, now)
            case KeeperLeaves():
                return self._handle_leaving()
            case RetentionDue(wall_now_s):
                return self._handle_tick(wall_now_s, now)

    @property
    def is_idle(self) -> bool:
        """Whether no copy is on its way or due."""
        return not (self._pending or self._to_copy)

    def _handle_keep(
        self, chunks: list[TraceChunk], verdict: Verdict, is_error: bool, now: float
    ) -> list[KeeperEffect]:
        trace_id = chunks[0].trace_id
        trace = self.store.take_out(trace_id)
        if trace is None:
            if verdict.policy == NO_POLICY:
                return _settles(chunks)
            trace = self._new_trace(trace_id, verdict)
        for chunk in chunks:
            trace.add(chunk)
        if verdict.policy != NO_POLICY:
            trace.revise(verdict, is_error)
        self.store.put(trace)
        if not self._wants_copy(trace):
            return _settles(chunks)
        return self._copy(trace, chunks, now)

    def _new_trace(self, trace_id: TraceId, verdict: Verdict) -> KeptTrace:
        counts = self.counts.kept_by_policy
        counts[verdict.policy] = counts.get(verdict.policy, 0) + 1
        return KeptTrace(
            trace_id, verdict.policy, 0.0, NO_PROBABILITY, self.wall_now_s, self.member_id
        )

    def _copy(self, trace: KeptTrace, chunks: list[TraceChunk], now: float) -> list[KeeperEffect]:
        stand_in = self.collectors.stand_in(trace.trace_id, self.member_id)
        if stand_in is None:
            return _settles(chunks)
        copy_id = self._next_copy
        self._next_copy += 1
        self.counts.copies += 1
        self._pending[copy_id] = PendingCopy(trace.trace_id, stand_in, now, chunks)
        evidence, bodies = encode_chunks(chunks)
        message = KeptCopy(
            copy_id,
            trace.trace_id,
            trace.policy,
            trace.weight,
            trace.kept_wall_s,
            evidence,
            bodies,
        )
        return [Send(stand_in, message)]

    def _handle_copy(self, holder: MemberId, message: KeptCopy) -> list[KeeperEffect]:
        trace_id = TraceId(message.trace_id)
        trace = self.store.take_out(trace_id)
        if trace is None:
            trace = KeptTrace(
                trace_id,
                message.policy,
                message.weight,
                NO_PROBABILITY,
                message.kept_wall_s,
                holder,
            )
        for chunk in decode_chunks(message.evidence, message.bodies):
            trace.add(chunk)
        if not trace.is_error:
            trace.policy = message.policy
            trace.weight = message.weight
        self.store.put(trace)
        return []

    def _handle_ack(self, member: MemberId, copy_id: int) -> list[KeeperEffect]:
        pending = self._pending.pop(copy_id, None)
        if pending is None:
            return []
        trace = self.store.get(pending.trace_id)
        if trace is not None:
            trace.copied_to = member
        return _settles(pending.chunks)

    def _handle_members(self, gone: frozenset[MemberId], now: float) -> list[KeeperEffect]:
        """Stand in for lost holders, and copy again what lost its copy."""
        for trace in self.store.rows():
            if trace.holder in gone:
                trace.holder = self.member_id
                self.counts.adopted += 1
                self._to_copy.append(trace.trace_id)
            elif trace.copied_to in gone and trace.copied_to:
                trace.copied_to = MemberId("")
                self._to_copy.append(trace.trace_id)
        effects: list[KeeperEffect] = []
        for copy_id, pending in list(self._pending.items()):
            if pending.to in gone:
                effects += self._copy_again(copy_id, now)
        return effects

    def _handle_tick(self, wall_now_s: float, now: float) -> list[KeeperEffect]:
        self.wall_now_s = wall_now_s
        self.store.expire(wall_now_s)
        effects: list[KeeperEffect] = []
        for copy_id, pending in list(self._pending.items()):
            if now - pending.sent_at >= COPY_TIMEOUT_S:
                effects += self._copy_again(copy_id, now)
        effects += self._copy_due(now)
        return effects + self._report_evictions()

    def _handle_leaving(self) -> list[KeeperEffect]:
        self._is_leaving = True
        mine = [trace for trace in self.store.rows() if trace.holder == self.member_id]
        mine.sort(key=lambda trace: (not trace.is_error, -trace.kept_wall_s))
        self._to_copy.clear()
        self._to_copy.extend(trace.trace_id for trace in mine if not trace.copied_to)
        return []

    def _copy_due(self, now: float) -> list[KeeperEffect]:
        """Copy what waits for it, at a bounded pace."""
        effects: list[KeeperEffect] = []
        left = LEAVING_BYTES_PER_TICK if self._is_leaving else COPY_BYTES_PER_TICK
        while self._to_copy and left > 0:
            trace = self.store.get(self._to_copy.popleft())
            if trace is None or not self._wants_copy(trace):
                continue
            left -= trace.body_bytes
            effects += self._copy(trace, list(trace.chunks), now)
        return effects

    def _wants_copy(self, trace: KeptTrace) -> bool:
        return self._is_leaving or (trace.is_error and self.config.copy_errors)

    def _copy_again(self, copy_id: int, now: float) -> list[KeeperEffect]:
        pending = self._pending.pop(copy_id)
        trace = self.store.get(pending.trace_id)
        if trace is None:
            return _settles(pending.chunks)
        # The new stand-in may have none of the trace: it gets all of it.
        missing = [chunk for chunk in pending.chunks if chunk not in trace.chunks]
        return self._copy(trace, trace.chunks + missing, now)

    def _report_evictions(self) -> list[KeeperEffect]:
        total = self.store.evicted.total()
        if total == self._reported_evictions:
            return []
        self._reported_evictions = total
        fields = {
            "evicted": dict(self.store.evicted),
            "complete_since": dict(self.store.complete_since),
        }
        return [Log(KEPT_EVICTED, fields)]


def _settles(chunks: list[TraceChunk]) -> list[KeeperEffect]:
    sequences_by_origin: dict[MemberId, list[int]] = {}
    for chunk in chunks:
        sequences_by_origin.setdefault(chunk.origin, []).append(chunk.sequence)
    return [Settle(origin, sequences) for origin, sequences in sequences_by_origin.items()]
