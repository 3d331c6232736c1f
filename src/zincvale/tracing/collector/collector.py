"""Collects the spans of the traces this member owns and decides them, as a pure state machine.

Each trace waits a bounded time from its first span; then the policy chain decides on the evidence
that arrived. Source: "Trace sampling: head, tail, adaptive". Added: open-root markers extend the
wait up to a limit, a verdict cache handles late spans, a late ERROR revises a verdict, a full table
decides its oldest traces early (those with an ERROR are retained), and undecided traces move to
their new collectors when the members change.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Sequence

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.model.machine import Log, Send
from zincvale.tracing.chunks import TraceChunk, encode_chunks
from zincvale.tracing.collector.backups import BackupStore
from zincvale.tracing.collector.effects import (
    AcknowledgeChunks,
    CollectorEffect,
    ForwardChunk,
    RetainTrace,
)
from zincvale.tracing.collector.inputs import (
    BatchReceived,
    DecisionDue,
    Input,
    MembersChanged,
    VerdictsReceived,
)
from zincvale.tracing.collector.pending_trace import CollectorStats, PendingTrace
from zincvale.tracing.collector.policies import (
    NO_POLICY,
    Evidence,
    SamplingPolicy,
    Verdict,
    default_chain,
    evaluate,
)
from zincvale.tracing.collector.verdict_cache import DROPPED, VerdictCache
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.log_events import COLLECTOR_FULL, TRACES_HANDED_OVER
from zincvale.tracing.messages import SpanBatch, VerdictsMoved
from zincvale.tracing.ownership import CollectorTable
from zincvale.tracing.recorder.spans import MS_PER_S

OPEN_ROOT_TIMEOUT_S = 16.0
"""How long after its last open-root marker a root counts as open; it allows for the loss of three
markers."""
RECHECK_S = 5.0
"""Interval at which a trace whose root is open is checked again."""
LATE_WAIT_S = 2.0
"""Wait of a dropped trace that is evaluated again for a late ERROR; also the shortest wait of a
transferred trace."""
MAX_HOPS = 1
"""A chunk that was forwarded this often is accepted by the collector that receives it: two members
that disagree on its owner (because one of them drains) would forward it in a loop. The next change
of members moves it."""
CREDIT_SHARE = 0.9
"""Fraction of the byte budget up to which senders get credit."""
BACKUP_SHARE = 0.25
"""Size of the backup store, as a fraction of the byte budget and in addition to it."""
BACKUP_MARGIN_S = 30.0
"""How much longer than the decision wait a backup is retained."""
MAX_CREDIT_BYTES = 256 * 1024
"""Maximum credit that a sender gets with one ack."""
MIN_CREDIT_BYTES = 4 * 1024
"""Minimum credit: a sender gets none if its even share of the free budget is smaller than this."""


@attrs.define(slots=True)
class Collector:
    """State machine that takes batches of chunks and returns verdicts."""

    member_id: MemberId
    config: TracingConfig
    collectors: CollectorTable
    chain: Sequence[SamplingPolicy] = ()
    stats: CollectorStats = attrs.field(factory=CollectorStats)
    size_bytes: int = 0
    _pending: dict[TraceId, PendingTrace] = attrs.field(factory=dict)
    _waiting: deque[TraceId] = attrs.field(factory=deque)
    """New traces in the order of arrival; all have the same wait, so the first is due first."""
    _due_otherwise: list[tuple[float, TraceId]] = attrs.field(factory=list)
    """Heap of the traces with a wait of their own: transferred, extended or evaluated again."""
    _acknowledged: dict[MemberId, list[int]] = attrs.field(factory=dict)
    """Sequences of decided chunks by origin, collected while one input is handled."""
    _verdicts: VerdictCache = attrs.field(factory=VerdictCache)
    _backups: BackupStore = attrs.field(init=False)
    _is_full: bool = False

    def __attrs_post_init__(self) -> None:
        config = self.config
        self._backups = BackupStore(
            int(config.collector_bytes * BACKUP_SHARE), config.decision_wait_s + BACKUP_MARGIN_S
        )
        if not self.chain:
            self.chain = default_chain(self.config)

    def __len__(self) -> int:
        return len(self._pending)

    def handle(self, event: Input, now: float) -> list[CollectorEffect]:
        """Apply one input and return the effects, with one acknowledgement for each origin."""
        effects = self._apply(event, now)
        if self._acknowledged:
            effects += [
                AcknowledgeChunks(origin, sequences)
                for origin, sequences in self._acknowledged.items()
            ]
            self._acknowledged = {}
        return effects

    def _apply(self, event: Input, now: float) -> list[CollectorEffect]:
        match event:
            case BatchReceived(chunks, is_backup):
                if is_backup:
                    return self._handle_backup(chunks, now)
                return self._handle_batch(chunks, now)
            case VerdictsReceived(primary, trace_ids):
                return self._handle_verdicts(primary, trace_ids)
            case MembersChanged(departed):
                return self._handle_members(departed, now)
            case DecisionDue():
                return self._decide_due(now)

    def credit_bytes(self) -> int:
        """Return how many bytes a sender may send next: an even share of the free budget."""
        free_bytes = int(self.config.collector_bytes * CREDIT_SHARE) - self.size_bytes
        share_bytes = free_bytes // max(1, len(self.collectors.members))
        if share_bytes < MIN_CREDIT_BYTES:
            return 0
        return min(share_bytes, MAX_CREDIT_BYTES)

    def pending(self, trace_id: TraceId) -> PendingTrace | None:
        """Return an undecided trace, or None."""
        return self._pending.get(trace_id)

    def pending_of_request(self, request_id: str) -> list[PendingTrace]:
        """Return the undecided traces of a request; searches all undecided traces."""
        return [
            trace
            for trace in self._pending.values()
            if any(chunk.request_id == request_id for chunk in trace.chunks)
        ]

    def primary_of(self, trace_id: TraceId) -> MemberId | None:
        """Return the primary of a decided trace, `DROPPED`, or None when no verdict is cached."""
        return self._verdicts.primary(trace_id)

    def mark_retained_here(self, trace_id: TraceId) -> None:
        """Record that this member has a replica of the trace and takes its late spans."""
        self._verdicts.remember(trace_id, self.member_id)
        self._backups.drop(trace_id)

    def _handle_batch(self, chunks: list[TraceChunk], now: float) -> list[CollectorEffect]:
        effects: list[CollectorEffect] = []
        for chunk in chunks:
            effects += self._collect(chunk, now)
        return effects + self._enforce_budget(now)

    def _collect(self, chunk: TraceChunk, now: float) -> list[CollectorEffect]:
        self.stats.chunks += 1
        trace_id = chunk.trace_id
        trace = self._pending.get(trace_id)
        if trace is not None:
            self._add(trace, chunk, now)
            return []
        primary = self._verdicts.primary(trace_id)
        if primary is not None:
            return self._handle_late_chunk(chunk, primary, now)
        if self._belongs_elsewhere(chunk):
            self.stats.passed_on += 1
            return [ForwardChunk(attrs.evolve(chunk, hops=chunk.hops + 1))]
        if chunk.waited_s:
            self._add_pending(chunk, now, self.config.decision_wait_s - chunk.waited_s)
            return []
        self._waiting.append(trace_id)
        self._pending[trace_id] = trace = PendingTrace(trace_id, now, [])
        self._add(trace, chunk, now)
        return []

    def _belongs_elsewhere(self, chunk: TraceChunk) -> bool:
        owner = self.collectors.owner(chunk.trace_id)
        if owner is None or owner == self.member_id:
            return False
        is_collecting = self.member_id in self.collectors.members
        return not is_collecting or chunk.hops < MAX_HOPS

    def _add_pending(self, chunk: TraceChunk, now: float, wait_s: float) -> None:
        """Collect a trace that is due after `wait_s` instead of the usual wait."""
        trace = PendingTrace(chunk.trace_id, now - chunk.waited_s, [])
        self._pending[chunk.trace_id] = trace
        due_at = now + max(wait_s, LATE_WAIT_S)
        heapq.heappush(self._due_otherwise, (due_at, chunk.trace_id))
        self._add(trace, chunk, now)

    def _add(self, trace: PendingTrace, chunk: TraceChunk, now: float) -> None:
        for stored in trace.chunks:
            if stored.sequence == chunk.sequence and stored.origin == chunk.origin:
                self.stats.duplicates += 1
                return
        trace.chunks.append(chunk)
        self.size_bytes += chunk.size_bytes
        if chunk.error:
            trace.error = True
        if chunk.root_open:
            trace.open_until = now + OPEN_ROOT_TIMEOUT_S
            trace.ingress = chunk.origin
        elif chunk.root_ms >= 0.0:
            trace.root_ms = chunk.root_ms
            trace.open_until = 0.0

    def _handle_late_chunk(
        self, chunk: TraceChunk, primary: MemberId, now: float
    ) -> list[CollectorEffect]:
        if primary == self.member_id:
            self.stats.late_kept += 1
            return [self._retain_late(chunk, now)]
        if primary != DROPPED:
            evidence, bodies = encode_chunks([attrs.evolve(chunk, hops=MAX_HOPS)])
            return [Send(primary, SpanBatch(0, evidence, bodies))]
        if not chunk.error:
            self.stats.late_dropped += 1
            self._acknowledge(chunk)
            return []
        # The earlier spans are lost, but the late ERROR is still retained.
        self.stats.revised += 1
        self._verdicts.forget(chunk.trace_id)
        self._add_pending(chunk, now, LATE_WAIT_S)
        return []

    def _retain_late(self, chunk: TraceChunk, now: float) -> RetainTrace:
        verdict = None
        if chunk.error or chunk.root_ms >= 0.0:
            evidence = Evidence(chunk.trace_id, chunk.error, chunk.root_ms, now)
            verdict = evaluate(self.chain, evidence)
        return RetainTrace([chunk], verdict or Verdict(NO_POLICY, 1.0), chunk.error)

    def _decide_due(self, now: float) -> list[CollectorEffect]:
        effects: list[CollectorEffect] = []
        due_if_seen_by = now - self.config.decision_wait_s
        while self._waiting:
            trace = self._pending.get(self._waiting[0])
            if trace is not None and trace.first_seen_at > due_if_seen_by:
                break
            effects += self._decide_unless_open(self._waiting.popleft(), now)
        while self._due_otherwise and self._due_otherwise[0][0] <= now:
            effects += self._decide_unless_open(heapq.heappop(self._due_otherwise)[1], now)
        self._backups.expire(now)
        return effects

    def _decide_unless_open(self, trace_id: TraceId, now: float) -> list[CollectorEffect]:
        trace = self._pending.get(trace_id)
        if trace is None:
            return []
        if self._must_wait_for_root(trace, now):
            self.stats.extended += 1
            heapq.heappush(self._due_otherwise, (now + RECHECK_S, trace_id))
            return []
        return self._decide(trace, now)

    def _must_wait_for_root(self, trace: PendingTrace, now: float) -> bool:
        if trace.open_until <= now:
            return False
        return now - trace.first_seen_at < self.config.longest_wait_s

    def _decide(self, trace: PendingTrace, now: float) -> list[CollectorEffect]:
        del self._pending[trace.trace_id]
        self.stats.decided += 1
        verdict = evaluate(self.chain, self._evidence(trace, now))
        for chunk in trace.chunks:
            self.size_bytes -= chunk.size_bytes
            if verdict is None:
                self._acknowledge(chunk)
        if verdict is None:
            self._verdicts.remember(trace.trace_id, DROPPED)
            return []
        self.stats.kept += 1
        self._verdicts.remember(trace.trace_id, self.member_id)
        return [RetainTrace(trace.chunks, verdict, trace.error)]

    def _acknowledge(self, chunk: TraceChunk) -> None:
        self._acknowledged.setdefault(chunk.origin, []).append(chunk.sequence)

    def _evidence(self, trace: PendingTrace, now: float) -> Evidence:
        if trace.open_until <= 0.0:
            return Evidence(trace.trace_id, trace.error, trace.root_ms, now)
        # The root is open or its member departed: use its duration so far as a lower bound.
        observed_ms = (min(trace.open_until, now) - trace.first_seen_at) * MS_PER_S
        is_ingress_lost = trace.ingress not in self.collectors.live_members
        return Evidence(trace.trace_id, trace.error, observed_ms, now, is_ingress_lost)

    def _enforce_budget(self, now: float) -> list[CollectorEffect]:
        """Decide the oldest traces early; dropping new chunks instead would lose their ERRORs."""
        effects: list[CollectorEffect] = []
        was_full = self._is_full
        self._is_full = False
        while self._pending and self._is_over_budget():
            effects += self._decide(next(iter(self._pending.values())), now)
            self.stats.decided_early += 1
            self._is_full = True
        if self._is_full and not was_full:
            effects.append(Log(COLLECTOR_FULL, {"decided_early": self.stats.decided_early}))
        return effects

    def _is_over_budget(self) -> bool:
        return (
            self.size_bytes > self.config.collector_bytes
            or len(self._pending) > self.config.num_traces
        )

    def _handle_members(self, departed: frozenset[MemberId], now: float) -> list[CollectorEffect]:
        self._verdicts.forget_primaries(departed)
        effects = self._handle_batch(self._backups.take_from(departed), now)
        moved = [
            (trace_id, trace)
            for trace_id, trace in self._pending.items()
            if self.collectors.owner(trace_id) not in (None, self.member_id)
        ]
        for trace_id, trace in moved:
            effects += self._transfer(trace_id, trace, now)
        if moved:
            effects.append(Log(TRACES_HANDED_OVER, {"traces": len(moved)}))
        return effects + self._announce_moved_verdicts()

    def _transfer(
        self, trace_id: TraceId, trace: PendingTrace, now: float
    ) -> list[CollectorEffect]:
        del self._pending[trace_id]
        waited_s = now - trace.first_seen_at
        effects: list[CollectorEffect] = []
        for chunk in trace.chunks:
            self.size_bytes -= chunk.size_bytes
            effects.append(ForwardChunk(attrs.evolve(chunk, waited_s=waited_s, hops=MAX_HOPS)))
        return effects

    def _announce_moved_verdicts(self) -> list[CollectorEffect]:
        """Notify new owners of the traces retained here, so that they forward late spans."""
        moved: dict[MemberId, list[str]] = {}
        for trace_id in self._verdicts.retained_by(self.member_id):
            owner = self.collectors.owner(trace_id)
            if owner not in (None, self.member_id):
                moved.setdefault(owner, []).append(trace_id)
        return [Send(owner, VerdictsMoved(trace_ids)) for owner, trace_ids in moved.items()]

    def _handle_verdicts(
        self, primary: MemberId, trace_ids: list[TraceId]
    ) -> list[CollectorEffect]:
        for trace_id in trace_ids:
            if self._verdicts.primary(trace_id) is None and trace_id not in self._pending:
                self._verdicts.remember(trace_id, primary)
        return []

    def _handle_backup(self, chunks: list[TraceChunk], now: float) -> list[CollectorEffect]:
        for chunk in chunks:
            self._backups.add(chunk, now)
        return []
