"""The part of a trace that is open on this member, and the span handles given out.

This is the only part of tracing that every request pays for, sampled or not. Identifiers are
numbers until they are sent, events stand flat in one list, and a span is its own context.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.recorder.context import TraceContext, span_id_text
from zincvale.tracing.recorder.spans import (
    MAX_TEXT_CHARACTERS,
    Attributes,
    AttributeValue,
    SpanRow,
    bounded,
)

MAX_EVENTS_PER_SPAN = 512
MAX_ENDED_SPANS = 64
"""Ended spans that one trace buffers while others of its spans run on."""
EVENTS_DROPPED_ATTRIBUTE = "events_dropped"
UNNAMED_ERROR = "error"
OPEN_S = -1.0
"""Duration of a span that did not end yet."""

FIELDS_OF_EVENT = 3
"""Events stand flat in one list: name, time on the member's monotonic clock, attributes."""
MAX_EVENT_FIELDS = MAX_EVENTS_PER_SPAN * FIELDS_OF_EVENT


class SpanSink(Protocol):
    """What a running span reports to: the recorder."""

    @property
    def clock(self) -> Callable[[], float]:
        """The member's monotonic clock, in seconds."""
        ...

    def on_span_failed(self, trace: OpenTrace) -> None:
        """A span of the trace has status ERROR."""
        ...

    def on_trace_idle(self, trace: OpenTrace) -> None:
        """The last open span of the trace ended."""
        ...

    def on_trace_full(self, trace: OpenTrace) -> None:
        """The trace buffers `MAX_ENDED_SPANS` ended spans, and others run on."""
        ...

    def on_context_sent(self, trace: OpenTrace) -> None:
        """The context of the trace is sent to another member."""
        ...


@attrs.define(slots=True, eq=False)
class OpenTrace:
    """Spans of one trace that this member made and has not sent or dropped yet.

    Attributes
    ----------
    trace_id : 32 lower-case hexadecimal digits.
    ingress : the member that has the root; empty when not known.
    is_ingress : this member minted the trace and has its root.
    sampled, probability : the head decision, and the probability it was drawn with.
    flushed_at : when ended spans or an open-root marker were last sent.
    is_known : the recorder can find the trace by its identifier.
    promoted : an unsampled trace that turned out ERROR, and is sent like a sampled one.
    error : a span had status ERROR.
    root_ended : the root span ended.
    participants : members that were given the context.
    """

    trace_id: TraceId
    replicator: SpanSink
    ingress: MemberId
    sampled: bool
    probability: float
    flushed_at: float
    is_ingress: bool = True
    promoted: bool = False
    is_known: bool = False
    error: bool = False
    root_ended: bool = False
    open_spans: int = 0
    ended: list[OpenSpan] = attrs.field(factory=list)
    participants: set[MemberId] | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the trace's spans go to its collector."""
        return self.sampled or self.promoted


@attrs.define(slots=True, eq=False)
class OpenSpan:
    """A span: the handle its maker adds attributes and events to, and what its children inherit.

    `number` and `parent_number` are span identifiers as numbers; the root has no parent.
    """

    trace: OpenTrace
    number: int
    parent_number: int | None
    name: str
    start_s: float
    attributes: Attributes
    events: list[Any] | None = None
    duration_s: float = OPEN_S
    failure: str = ""

    @property
    def context(self) -> OpenSpan:
        """The context that children of this span are started with: the span itself."""
        return self

    @property
    def trace_id(self) -> TraceId:
        """32 lower-case hexadecimal digits."""
        return self.trace.trace_id

    @property
    def span_id(self) -> str:
        """16 lower-case hexadecimal digits."""
        return span_id_text(self.number)

    @property
    def sampled(self) -> bool:
        """The head decision of the trace."""
        return self.trace.sampled

    @property
    def probability(self) -> float:
        """The probability of the head decision."""
        return self.trace.probability

    @property
    def ingress(self) -> MemberId:
        """The member that has the root."""
        return self.trace.ingress

    def header(self) -> str:
        """Return the context as one line for other members."""
        trace = self.trace
        trace.replicator.on_context_sent(trace)
        return TraceContext(
            trace.trace_id, self.span_id, trace.sampled, trace.probability, trace.ingress
        ).header()

    def header_for(self, member: MemberId) -> str:
        """Return the header for `member`, which is notified if the trace is promoted."""
        trace = self.trace
        trace.participants = (trace.participants or set()) | {member}
        return self.header()

    def set(self, name: str, value: AttributeValue) -> None:
        """Set one attribute; long text is truncated when it is sent."""
        self.attributes[name] = value

    def event(self, name: str, **attributes: AttributeValue) -> None:
        """Record something that happened now; beyond the limit events are only counted."""
        events = self.events
        if events is None:
            self.events = [name, self.trace.replicator.clock(), attributes]
        elif len(events) < MAX_EVENT_FIELDS:
            events += (name, self.trace.replicator.clock(), attributes)
        else:
            self._count_dropped_event()

    def error(self, message: str) -> None:
        """Give the span status ERROR; the first message stays."""
        if not self.failure:
            self.failure = message[:MAX_TEXT_CHARACTERS] or UNNAMED_ERROR
            self.trace.replicator.on_span_failed(self.trace)

    def end(self) -> None:
        """Finish the span now; a second call does nothing."""
        if self.duration_s != OPEN_S:
            return
        trace = self.trace
        self.duration_s = trace.replicator.clock() - self.start_s
        trace.ended.append(self)
        trace.open_spans -= 1
        if self.parent_number is None:
            trace.root_ended = True
        if not trace.open_spans:
            trace.replicator.on_trace_idle(trace)
        elif len(trace.ended) >= MAX_ENDED_SPANS:
            trace.replicator.on_trace_full(trace)

    def to_row(self, member: MemberId, wall_offset_s: float) -> SpanRow:
        """Return the row that is sent; `wall_offset_s` is wall clock minus monotonic clock."""
        start_s = self.start_s
        parent = self.parent_number
        return (
            f"{self.number:016x}",
            "" if parent is None else f"{parent:016x}",
            self.name,
            member,
            start_s + wall_offset_s,
            start_s,
            self.duration_s,
            self.failure,
            bounded(self.attributes),
            [(name, at - start_s, attributes) for name, at, attributes in self._event_fields()],
        )

    def _event_fields(self) -> Iterator[tuple[str, float, Attributes]]:
        fields = iter(self.events or ())
        return zip(fields, fields, fields, strict=True)

    def _count_dropped_event(self) -> None:
        dropped = self.attributes.get(EVENTS_DROPPED_ATTRIBUTE, 0)
        self.attributes[EVENTS_DROPPED_ATTRIBUTE] = int(dropped) + 1
