"""Sends chunks to their collectors and retains them until the verdict, as a pure state machine.

Flow control: one batch at a time is in flight to each collector (see `links`). The bytes of queued
chunks are bounded; above the limit chunks without an ERROR are dropped first, and counted.

Crash safety: a chunk is retained after the ack of its batch, until its collector acknowledges the
chunk. When the collector leaves or restarts, retained chunks are sent to the new owners of their
traces.
"""

from __future__ import annotations

from collections import Counter

import attrs

from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Log, Send
from zincvale.tracing.chunks import LONG_ROOT_MS, TraceChunk, encode_chunks
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.log_events import COLLECTOR_LOST, SPANS_DROPPED
from zincvale.tracing.messages import SpanBatch
from zincvale.tracing.ownership import CollectorTable
from zincvale.tracing.sender.links import NO_BATCH, Link
from zincvale.tracing.sender.retained_batches import RetainedChunks

ACK_TIMEOUT_S = 1.5
"""A batch without an ack after this time is sent again."""
NO_COLLECTOR = MemberId("")
"""Key of the link that queues chunks while no collector is known."""
MIN_FLUSH_INTERVAL_S = 2.0
MAX_FLUSH_INTERVAL_S = 10.0
MAX_BATCHES_PER_S = 50.0
"""Limit that sets the flush interval: each batch costs both members a message, so with many
collectors batches to each of them are sent less often."""
PROBE_INTERVAL_S = 1.0
"""Interval between batches to a collector that gives no credit."""
ACKNOWLEDGEMENT_MARGIN_S = 15.0
"""A chunk that is not acknowledged this long after the decision wait has passed is sent again."""


@attrs.frozen
class ChunksEnded:
    """Input: chunks recorded by this member, or forwarded for their origins, are to be sent."""

    chunks: list[TraceChunk]


@attrs.frozen
class BatchAckReceived:
    """Input: `collector` received a batch and grants credit for the next one."""

    collector: MemberId
    batch: int
    credit_bytes: int


@attrs.frozen
class AcknowledgementReceived:
    """Input: a collector reports that these chunks need not be retained any longer."""

    sequences: list[int]


@attrs.frozen
class CollectorsChanged:
    """Input: the collectors changed; `restarted` ones lost their memory but not their name."""

    members: frozenset[MemberId]
    restarted: frozenset[MemberId] = frozenset()


@attrs.frozen
class FlushDue:
    """Input: the flush timer fired."""


Input = ChunksEnded | BatchAckReceived | AcknowledgementReceived | CollectorsChanged | FlushDue


@attrs.define(slots=True)
class SenderStats:
    """Totals since the start, for metrics."""

    batches: int = 0
    chunks: int = 0
    resent: int = 0
    dropped: Counter[str] = attrs.field(factory=Counter)
    """Queued chunks that were dropped, by `error` (those with an ERROR) and `other`."""


@attrs.define(slots=True)
class SpanSender:
    """State machine that takes chunks and returns batches to send."""

    member_id: MemberId
    config: TracingConfig
    collectors: CollectorTable
    stats: SenderStats = attrs.field(factory=SenderStats)
    _links: dict[MemberId, Link] = attrs.field(factory=dict)
    _retained: RetainedChunks = attrs.field(factory=RetainedChunks)
    _queued_bytes: int = 0
    _next_batch: int = 1
    _reported_drops: int = 0

    def handle(self, event: Input, now: float) -> list[Effect]:
        """Apply one input and return what to send."""
        match event:
            case ChunksEnded(chunks):
                return self._handle_chunks(chunks)
            case BatchAckReceived(collector, batch, credit_bytes):
                return self._handle_ack(collector, batch, credit_bytes, now)
            case AcknowledgementReceived(sequences):
                return self._handle_acknowledgement(sequences)
            case CollectorsChanged(members, restarted):
                return self._handle_members(members, restarted)
            case FlushDue():
                return self._handle_flush(now)

    @property
    def queued_bytes(self) -> int:
        """Bytes of the chunks that are queued for collectors."""
        return self._queued_bytes

    @property
    def retained_bytes(self) -> int:
        """Bytes of acked batches that are retained in case their collector is lost."""
        return self._retained.size_bytes

    @property
    def is_idle(self) -> bool:
        """Whether nothing is queued or in flight."""
        return all(link.is_idle for link in self._links.values())

    def pressure(self) -> float:
        """Return the factor that the queue puts on the sampling target, in [0, 1].

        Sampling less keeps the weights of retained traces correct; dropping chunks from a full
        queue does not.
        """
        return max(0.0, 1.0 - 2.0 * self._queued_bytes / self.config.sender_bytes)

    def _handle_chunks(self, chunks: list[TraceChunk]) -> list[Effect]:
        self.stats.chunks += len(chunks)
        for chunk in chunks:
            self._enqueue(chunk)
        self._enforce_budget()
        return []

    def _enqueue(self, chunk: TraceChunk) -> None:
        self._link_of(chunk).queue_for(chunk).append(chunk)
        self._queued_bytes += chunk.size_bytes

    def _handle_ack(
        self, collector: MemberId, batch: int, credit_bytes: int, now: float
    ) -> list[Effect]:
        link = self._links.get(collector)
        if link is None or link.batch != batch:
            return []
        # A forwarded chunk is not retained here: its origin retains it.
        own_chunks = [chunk for chunk in link.in_flight if chunk.origin == self.member_id]
        encoded = (
            link.encoded if len(own_chunks) == link.encoded_count else encode_chunks(own_chunks)
        )
        self._retained.add(own_chunks, encoded, collector, now)
        link.clear_in_flight()
        link.credit_bytes = credit_bytes
        if link.has_full_batch:
            return self._send_batch(collector, link, now)
        return []

    def _handle_acknowledgement(self, sequences: list[int]) -> list[Effect]:
        unknown = self._retained.acknowledge(sequences)
        if unknown:
            # The verdict on a late span may arrive before the ack of the batch that carried it.
            for link in self._links.values():
                link.discard_acknowledged(self.member_id, unknown)
        return []

    def _handle_members(
        self, members: frozenset[MemberId], restarted: frozenset[MemberId]
    ) -> list[Effect]:
        lost = (frozenset(self._links) - members) | restarted
        effects: list[Effect] = []
        for collector in sorted(lost):
            link = self._links.pop(collector, None)
            if link is not None:
                self._requeue_chunks(link)
        resent_chunks = self._retained.take_sent_to(lost)
        for chunk in resent_chunks:
            self._enqueue(chunk)
        self.stats.resent += len(resent_chunks)
        if resent_chunks:
            effects.append(
                Log(COLLECTOR_LOST, {"collectors": sorted(lost), "chunks": len(resent_chunks)})
            )
        self._reroute()
        self._enforce_budget()
        return effects

    def _requeue_chunks(self, link: Link) -> None:
        self._queued_bytes -= sum(chunk.size_bytes for chunk in (*link.errors, *link.others))
        for chunk in (*link.in_flight, *link.errors, *link.others):
            self._enqueue(chunk)

    def _reroute(self) -> None:
        """Move queued chunks to the collectors that own their traces now."""
        for link in list(self._links.values()):
            for queue in (link.errors, link.others):
                for _ in range(len(queue)):
                    chunk = queue.popleft()
                    self._link_of(chunk).queue_for(chunk).append(chunk)

    def _handle_flush(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        interval_s = self._flush_interval_s()
        for collector, link in list(self._links.items()):
            if collector == NO_COLLECTOR:
                continue
            if link.batch and now - link.sent_at < ACK_TIMEOUT_S:
                continue
            is_timed_out = link.batch != NO_BATCH
            if is_timed_out:
                self._return_in_flight(link)
            if is_timed_out or link.is_urgent or now - link.sent_at >= interval_s:
                effects += self._send_batch(collector, link, now)
        self._resend_unacknowledged(now)
        return effects + self._report_drops()

    def _flush_interval_s(self) -> float:
        interval_s = len(self.collectors.members) / MAX_BATCHES_PER_S
        return min(max(interval_s, MIN_FLUSH_INTERVAL_S), MAX_FLUSH_INTERVAL_S)

    def _return_in_flight(self, link: Link) -> None:
        self._queued_bytes += sum(chunk.size_bytes for chunk in link.in_flight)
        self.stats.resent += len(link.in_flight)
        link.return_in_flight()

    def _send_batch(self, collector: MemberId, link: Link, now: float) -> list[Effect]:
        if link.is_idle:
            return []
        if not link.credit_bytes and now - link.sent_at < PROBE_INTERVAL_S:
            return []
        chunks = link.take_batch()
        self._queued_bytes -= sum([chunk.size_bytes for chunk in chunks])
        link.put_in_flight(self._next_batch, chunks, now)
        self._next_batch += 1
        self.stats.batches += 1
        sends: list[Effect] = [Send(collector, SpanBatch(link.batch, *link.encoded))]
        return sends + self._back_up_own(collector, chunks)

    def _back_up_own(self, collector: MemberId, chunks: list[TraceChunk]) -> list[Effect]:
        """Return backups, for other members, of the chunks that this member collects itself.

        Without them its crash would lose both the origin and the collector of these chunks. Only
        errors and long traces are backed up: other traces are not replicated when they are
        retained, either.
        """
        if collector != self.member_id:
            return []
        chunks_by_member: dict[MemberId, list[TraceChunk]] = {}
        for chunk in chunks:
            successor = self.collectors.successor(chunk.trace_id, self.member_id)
            if _is_backed_up(chunk) and successor:
                chunks_by_member.setdefault(successor, []).append(chunk)
        return [
            Send(member, SpanBatch(NO_BATCH, *encode_chunks(backed_up), backup=True))
            for member, backed_up in chunks_by_member.items()
        ]

    def _resend_unacknowledged(self, now: float) -> None:
        acked_before = now - self.config.decision_wait_s - ACKNOWLEDGEMENT_MARGIN_S
        for chunk in self._retained.take_acked_before(acked_before):
            self._enqueue(chunk)
            self.stats.resent += 1

    def _enforce_budget(self) -> None:
        """Drop retained chunks first, then queued chunks without an ERROR, then those with one."""
        budget = self.config.sender_bytes
        if self._queued_bytes + self._retained.size_bytes <= budget:
            return
        self._retained.shrink(max(budget - self._queued_bytes, 0))
        for is_error in (False, True):
            while self._queued_bytes > budget:
                chunk = self._drop_oldest(is_error)
                if chunk is None:
                    break
                self._queued_bytes -= chunk.size_bytes
                self.stats.dropped["error" if is_error else "other"] += 1

    def _drop_oldest(self, is_error: bool) -> TraceChunk | None:
        queues = [link.errors if is_error else link.others for link in self._links.values()]
        longest = max(queues, key=len, default=None)
        return longest.popleft() if longest else None

    def _report_drops(self) -> list[Effect]:
        total = self.stats.dropped.total()
        if total == self._reported_drops:
            return []
        self._reported_drops = total
        return [Log(SPANS_DROPPED, {"totals": dict(self.stats.dropped)})]

    def _link_of(self, chunk: TraceChunk) -> Link:
        """Return the link to the chunk's collector, or to `NO_COLLECTOR` while none is known."""
        collector = self.collectors.owner(chunk.trace_id) or NO_COLLECTOR
        link = self._links.get(collector)
        if link is None:
            link = Link()
            self._links[collector] = link
        return link


def _is_backed_up(chunk: TraceChunk) -> bool:
    is_long = chunk.root_open or chunk.root_ms >= LONG_ROOT_MS
    return chunk.error or is_long
