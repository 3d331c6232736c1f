"""Chunks: the spans of one trace that one member ends together, with the evidence for its verdict.

The evidence is what the policy chain needs, so that a collector decides without reading the body.
`encode_chunks` frames many chunks for one message: a JSON array of evidence rows and the bodies
back to back.
"""

from __future__ import annotations

import attrs
import orjson

from zincvale.model.identifiers import MemberId, TraceId

NO_ROOT_MS = -1.0
LONG_ROOT_MS = 5000.0
"""Roots that run this long send open-root markers."""
LENGTH_COLUMN = 10
"""Where an evidence row holds the length of the body, and a chunk the body."""
ROW_OVERHEAD_BYTES = 700
"""Measured memory of a chunk and its table entries beyond its body (bench/tracing_bench.py)."""


@attrs.define(slots=True)
class TraceChunk:
    """Some ended spans of one trace, from one member.

    Attributes
    ----------
    origin, sequence : identify the chunk, also when it is sent twice or through another member.
    sampled, probability : head decision of the trace and its probability (0.0: not known).
    error : whether a span in the body has status ERROR.
    root_ms : duration of the root span if it is in the body, else `NO_ROOT_MS`.
    root_open : the root runs on at `origin` while this chunk leaves: wait for more.
    waited_s : how long a collector already had the chunk before it transferred it.
    hops : members that forwarded the chunk because it belonged to another collector.
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
        """Memory the chunk is counted with."""
        return len(self.body) + ROW_OVERHEAD_BYTES


def encode_chunks(chunks: list[TraceChunk]) -> tuple[bytes, bytes]:
    """Return the evidence rows and the joined bodies of `chunks`."""
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
    """Return the chunks that `encode_chunks` framed."""
    chunks = []
    start = 0
    for row in orjson.loads(evidence):
        end = start + row[LENGTH_COLUMN]
        row[LENGTH_COLUMN] = bodies[start:end]
        chunks.append(TraceChunk(*row))
        start = end
    return chunks
