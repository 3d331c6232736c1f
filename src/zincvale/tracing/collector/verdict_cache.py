"""Verdicts of recently decided traces, for spans that arrive late."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.model.identifiers import MemberId, TraceId

DROPPED = MemberId("")
"""Value in place of the primary for a trace that no policy retained."""
MAX_VERDICTS = 50_000
"""Maximum number of cached verdicts."""


@attrs.define(slots=True)
class VerdictCache:
    """The primary of each decided trace, or `DROPPED`; the oldest verdicts are evicted first."""

    limit: int = MAX_VERDICTS
    _primary_by_trace: OrderedDict[TraceId, MemberId] = attrs.field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._primary_by_trace)

    def primary(self, trace_id: TraceId) -> MemberId | None:
        """Return the primary, `DROPPED`, or None for a trace whose verdict is not cached."""
        return self._primary_by_trace.get(trace_id)

    def remember(self, trace_id: TraceId, primary: MemberId) -> None:
        """Store a verdict; beyond `limit` the oldest is evicted."""
        self._primary_by_trace[trace_id] = primary
        if len(self._primary_by_trace) > self.limit:
            self._primary_by_trace.popitem(last=False)

    def forget(self, trace_id: TraceId) -> None:
        """Remove the verdict on a trace, so that it is evaluated again."""
        self._primary_by_trace.pop(trace_id, None)

    def retained_by(self, primary: MemberId) -> list[TraceId]:
        """Return the cached traces whose primary is `primary`, oldest first."""
        return [
            trace_id for trace_id, member in self._primary_by_trace.items() if member == primary
        ]

    def forget_primaries(self, members: frozenset[MemberId]) -> None:
        """Remove the verdicts whose primary was lost; late spans are then evaluated again."""
        lost = [
            trace_id for trace_id, member in self._primary_by_trace.items() if member in members
        ]
        for trace_id in lost:
            del self._primary_by_trace[trace_id]
