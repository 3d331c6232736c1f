"""Trace identifiers and the context that child spans inherit.

The head decision is drawn from the low 64 bits of the trace identifier and sent in the sampled
bit of the header. As in consistent probability sampling, the header also carries the probability
that it was drawn with, so that a retained trace can be weighted by the inverse of its selection
probability.
"""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId, TraceId

LOW_BITS_HEX_DIGITS = 16
LOW_BITS_RANGE = 2**64
TRACE_ID_HEX_DIGITS = 32
SPAN_ID_HEX_DIGITS = 16
TRACEPARENT_FIELDS = 4
"""Version, trace identifier, parent span and flags (W3C Trace Context, section 3.2)."""
HEADER_VERSION = "00"
SAMPLED_FLAGS = "01"
UNSAMPLED_FLAGS = "00"


@attrs.frozen(slots=True)
class TraceContext:
    """A span's place in a trace, as the header of another member gives it.

    Attributes
    ----------
    sampled : the head decision of the whole trace.
    probability : the probability of being sampled that the decision was drawn with; 0.0 means not
        known.
    ingress : the member that started the trace; empty means not known.
    """

    trace_id: TraceId
    span_id: str
    sampled: bool
    probability: float = 0.0
    ingress: MemberId = MemberId("")

    def header(self) -> str:
        """Return the context as one line: W3C `traceparent`, then `p=` and `e=` fields."""
        flags = SAMPLED_FLAGS if self.sampled else UNSAMPLED_FLAGS
        parent = f"{HEADER_VERSION}-{self.trace_id}-{self.span_id}-{flags}"
        return f"{parent};p={self.probability!r};e={self.ingress}"


def parse_context(header: str) -> TraceContext | None:
    """Return the context in a header line, or None when the line is malformed."""
    parent, *fields = header.split(";")
    parts = parent.split("-")
    if len(parts) != TRACEPARENT_FIELDS:
        return None
    _, trace_id, span_id, flags = parts
    if not _is_hex(trace_id, TRACE_ID_HEX_DIGITS) or not _is_hex(span_id, SPAN_ID_HEX_DIGITS):
        return None
    values = dict(field.partition("=")[::2] for field in fields)
    try:
        probability = float(values.get("p", "0"))
    except ValueError:
        return None
    return TraceContext(
        TraceId(trace_id),
        span_id,
        flags == SAMPLED_FLAGS,
        probability,
        MemberId(values.get("e", "")),
    )


def _is_hex(text: str, digits: int) -> bool:
    return len(text) == digits and all(digit in "0123456789abcdef" for digit in text)


def span_id_text(number: int) -> str:
    """Return a span identifier as 16 hexadecimal digits."""
    return f"{number:016x}"


def low_bits(trace_id: str) -> int:
    """Return the low 64 bits of a trace identifier."""
    return int(trace_id[-LOW_BITS_HEX_DIGITS:], 16)
