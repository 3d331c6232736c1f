"""A retained trace: its chunks, why it was retained, and the fields that searches use."""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import ROW_OVERHEAD_BYTES as CHUNK_OVERHEAD_BYTES
from zincvale.tracing.chunks import TraceChunk
from zincvale.tracing.collector.policies import ERROR_POLICY, Verdict, weight
from zincvale.tracing.recorder.spans import Span, decode_spans, subject_of

ROW_OVERHEAD_BYTES = 1000
"""Memory of a retained trace and its index entries beyond its bodies, measured by
bench/tracing_bench.py."""
MAX_RETAINED_TRACE_BYTES = 2 * 1024 * 1024
"""Maximum bytes of bodies stored for one trace; the bytes of later bodies are only counted."""


@attrs.define(slots=True, eq=False)
class RetainedTrace:
    """One trace in the store of retained traces.

    Attributes
    ----------
    policy, weight : why it is retained, and how many traces it represents (0.0: not known).
    primary : the member that decided the trace, or took it over; the member of this store unless
        this is a replica.
    replica_member : the member that confirmed a replica; empty while there is none.
    name : name of the root span: `request` or `order`.
    request_id : identifier of the request or of the order.
    dropped_bytes : bytes of late spans that were dropped because of `MAX_RETAINED_TRACE_BYTES`.
    """

    trace_id: TraceId
    policy: str
    weight: float
    probability: float
    retained_wall_s: float
    primary: MemberId
    replica_member: MemberId = MemberId("")
    chunks: list[TraceChunk] = attrs.field(factory=list)
    body_bytes: int = 0
    dropped_bytes: int = 0
    name: str = ""
    request_id: str = ""
    route: str = ""
    outcome: str = ""
    servers: set[str] = attrs.field(factory=set)
    start_wall_s: float = 0.0
    duration_ms: float = -1.0
    error: str = ""

    @property
    def is_error(self) -> bool:
        """Whether the trace is retained for a span with status ERROR."""
        return self.policy == ERROR_POLICY

    @property
    def size_bytes(self) -> int:
        """Memory that the trace counts for in the byte budget."""
        return self.body_bytes + ROW_OVERHEAD_BYTES + CHUNK_OVERHEAD_BYTES * len(self.chunks)

    def spans(self) -> list[Span]:
        """Return the spans in the order of their start times."""
        spans = [span for chunk in self.chunks for span in decode_spans(chunk.body)]
        return sorted(spans, key=lambda span: span.start_wall_s)

    def add(self, chunk: TraceChunk) -> bool:
        """Add a chunk; return False when it is already stored or the trace is too large for it."""
        for stored in self.chunks:
            if stored.sequence == chunk.sequence and stored.origin == chunk.origin:
                return False
        if self.body_bytes + len(chunk.body) > MAX_RETAINED_TRACE_BYTES:
            self.dropped_bytes += len(chunk.body)
            return False
        self.chunks.append(chunk)
        self.body_bytes += len(chunk.body)
        self.probability = max(self.probability, chunk.probability)
        for span in decode_spans(chunk.body):
            self._index(span)
        return True

    def revise(self, verdict: Verdict, is_error: bool) -> None:
        """Adopt the policy and weight of a verdict with a lower weight, such as a late ERROR."""
        new_weight = weight(verdict, self.probability, is_error)
        has_no_weight = self.weight <= 0.0
        is_stronger = 0.0 < new_weight < self.weight
        if has_no_weight or is_stronger or (is_error and not self.is_error):
            self.policy = verdict.policy
            self.weight = new_weight

    def _index(self, span: Span) -> None:
        attributes = span.attributes
        server = attributes.get("server")
        if server:
            self.servers.add(str(server))
        if span.failure and not self.error:
            self.error = span.failure
        if span.is_root:
            self.name = span.name
            self.request_id = subject_of(attributes)
            self.route = str(attributes.get("route", ""))
            self.outcome = str(attributes.get("outcome", ""))
            self.duration_ms = span.duration_s * 1000.0
            self.start_wall_s = span.start_wall_s
        elif not self.start_wall_s:
            self.start_wall_s = span.start_wall_s

    def summary(self) -> dict[str, Any]:
        """Return the fields that a search shows, without the spans."""
        return {
            "trace_id": self.trace_id,
            "name": self.name,
            "request_id": self.request_id,
            "route": self.route,
            "servers": sorted(self.servers),
            "outcome": self.outcome,
            "error": self.error,
            "start": self.start_wall_s,
            "duration_ms": self.duration_ms if self.duration_ms >= 0.0 else None,
            "policy": self.policy,
            "weight": self.weight,
            "probability": self.probability,
            "holder": self.primary,
            "copied_to": self.replica_member,
            "dropped_bytes": self.dropped_bytes,
        }

    def to_json(self) -> dict[str, Any]:
        """Return the whole trace as the trace API returns it."""
        return {**self.summary(), "spans": [span.to_json() for span in self.spans()]}
