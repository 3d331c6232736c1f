"""Finished spans and their encoding as the body of a chunk.

A body is a JSON array of rows, written by `orjson`; messages carry it as opaque bytes, and only the
bodies of retained traces and of traces in API responses are decoded. Row:
`[span_id, parent_id, name, member, start_wall_s, start_s, duration_s, failure, attributes, events]`
with events `[name, offset_s, attributes]`.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs
import orjson

from zincvale.model.identifiers import MemberId

AttributeValue = str | int | float | bool
Attributes = dict[str, AttributeValue]
SpanRow = tuple[Any, ...]
"""One encoded span; the docstring of this module lists the columns."""

ROOT_PARENT = ""
"""`parent_id` of the root span."""
MS_PER_S = 1000.0
MAX_BODY_BYTES = 128 * 1024
"""A longer body is encoded again without events and with fewer spans and attributes."""
MAX_SPANS_OF_LONG_BODY = 64
MAX_ATTRIBUTES_OF_LONG_BODY = 24
MAX_TEXT_CHARACTERS = 512
"""Attribute values and error messages are truncated to this length."""
SUBJECT_ATTRIBUTES = ("request_id", "order_id")
TRUNCATED_ATTRIBUTE = "truncated_spans_of"
"""Attribute that gives the number of spans in a body before it was truncated."""


class SpanStatus(enum.Enum):
    """Whether the operation of a span failed."""

    OK = "OK"
    ERROR = "ERROR"


@attrs.define(slots=True)
class SpanEvent:
    """An event of a span, `offset_s` seconds after the span's start."""

    name: str
    offset_s: float
    attributes: Attributes


@attrs.define(slots=True)
class Span:
    """One finished operation of a trace.

    Attributes
    ----------
    parent_id : the parent's span identifier; `ROOT_PARENT` for the root.
    member : the member that recorded the span.
    start_wall_s : start time in seconds since the epoch.
    start_s, duration_s : start and duration on the member's monotonic clock.
    failure : error message; empty for status OK.
    """

    span_id: str
    parent_id: str
    name: str
    member: MemberId
    start_wall_s: float
    start_s: float
    duration_s: float = 0.0
    failure: str = ""
    attributes: Attributes = attrs.field(factory=dict)
    events: list[SpanEvent] = attrs.field(factory=list)

    @property
    def status(self) -> SpanStatus:
        """ERROR when the span has an error message, else OK."""
        return SpanStatus.ERROR if self.failure else SpanStatus.OK

    @property
    def is_root(self) -> bool:
        """Whether the span is the root of its trace."""
        return self.parent_id == ROOT_PARENT

    def to_row(self) -> SpanRow:
        """Return the span as a row of a body."""
        events = [(event.name, event.offset_s, event.attributes) for event in self.events]
        fields = attrs.astuple(self, recurse=False)
        return (*fields[:-1], events)

    def to_json(self) -> dict[str, Any]:
        """Return the span as the trace API returns it."""
        return {
            "span_id": self.span_id,
            "parent_id": self.parent_id,
            "name": self.name,
            "member": self.member,
            "start": self.start_wall_s,
            "start_monotonic_s": self.start_s,
            "duration_ms": self.duration_s * MS_PER_S,
            "status": self.status.value,
            "error": self.failure,
            "attributes": self.attributes,
            "events": [attrs.asdict(event) for event in self.events],
        }


def truncate_texts(attributes: Attributes) -> Attributes:
    """Return the attributes with long text truncated."""
    for value in attributes.values():
        if type(value) is str and len(value) > MAX_TEXT_CHARACTERS:
            return {name: _truncated_value(value) for name, value in attributes.items()}
    return attributes


def _truncated_value(value: AttributeValue) -> AttributeValue:
    return value[:MAX_TEXT_CHARACTERS] if isinstance(value, str) else value


def subject_of(attributes: Attributes) -> str:
    """Return the identifier of the request or order in the attributes of a root span."""
    for name in SUBJECT_ATTRIBUTES:
        value = attributes.get(name)
        if value:
            return str(value)[:MAX_TEXT_CHARACTERS]
    return ""


def encode_rows(rows: list[SpanRow]) -> bytes:
    """Return the body that holds the spans in `rows`.

    When JSON cannot represent an attribute (a lone surrogate, an integer of more than 64 bits),
    names and values are written as ASCII text. A body over `MAX_BODY_BYTES` is truncated. In this
    way a span never fails the request that recorded it.
    """
    try:
        body = orjson.dumps(rows)
    except TypeError:
        body = orjson.dumps([_row_as_text(row) for row in rows])
    if len(body) > MAX_BODY_BYTES:
        body = orjson.dumps(
            [_truncated_row(row, len(rows)) for row in rows[:MAX_SPANS_OF_LONG_BODY]]
        )
    # Copy: orjson over-allocates its buffer several times, and bodies are retained for a long time.
    return bytes(memoryview(body))


def _row_as_text(row: SpanRow) -> SpanRow:
    *ids, name, member, start_wall_s, start_s, duration_s, failure, attributes, events = row
    text_events = [(event, at, _attributes_as_text(values)) for event, at, values in events]
    times = (start_wall_s, start_s, duration_s)
    return (
        *ids,
        ascii(name),
        member,
        *times,
        ascii(failure),
        _attributes_as_text(attributes),
        text_events,
    )


def _attributes_as_text(attributes: Attributes) -> Attributes:
    return {ascii(name)[1:-1]: ascii(value) for name, value in attributes.items()}


def _truncated_row(row: SpanRow, span_count: int) -> SpanRow:
    *others, attributes, _ = row
    first_attributes = dict(list(attributes.items())[:MAX_ATTRIBUTES_OF_LONG_BODY])
    first_attributes[TRUNCATED_ATTRIBUTE] = span_count
    return (*others, first_attributes, [])


def decode_spans(body: bytes) -> list[Span]:
    """Return the spans in a body."""
    return [_span_of_row(row) for row in orjson.loads(body)]


def _span_of_row(row: list[Any]) -> Span:
    row[-1] = [SpanEvent(*event) for event in row[-1]]
    return Span(*row)
