"""Builders of chunks, collector tables and recorders for the tests of tracing."""

from __future__ import annotations

import random
from typing import Any

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import TraceChunk, decode_chunks
from zincvale.tracing.config import TracingConfig
from zincvale.tracing.messages import SpanBatch
from zincvale.tracing.ownership import CollectorTable
from zincvale.tracing.recorder.recorder import SpanRecorder
from zincvale.tracing.recorder.spans import Span, encode_rows

HERE = MemberId("node-1")
OTHER = MemberId("node-2")
WALL_S = 1_750_000_000.0


def trace_id(number: int) -> TraceId:
    return TraceId(f"{random.Random(number).getrandbits(128):032x}")


def make_chunk(number: int, sequence: int = 1, **fields: Any) -> TraceChunk:
    """Return a chunk of trace `number`; by default that of a fast request without an error."""
    error = fields.get("error", False)
    root_ms = fields.get("root_ms", 20.0)
    span = Span("aa", "", "request", HERE, WALL_S + number, 1.0, root_ms / 1000.0)
    span.failure = "failed" if error else ""
    span.attributes.update({"request_id": f"r-{number:04}", "route": "quotes"})
    values: dict[str, Any] = {
        "origin": HERE,
        "sampled": True,
        "probability": 1.0,
        "error": error,
        "root_ms": root_ms,
        "root_open": False,
        "span_count": 1,
        "request_id": f"r-{number:04}",
        "body": encode_rows([span.to_row()]),
    }
    values.update(fields)
    return TraceChunk(trace_id(number), sequence=sequence, **values)


def collector_table(*members: MemberId) -> CollectorTable:
    collectors = CollectorTable()
    collectors.apply(frozenset(members))
    return collectors


def owned_by(member: MemberId, collectors: CollectorTable, count: int = 1) -> list[int]:
    """Return the numbers of `count` traces that `member` collects."""
    numbers = [n for n in range(60 * count) if collectors.owner(trace_id(n)) == member]
    return numbers[:count]


def sequences(message: SpanBatch) -> list[int]:
    return [chunk.sequence for chunk in decode_chunks(message.evidence, message.bodies)]


class Recording:
    """A span recorder whose clock the test sets, with the chunks and messages that it emitted."""

    def __init__(self, rate: float | None = 1.0, seed: int = 5, **config: Any) -> None:
        self.now = 100.0
        self.chunks: list[TraceChunk] = []
        self.sent: list[tuple[MemberId, Any]] = []
        self.recorder = SpanRecorder(
            HERE,
            random.Random(seed),
            lambda: self.now,
            lambda: WALL_S + self.now,
            TracingConfig(**config),
            self.chunks.append,
            lambda to, message: self.sent.append((to, message)),
        )
        if rate is not None:
            self.recorder.limiter.set_rate(rate)
