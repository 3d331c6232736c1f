"""Open traces of this member and the spans that its code records.

This code runs for every request, sampled or not, and avoids allocations: identifiers are numbers
until they are sent, events are stored flat in one list, and a span is its own context.
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
    truncate_texts,
)

MAX_EVENTS_PER_SPAN = 512
MAX_ENDED_SPANS = 64
"""Maximum number of ended spans that one trace buffers while other spans of it are open."""
EVENTS_DROPPED_ATTRIBUTE = "events_dropped"
"""Attribute that counts the events dropped beyond `MAX_EVENTS_PER_SPAN`."""
UNNAMED_ERROR = "error"
"""Stored in place of an empty error message."""
OPEN_S = -1.0
"""Duration of a span that has not ended yet."""

FIELDS_OF_EVENT = 3
"""Elements of the flat event list for each event: its name, time on the member's monotonic clock,
and attributes."""
MAX_EVENT_FIELDS = MAX_EVENTS_PER_SPAN * FIELDS_OF_EVENT


class SpanSink(Protocol):
    """The recorder, as open spans use it."""

    @property
    def clock(self) -> Callable[[], float]:
        """The member's monotonic clock, in seconds."""
        ...

    def on_span_failed(self, trace: OpenTrace) -> None:
        """Called when a span of the trace gets status ERROR."""
        ...

    def on_trace_idle(self, trace: OpenTrace) -> None:
        """Called when the last open span of the trace has ended."""
        ...

    def on_trace_full(self, trace: OpenTrace) -> None:
        """Called when the trace has `MAX_ENDED_SPANS` ended spans while others are open."""
        ...

    def on_context_sent(self, trace: OpenTrace) -> None:
        """Called when the context of the trace is sent to another member."""
        ...


@attrs.define(slots=True, eq=False)
class OpenTrace:
    """Spans of one trace that this member recorded and has not sent or dropped yet.

    Attributes
    ----------
    trace_id : 32 lower-case hexadecimal digits.
    ingress : the member that has the root; empty when not known.
    is_ingress : this member started the trace and has its root.
    sampled, probability : the head decision, and the probability of being sampled that it was drawn
        with.
    flushed_at : when ended spans or an open-root marker were last sent.
    is_known : the trace is registered in the recorder's table, which finds it by its identifier.
    promoted : the trace is not sampled but has an ERROR, so it is sent like a sampled one.
    error : a span of the trace has status ERROR.
    root_ended : the root span has ended.
    participants : members that were sent the context; None for none.
    """

    trace_id: TraceId
    sink: SpanSink
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
        """Whether the spans of the trace are sent to its collector."""
        return self.sampled or self.promoted


@attrs.define(slots=True, eq=False)
class OpenSpan:
    """A span: records attributes and events, and is the context that its children inherit.

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
        """The probability of being sampled that the head decision was drawn with."""
        return self.trace.probability

    @property
    def ingress(self) -> MemberId:
        """The member that has the root of the trace."""
        return self.trace.ingress

    def header(self) -> str:
        """Return the context as a header line for other members."""
        trace = self.trace
        trace.sink.on_context_sent(trace)
        return TraceContext(
            trace.trace_id, self.span_id, trace.sampled, trace.probability, trace.ingress
        ).header()

    def header_for(self, member: MemberId) -> str:
        """Return the header for `member`, which is notified if the trace is promoted."""
        trace = self.trace
        trace.participants = (trace.participants or set()) | {member}
        return self.header()

    def set(self, name: str, value: AttributeValue) -> None:
        """Set one attribute; long text is truncated when the span is sent."""
        self.attributes[name] = value

    def event(self, name: str, **attributes: AttributeValue) -> None:
        """Record an event that happens now; beyond the limit events are only counted."""
        events = self.events
        if events is None:
            self.events = [name, self.trace.sink.clock(), attributes]
        elif len(events) < MAX_EVENT_FIELDS:
            events += (name, self.trace.sink.clock(), attributes)
        else:
            self._count_dropped_event()

    def error(self, message: str) -> None:
        """Set status ERROR and its message; later messages are ignored."""
        if not self.failure:
            self.failure = message[:MAX_TEXT_CHARACTERS] or UNNAMED_ERROR
            self.trace.sink.on_span_failed(self.trace)

    def end(self) -> None:
        """End the span now; a second call has no effect."""
        if self.duration_s != OPEN_S:
            return
        trace = self.trace
        self.duration_s = trace.sink.clock() - self.start_s
        trace.ended.append(self)
        trace.open_spans -= 1
        if self.parent_number is None:
            trace.root_ended = True
        if not trace.open_spans:
            trace.sink.on_trace_idle(trace)
        elif len(trace.ended) >= MAX_ENDED_SPANS:
            trace.sink.on_trace_full(trace)

    def to_row(self, member: MemberId, wall_offset_s: float) -> SpanRow:
        """Return the span as a row of a body; `wall_offset_s` is wall minus monotonic clock."""
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
            truncate_texts(self.attributes),
            [(name, at - start_s, attributes) for name, at, attributes in self._event_fields()],
        )

    def _event_fields(self) -> Iterator[tuple[str, float, Attributes]]:
        fields = iter(self.events or ())
        return zip(fields, fields, fields, strict=True)

    def _count_dropped_event(self) -> None:
        dropped = self.attributes.get(EVENTS_DROPPED_ATTRIBUTE, 0)
        self.attributes[EVENTS_DROPPED_ATTRIBUTE] = int(dropped) + 1
