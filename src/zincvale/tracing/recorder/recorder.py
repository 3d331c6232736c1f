"""Records spans, draws the head decision, and groups the ended spans of a trace into chunks.

Ended spans are buffered until no span of their trace is open on this member. Then the spans of a
sampled trace are sent as one chunk, and those of an unsampled trace are dropped unless one of them
has an ERROR, which promotes the trace: it is sent like a sampled one. A trace whose root is open
for long is sent in several chunks, each an open-root marker that makes its collector wait.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Protocol

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import LONG_ROOT_MS, NO_ROOT_MS, TraceChunk
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.messages import PromoteTraces
from zincvale.tracing.recorder.context import TraceContext, parse_context
from zincvale.tracing.recorder.limiter import MAX_RATE, AdaptiveLimiter
from zincvale.tracing.recorder.open_trace import OpenSpan, OpenTrace
from zincvale.tracing.recorder.spans import MS_PER_S, AttributeValue, encode_rows, subject_of

OPEN_MARKER_INTERVAL_S = LONG_ROOT_MS / MS_PER_S
"""Interval at which a long trace is sent in parts or sends an open-root marker; it must be well
below `decision_wait_s`."""
MIN_TARGET_PER_S = 1.0
"""Smallest share of the sampling target for one node, in traces per second."""
MAX_OPEN_TRACES = 100_000
"""Above this number the traces opened first are dropped: some of their spans never end."""
BUFFERED_SPAN_BYTES = 1024
"""Memory that one buffered span counts for in the byte budget."""
LOW_BITS = 64
"""Number of low identifier bits that are drawn for each trace."""
SPAN_ID_BITS = 64
SPAN_ID_MASK = 2**SPAN_ID_BITS - 1
SEQUENCE_BITS = 48
UNKNOWN_PROBABILITY = 0.0
"""Probability of a context that does not give one."""


class ParentContext(Protocol):
    """What a child span needs of its parent; other context classes may have only this."""

    @property
    def trace_id(self) -> str:
        """32 lower-case hexadecimal digits."""
        ...

    @property
    def span_id(self) -> str:
        """16 lower-case hexadecimal digits."""
        ...

    @property
    def sampled(self) -> bool:
        """The head decision of the trace."""
        ...


@attrs.define(slots=True)
class RecorderStats:
    """Totals since the start, for metrics."""

    sampled: int = 0
    promoted: int = 0
    chunks: int = 0
    held_dropped: int = 0
    """Ended spans of unsampled traces that were dropped because of a limit; if such a trace is
    promoted, it is incomplete."""


@attrs.define(slots=True, eq=False)
class SpanRecorder:
    """Records the spans of one member.

    Parameters
    ----------
    on_chunk : called with each chunk when it is complete.
    send : sends a one-way message to a member.
    """

    member_id: MemberId
    random: random.Random
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    config: TracingConfig
    on_chunk: Callable[[TraceChunk], None]
    send: Callable[[MemberId, object], None]
    limiter: AdaptiveLimiter = attrs.field(factory=AdaptiveLimiter)
    stats: RecorderStats = attrs.field(factory=RecorderStats)
    _draw_bits: Callable[[int], int] = attrs.field(init=False)
    _high_digits: str = attrs.field(init=False)
    """The high half of the identifiers of all traces started here; the low half is drawn for
    each."""
    _next_span: int = attrs.field(init=False)
    """Span identifiers are numbered from a random start: they need to be unique, not
    unpredictable."""
    _next_sequence: int = attrs.field(init=False)
    _open: dict[str, OpenTrace] = attrs.field(factory=dict)
    """Traces with open spans, by identifier, that may have to be looked up. Unsampled traces that
    no other member knows, as are those of most requests of a busy node, are left out."""
    _buffered: OrderedDict[str, OpenTrace] = attrs.field(factory=OrderedDict)
    """Ended spans of unsampled traces that other members started, in case these are promoted;
    oldest first."""
    _wall_offset_s: float = 0.0
    """Wall clock minus monotonic clock, updated on each tick, so that spans read only one clock."""

    def __attrs_post_init__(self) -> None:
        if not self.config.head_sampling:
            self.limiter = AdaptiveLimiter(float("inf"), MAX_RATE)
        self._draw_bits = self.random.getrandbits
        self._high_digits = f"{self._draw_bits(LOW_BITS):016x}"
        self._next_span = self.random.getrandbits(SPAN_ID_BITS)
        self._next_sequence = self.random.getrandbits(SEQUENCE_BITS)
        self.set_target_share(1)
        self._wall_offset_s = self.wall_clock() - self.clock()

    def start(
        self,
        name: str,
        trace: ParentContext | None = None,
        parent: str | None = None,
        attributes: Mapping[str, AttributeValue] | None = None,
    ) -> OpenSpan:
        """Start a span; without `trace` it is the root of a new trace.

        A dict passed as `attributes` is not copied; the span changes it.
        """
        now = self.clock()
        parent_number: int | None = None
        if trace is None:
            open_trace = self._start_trace(now)
        elif type(trace) is OpenSpan and not parent and trace.trace.open_spans:
            open_trace = trace.trace
            parent_number = trace.number
        else:
            open_trace = self._join_trace(trace, now)
            parent_number = int(parent or trace.span_id, 16)
        open_trace.open_spans += 1
        self._next_span = number = (self._next_span + 1) & SPAN_ID_MASK
        if type(attributes) is not dict:
            attributes = dict(attributes or ())
        return OpenSpan(open_trace, number, parent_number, name, now, attributes)

    def set_target_share(self, members: int) -> None:
        """Set the sampling target to an even share among `members` nodes that start traces."""
        if not self.config.head_sampling:
            return
        share = max(self.config.target_traces_per_s / max(members, 1), MIN_TARGET_PER_S)
        node_limit = self.config.node_traces_per_s
        self.limiter.target_per_s = min(share, node_limit) if node_limit else share

    def context_from(self, header: str) -> TraceContext | None:
        """Return the context that another member's header carries, or None."""
        return parse_context(header)

    def on_span_failed(self, trace: OpenTrace) -> None:
        """Mark the trace of a span with status ERROR, and promote it if it is not sent anyway."""
        trace.error = True
        if not trace.is_sent:
            self._promote_trace(trace)

    def on_context_sent(self, trace: OpenTrace) -> None:
        """Register the trace by its identifier: another member may ask to promote it."""
        self._register(trace)

    def on_trace_full(self, trace: OpenTrace) -> None:
        """Send the ended spans of a long trace early, or drop them if it is not sampled."""
        if trace.is_sent:
            self._flush(trace, trace.is_ingress and not trace.root_ended)
        else:
            self._drop_ended(trace)

    def on_trace_idle(self, trace: OpenTrace) -> None:
        """Send, buffer or drop the ended spans of a trace without open spans on this member."""
        if trace.is_known:
            self._open.pop(trace.trace_id, None)
        if trace.sampled or trace.promoted:
            self._flush(trace, is_open=False)
        elif trace.is_ingress:
            # Spans refer to their trace; clearing breaks the cycle, so that no garbage collection
            # is needed.
            trace.ended.clear()
        else:
            self._buffer_trace(trace)

    def promote(self, trace_ids: list[str]) -> None:
        """Send the buffered spans of these traces, in which another member recorded an ERROR."""
        for trace_id in trace_ids:
            trace = self._open.get(trace_id)
            if trace is not None:
                if not trace.is_sent:
                    self._promote_trace(trace)
                continue
            buffered = self._buffered.pop(trace_id, None)
            if buffered is not None:
                buffered.promoted = True
                self._flush(buffered, is_open=False)

    def tick(self, now: float) -> None:
        """Send parts of long traces, expire buffered spans, and enforce the limits."""
        self._wall_offset_s = self.wall_clock() - now
        self._flush_long_traces(now)
        self._expire_buffered(now)
        self._enforce_budget()
        self._enforce_open_limit()

    def _start_trace(self, now: float) -> OpenTrace:
        low_bits = self._draw_bits(LOW_BITS)
        limiter = self.limiter
        sampled = limiter.decide(low_bits, now)
        trace_id = TraceId(f"{self._high_digits}{low_bits:016x}")
        trace = OpenTrace(trace_id, self, self.member_id, sampled, limiter.rate, now)
        if sampled:
            self.stats.sampled += 1
            self._register(trace)
        return trace

    def _join_trace(self, context: ParentContext, now: float) -> OpenTrace:
        trace_id = TraceId(context.trace_id)
        trace = self._open.get(trace_id)
        if trace is not None:
            return trace
        ingress = getattr(context, "ingress", MemberId(""))
        probability = getattr(context, "probability", UNKNOWN_PROBABILITY)
        trace = OpenTrace(trace_id, self, ingress, context.sampled, probability, now)
        trace.is_ingress = False
        self._register(trace)
        return trace

    def _register(self, trace: OpenTrace) -> None:
        trace.is_known = True
        self._open[trace.trace_id] = trace

    def _buffer_trace(self, trace: OpenTrace) -> None:
        earlier = self._buffered.get(trace.trace_id)
        if earlier is not None:
            earlier.ended += trace.ended
            return
        trace.flushed_at = self.clock()
        self._buffered[trace.trace_id] = trace

    def _promote_trace(self, trace: OpenTrace) -> None:
        trace.promoted = True
        self._register(trace)
        self.stats.promoted += 1
        message = PromoteTraces([trace.trace_id])
        recipients = set(trace.participants or ())
        if not trace.is_ingress and trace.ingress:
            recipients.add(trace.ingress)
        for member in sorted(recipients):
            self.send(member, message)
        buffered = self._buffered.pop(trace.trace_id, None)
        if buffered is not None:
            trace.ended = buffered.ended + trace.ended

    def _flush(self, trace: OpenTrace, is_open: bool) -> None:
        spans = trace.ended
        trace.ended = []
        rows = []
        root_ms, request_id = NO_ROOT_MS, ""
        for span in spans:
            rows.append(span.to_row(self.member_id, self._wall_offset_s))
            if span.parent_number is None:
                root_ms = span.duration_s * MS_PER_S
                request_id = subject_of(span.attributes)
        sequence = self._next_sequence
        self._next_sequence += 1
        self.stats.chunks += 1
        chunk = TraceChunk(
            trace.trace_id,
            self.member_id,
            sequence,
            trace.sampled,
            trace.probability,
            trace.error,
            root_ms,
            is_open,
            len(spans),
            request_id,
            encode_rows(rows),
        )
        self.on_chunk(chunk)

    def _flush_long_traces(self, now: float) -> None:
        for trace in self._long_traces(now):
            trace.flushed_at = now
            is_open = trace.is_ingress and not trace.root_ended
            if trace.ended or is_open:
                self._flush(trace, is_open)

    def _long_traces(self, now: float) -> list[OpenTrace]:
        flushed_before = now - OPEN_MARKER_INTERVAL_S
        return [
            trace
            for trace in self._open.values()
            if trace.flushed_at <= flushed_before and trace.is_sent
        ]

    def _expire_buffered(self, now: float) -> None:
        while self._buffered:
            trace = next(iter(self._buffered.values()))
            if now - trace.flushed_at < self.config.decision_wait_s:
                return
            self._buffered.popitem(last=False)

    def buffered_spans(self) -> int:
        """Return how many ended spans are buffered; iterates over all open and buffered traces."""
        tables = (self._open, self._buffered)
        return sum(len(trace.ended) for table in tables for trace in table.values())

    def _enforce_budget(self) -> None:
        excess_spans = self.buffered_spans() - self.config.open_bytes // BUFFERED_SPAN_BYTES
        while excess_spans > 0 and self._buffered:
            _, trace = self._buffered.popitem(last=False)
            excess_spans -= self._drop_ended(trace)
        for trace in list(self._open.values()) if excess_spans > 0 else ():
            if trace.is_sent and trace.ended:
                excess_spans -= len(trace.ended)
                self._flush(trace, trace.is_ingress and not trace.root_ended)
            elif not trace.is_sent:
                excess_spans -= self._drop_ended(trace)
            if excess_spans <= 0:
                return

    def _enforce_open_limit(self) -> None:
        """Drop the traces opened first when too many are open: some of their spans never end."""
        while len(self._open) > MAX_OPEN_TRACES:
            trace = self._open.pop(next(iter(self._open)))
            self._drop_ended(trace)

    def _drop_ended(self, trace: OpenTrace) -> int:
        """Drop the ended spans of a trace; return how many."""
        dropped = len(trace.ended)
        self.stats.held_dropped += dropped
        trace.ended = []
        return dropped
