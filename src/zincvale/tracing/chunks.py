"""Chunks: spans of one trace that one member sends together, with the evidence for its verdict.

The evidence is what the policy chain needs, so that a collector decides without reading the body.
`encode_chunks` encodes many chunks for one message: a JSON array of evidence rows, and the
concatenated bodies.
"""

from __future__ import annotations

import attrs
import orjson

from zincvale.model.identifiers import MemberId, TraceId

NO_ROOT_MS = -1.0
"""Root duration of a chunk without the root span."""
LONG_ROOT_MS = 5000.0
"""Duration from which an open root is reported by open-root markers, and from which the chunk with
the root is backed up."""
BODY_LENGTH_COLUMN = 10
"""Index of the body's length in an evidence row; `TraceChunk` has the body at this position."""
ROW_OVERHEAD_BYTES = 700
"""Memory of a chunk and its table entries beyond its body, measured by bench/tracing_bench.py."""


@attrs.define(slots=True)
class TraceChunk:
    """Ended spans of one trace, recorded by one member.

    Attributes
    ----------
    origin, sequence : the member that recorded the chunk and its number there; together they
        identify the chunk, also when it is sent twice or through another member.
    sampled, probability : head decision of the trace, and the probability of being sampled that it
        was drawn with (0.0: not known).
    error : whether a span in the body has status ERROR.
    root_ms : duration of the root span if it is in the body, else `NO_ROOT_MS`.
    root_open : the root was still open at `origin` when the chunk was sent: more chunks follow.
        Such a chunk is an open-root marker.
    waited_s : how long the trace had waited at a collector that transferred the chunk; else 0.0.
    hops : how many members forwarded the chunk because it belonged to another collector.
    """

    trace_id: TraceId
    origin: MemberId
    sequence: int
    sampled: bool
    probability: float
    error: bool
    root_ms: float
    root_open: bool
    span_count: int
    request_id: str
    body: bytes
    waited_s: float = 0.0
    hops: int = 0

    @property
    def size_bytes(self) -> int:
        """Memory that the chunk counts for in byte budgets."""
        return len(self.body) + ROW_OVERHEAD_BYTES


def encode_chunks(chunks: list[TraceChunk]) -> tuple[bytes, bytes]:
    """Return the evidence rows as JSON, and the concatenated bodies, of `chunks`."""
    rows = [
        (
            chunk.trace_id,
            chunk.origin,
            chunk.sequence,
            chunk.sampled,
            chunk.probability,
            chunk.error,
            chunk.root_ms,
            chunk.root_open,
            chunk.span_count,
            chunk.request_id,
            len(chunk.body),
            chunk.waited_s,
            chunk.hops,
        )
        for chunk in chunks
    ]
    return orjson.dumps(rows), b"".join([chunk.body for chunk in chunks])


def decode_chunks(evidence: bytes, bodies: bytes) -> list[TraceChunk]:
    """Return the chunks that `encode_chunks` encoded."""
    chunks = []
    start = 0
    for row in orjson.loads(evidence):
        end = start + row[BODY_LENGTH_COLUMN]
        row[BODY_LENGTH_COLUMN] = bodies[start:end]
        chunks.append(TraceChunk(*row))
        start = end
    return chunks
