"""Undecided traces of the collector, and its totals."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import NO_ROOT_MS, TraceChunk


@attrs.define(slots=True, eq=False)
class PendingTrace:
    """A trace that the collector has not decided yet.

    Attributes
    ----------
    open_until : the root counts as open until this time unless another open-root marker arrives;
        0.0 while no marker says that it is open.
    ingress : the member that has the open root.
    """

    trace_id: TraceId
    first_seen_at: float
    chunks: list[TraceChunk]
    error: bool = False
    root_ms: float = NO_ROOT_MS
    open_until: float = 0.0
    ingress: MemberId = MemberId("")


@attrs.define(slots=True)
class CollectorStats:
    """Totals since the start, for metrics."""

    chunks: int = 0
    duplicates: int = 0
    decided: int = 0
    kept: int = 0
    decided_early: int = 0
    extended: int = 0
    late_kept: int = 0
    late_dropped: int = 0
    revised: int = 0
    passed_on: int = 0
