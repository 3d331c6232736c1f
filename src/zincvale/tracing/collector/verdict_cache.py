"""Verdicts of traces that were decided lately, for spans that come late."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.model.identifiers import MemberId, TraceId

DROPPED = MemberId("")
"""Stands for a trace that every policy abstained from."""
MAX_VERDICTS = 50_000


@attrs.define(slots=True)
class VerdictCache:
    """Which member holds each decided trace, or `DROPPED`; the oldest are forgotten first."""

    limit: int = MAX_VERDICTS
    _holder_by_trace: OrderedDict[TraceId, MemberId] = attrs.field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._holder_by_trace)

    def holder(self, trace_id: TraceId) -> MemberId | None:
        """Return the holder, `DROPPED`, or None for a trace that is not remembered."""
        return self._holder_by_trace.get(trace_id)

    def remember(self, trace_id: TraceId, holder: MemberId) -> None:
        """Take a verdict."""
        self._holder_by_trace[trace_id] = holder
        if len(self._holder_by_trace) > self.limit:
            self._holder_by_trace.popitem(last=False)

    def forget(self, trace_id: TraceId) -> None:
        """Drop a verdict that is revised."""
        self._holder_by_trace.pop(trace_id, None)

    def kept_by(self, holder: MemberId) -> list[TraceId]:
        """Return the remembered traces that `holder` keeps, oldest first."""
        return [trace_id for trace_id, member in self._holder_by_trace.items() if member == holder]

    def forget_holders(self, members: frozenset[MemberId]) -> None:
        """Drop the verdicts whose holder was lost: late spans are judged afresh."""
        lost = [trace_id for trace_id, member in self._holder_by_trace.items() if member in members]
        for trace_id in lost:
            del self._holder_by_trace[trace_id]
