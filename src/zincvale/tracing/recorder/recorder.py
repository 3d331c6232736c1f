"""Makes spans, draws the head decision, and groups the ended spans of a trace into chunks.

Spans stay here until nothing of their trace is open on this member; then a sampled trace leaves as
one chunk, and an unsampled one is dropped unless it turned out ERROR (it is promoted). A trace
whose root runs long leaves in parts, each with an open-root marker that keeps its collector
waiting.
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
"""A trace open for this long sends its ended spans and a marker; well under `decision_wait_s`."""
MIN_TARGET_PER_S = 1.0
MAX_OPEN_TRACES = 100_000
BUFFERED_SPAN_BYTES = 1024
"""What one buffered span is counted with."""
LOW_BITS = 64
SPAN_ID_BITS = 64
SPAN_ID_MASK = 2**SPAN_ID_BITS - 1
SEQUENCE_BITS = 48
UNKNOWN_PROBABILITY = 0.0


class ParentContext(Protocol):
    """What a child inherits; a foreign context may know only this much."""

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
        """The head decision."""
        ...


@attrs.define(slots=True)
class RecorderStats:
    """Totals since the start, for metrics."""

    sampled: int = 0
    promoted: int = 0
    chunks: int = 0
    held_dropped: int = 0
    """Buffered unsampled spans dropped by the budget; their trace can only be promoted in part."""


@attrs.define(slots=True, eq=False)
class SpanRecorder:
    """Source of spans of one member.

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
    """The high half of this recorder's trace identifiers; the low half is drawn for each."""
    _next_span: int = attrs.field(init=False)
    """Span identifiers count up from a random start: they are unique, not unpredictable."""
    _next_sequence: int = attrs.field(init=False)
    _open: dict[str, OpenTrace] = attrs.field(factory=dict)
    """Traces with open spans that may have to be found: all but unsampled ones that nobody else
    knows, which every request of a busy node is."""
    _buffered: OrderedDict[str, OpenTrace] = attrs.field(factory=OrderedDict)
    """Unsampled parts of other members' traces, in case they are promoted; oldest first."""
    _wall_offset_s: float = 0.0
    """Wall clock minus monotonic clock, taken at each tick: spans read one clock only."""

    def __attrs_post_init__(self) -> None:
        if not self.config.head_sampling:
            self.limiter = AdaptiveLimiter(float("inf"), MAX_RATE)
        self._draw_bits = self.random.getrandbits
        self._high_digits = f"{self._draw_bits(LOW_BITS):016x}"
        self._next_span = self.random.getrandbits(SPAN_ID_BITS)
        self._next_sequence = self.random.getrandbits(SEQUENCE_BITS)
        self.divide_target(1)
        self._wall_offset_s = self.wall_clock() - self.clock()

    def start(
        self,
        name: str,
        trace: ParentContext | None = None,
        parent: str | None = None,
        attributes: Mapping[str, AttributeValue] | None = None,
    ) -> OpenSpan:
        """Start a span; without `trace` it is the root of a new trace.

        A dict of `attributes` belongs to the span from here on.
        """
        now = self.clock()
        parent_number: int | None = None
        if trace is None:
            open_trace = self._mint(now)
        elif type(trace) is OpenSpan and not parent and trace.trace.open_spans:
            open_trace = trace.trace
            parent_number = trace.number
        else:
            open_trace = self._join(trace, now)
            parent_number = int(parent or trace.span_id, 16)
        open_trace.open_spans += 1
        self._next_span = number = (self._next_span + 1) & SPAN_ID_MASK
        if type(attributes) is not dict:
            attributes = dict(attributes or ())
        return OpenSpan(open_trace, number, parent_number, name, now, attributes)

    def divide_target(self, members: int) -> None:
        """Aim at an even share of the fleet's target, among `members` that mint traces."""
        if not self.config.head_sampling:
            return
        share = max(self.config.target_traces_per_s / max(members, 1), MIN_TARGET_PER_S)
        bound = self.config.node_traces_per_s
        self.limiter.target_per_s = min(share, bound) if bound else share

    def context_from(self, header: str) -> TraceContext | None:
        """Return the context that another member's header carries, or None."""
        return parse_context(header)

    def on_span_failed(self, trace: OpenTrace) -> None:
        """Promote the trace of a span that has status ERROR."""
        trace.error = True
        if not trace.is_sent:
            self._promote(trace)

    def on_context_sent(self, trace: OpenTrace) -> None:
        """Make the trace known by its identifier: another member may ask to promote it."""
        self._know(trace)

    def on_trace_full(self, trace: OpenTrace) -> None:
        """Send the ended spans of a long trace early, or drop them if it is not sampled."""
        if trace.is_sent:
            self._flush(trace, trace.is_ingress and not trace.root_ended)
        else:
            self._drop_ended(trace)

    def on_trace_idle(self, trace: OpenTrace) -> None:
        """Send, buffer or drop a trace that has no open span here any more."""
        if trace.is_known:
            self._open.pop(trace.trace_id, None)
        if trace.sampled or trace.promoted:
            self._flush(trace, is_open=False)
        elif trace.is_ingress:
            # Spans know their trace: cleared, so that no cycle is left to the garbage collector.
            trace.ended.clear()
        else:
            self._buffer(trace)

    def promote(self, trace_ids: list[str]) -> None:
        """Send what is buffered of these traces: another member saw an ERROR in them."""
        for trace_id in trace_ids:
            trace = self._open.get(trace_id)
            if trace is not None:
                if not trace.is_sent:
                    self._promote(trace)
                continue
            buffered = self._buffered.pop(trace_id, None)
            if buffered is not None:
                buffered.promoted = True
                self._flush(buffered, is_open=False)

    def tick(self, now: float) -> None:
        """Send parts of traces that run long, and expire what was buffered for long enough."""
        self._wall_offset_s = self.wall_clock() - now
        self._flush_long_traces(now)
        self._expire_buffered(now)
        self._enforce_budget()
        self._enforce_open_limit()

    def _mint(self, now: float) -> OpenTrace:
        low_bits = self._draw_bits(LOW_BITS)
        limiter = self.limiter
        sampled = limiter.decide(low_bits, now)
        trace_id = TraceId(f"{self._high_digits}{low_bits:016x}")
        trace = OpenTrace(trace_id, self, self.member_id, sampled, limiter.rate, now)
        if sampled:
            self.stats.sampled += 1
            self._know(trace)
        return trace

    def _join(self, context: ParentContext, now: float) -> OpenTrace:
        trace_id = TraceId(context.trace_id)
        trace = self._open.get(trace_id)
        if trace is not None:
            return trace
        ingress = getattr(context, "ingress", MemberId(""))
        probability = getattr(context, "probability", UNKNOWN_PROBABILITY)
        trace = OpenTrace(trace_id, self, ingress, context.sampled, probability, now)
        trace.is_ingress = False
        self._know(trace)
        return trace

    def _know(self, trace: OpenTrace) -> None:
        trace.is_known = True
        self._open[trace.trace_id] = trace

    def _buffer(self, trace: OpenTrace) -> None:
        earlier = self._buffered.get(trace.trace_id)
        if earlier is not None:
            earlier.ended += trace.ended
            return
        trace.flushed_at = self.clock()
        self._buffered[trace.trace_id] = trace

    def _promote(self, trace: OpenTrace) -> None:
        trace.promoted = True
        self._know(trace)
        self.stats.promoted += 1
        message = PromoteTraces([trace.trace_id])
        others = set(trace.participants or ())
        if not trace.is_ingress and trace.ingress:
            others.add(trace.ingress)
        for member in sorted(others):
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
        for trace in self._long_open(now):
            trace.flushed_at = now
            is_open = trace.is_ingress and not trace.root_ended
            if trace.ended or is_open:
                self._flush(trace, is_open)

    def _long_open(self, now: float) -> list[OpenTrace]:
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
        """Return how many ended spans are buffered; walks the tables."""
        tables = (self._open, self._buffered)
        return sum(len(trace.ended) for table in tables for trace in table.values())

    def _enforce_budget(self) -> None:
        excess = self.buffered_spans() - self.config.open_bytes // BUFFERED_SPAN_BYTES
        while excess > 0 and self._buffered:
            _, trace = self._buffered.popitem(last=False)
            excess -= self._drop_ended(trace)
        for trace in list(self._open.values()) if excess > 0 else ():
            if trace.is_sent and trace.ended:
                excess -= len(trace.ended)
                self._flush(trace, trace.is_ingress and not trace.root_ended)
            elif not trace.is_sent:
                excess -= self._drop_ended(trace)
            if excess <= 0:
                return

    def _enforce_open_limit(self) -> None:
        """Forget the oldest open traces: their makers never end them."""
        while len(self._open) > MAX_OPEN_TRACES:
            trace = self._open.pop(next(iter(self._open)))
            self._drop_ended(trace)

    def _drop_ended(self, trace: OpenTrace) -> int:
        """Drop the ended spans of a trace; return how many."""
        dropped = len(trace.ended)
        self.stats.held_dropped += dropped
        trace.ended = []
        return dropped
