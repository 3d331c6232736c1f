"""Backups of the chunks that another member collects itself, in case that member is lost."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import TraceChunk


@attrs.define(slots=True)
class Backup:
    """The backed-up chunks of one trace; `updated_at` is when the last one came."""

    chunks: list[TraceChunk] = attrs.field(factory=list)
    updated_at: float = 0.0


@attrs.define(slots=True)
class BackupStore:
    """Backups by trace, the least recently updated first, within a byte budget."""

    budget_bytes: int
    retention_s: float
    size_bytes: int = 0
    _rows: OrderedDict[TraceId, Backup] = attrs.field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, chunk: TraceChunk, now: float) -> None:
        """Store one more chunk."""
        row = self._rows.setdefault(chunk.trace_id, Backup())
        self._rows.move_to_end(chunk.trace_id)
        row.chunks.append(chunk)
        row.updated_at = now
        self.size_bytes += chunk.size_bytes
        while self.size_bytes > self.budget_bytes:
            self.drop(next(iter(self._rows)))

    def drop(self, trace_id: TraceId) -> list[TraceChunk]:
        """Remove and return the chunks of a trace."""
        row = self._rows.pop(trace_id, None)
        if row is None:
            return []
        self.size_bytes -= sum(chunk.size_bytes for chunk in row.chunks)
        return row.chunks

    def take_of(self, members: frozenset[MemberId]) -> list[TraceChunk]:
        """Remove and return what is stored for lost members."""
        orphans = [
            trace_id for trace_id, row in self._rows.items() if row.chunks[0].origin in members
        ]
        return [chunk for trace_id in orphans for chunk in self.drop(trace_id)]

    def expire(self, now: float) -> None:
        """Drop what got no new chunk for `retention_s`: its trace was decided by then."""
        while self._rows:
            trace_id, row = next(iter(self._rows.items()))
            if now - row.updated_at < self.retention_s:
                return
            self.drop(trace_id)
