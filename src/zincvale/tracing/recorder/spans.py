"""Finished spans and their compact body.

A body is a JSON array of rows, written by `orjson`; messages carry it as opaque bytes, and only
retained traces are ever read back. Row: `[span_id, parent_id, name, member, start_wall_s, start_s,
duration_s, failure, attributes, events]` with events `[name, offset_s, attributes]`.
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
"""One span as it is sent; the columns stand in this module's docstring."""

ROOT_PARENT = ""
MS_PER_S = 1000.0
MAX_BODY_BYTES = 128 * 1024
MAX_SPANS_OF_LONG_BODY = 64
MAX_ATTRIBUTES_OF_LONG_BODY = 24
MAX_TEXT_CHARACTERS = 512
SUBJECT_ATTRIBUTES = ("request_id", "order_id")
TRUNCATED_ATTRIBUTE = "truncated_spans_of"


class SpanStatus(enum.Enum):
    """Whether the operation of a span failed."""

    OK = "OK"
    ERROR = "ERROR"


@attrs.define(slots=True)
class SpanEvent:
    """Something that happened during a span, `offset_s` seconds after its start."""

    name: str
    offset_s: float
    attributes: Attributes


@attrs.define(slots=True)
class Span:
    """One finished operation of a trace.

    Attributes
    ----------
    parent_id : the parent's span identifier; `ROOT_PARENT` for the root.
    member : the daemon that made the span.
    start_wall_s : seconds since the epoch, for people.
    start_s, duration_s : on the member's monotonic clock.
    failure : what failed; empty for status OK.
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
        """The span's status."""
        return SpanStatus.ERROR if self.failure else SpanStatus.OK

    @property
    def is_root(self) -> bool:
        """Whether the span is the root of its trace."""
        return self.parent_id == ROOT_PARENT

    def to_row(self) -> SpanRow:
        """Return the span as it is sent."""
        events = [(event.name, event.offset_s, event.attributes) for event in self.events]
        fields = attrs.astuple(self, recurse=False)
        return (*fields[:-1], events)

    def to_json(self) -> dict[str, Any]:
        """Return the span as the trace API shows it."""
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


def bounded(attributes: Attributes) -> Attributes:
    """Return the attributes with long text truncated."""
    for value in attributes.values():
        if type(value) is str and len(value) > MAX_TEXT_CHARACTERS:
            return {name: _truncated(value) for name, value in attributes.items()}
    return attributes


def _truncated(value: AttributeValue) -> AttributeValue:
    return value[:MAX_TEXT_CHARACTERS] if isinstance(value, str) else value


def subject_of(attributes: Attributes) -> str:
    """Return the subject of a root span: the identifier of its request or order."""
    for name in SUBJECT_ATTRIBUTES:
        value = attributes.get(name)
        if value:
            return str(value)[:MAX_TEXT_CHARACTERS]
    return ""


def encode_rows(rows: list[SpanRow]) -> bytes:
    """Return the body that holds the spans in `rows`.

    An attribute that JSON cannot hold (a lone surrogate, an integer over 64 bits) is written as
    text, and a body that would be too long loses its events: a span never fails the request that
    made it.
    """
    try:
        body = orjson.dumps(rows)
    except TypeError:
        body = orjson.dumps([_as_text(row) for row in rows])
    if len(body) > MAX_BODY_BYTES:
        body = orjson.dumps([_bare(row, len(rows)) for row in rows[:MAX_SPANS_OF_LONG_BODY]])
    # orjson leaves its buffer several times too large, and bodies are retained for a long time.
    return bytes(memoryview(body))


def _as_text(row: SpanRow) -> SpanRow:
    *ids, name, member, start_wall_s, start_s, duration_s, failure, attributes, events = row
    texts = [(event, at, _texts(values)) for event, at, values in events]
    times = (start_wall_s, start_s, duration_s)
    return (*ids, ascii(name), member, *times, ascii(failure), _texts(attributes), texts)


def _texts(attributes: Attributes) -> Attributes:
    return {ascii(name)[1:-1]: ascii(value) for name, value in attributes.items()}


def _bare(row: SpanRow, span_count: int) -> SpanRow:
    *others, attributes, _ = row
    first_attributes = dict(list(attributes.items())[:MAX_ATTRIBUTES_OF_LONG_BODY])
    first_attributes[TRUNCATED_ATTRIBUTE] = span_count
    return (*others, first_attributes, [])


def decode_spans(body: bytes) -> list[Span]:
    """Return the spans in a body."""
    return [_read_row(row) for row in orjson.loads(body)]


def _read_row(row: list[Any]) -> Span:
    row[-1] = [SpanEvent(*event) for event in row[-1]]
    return Span(*row)
