"""Backups of chunks that another member both recorded and collects, in case it is lost."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.model.identifiers import MemberId, TraceId
from zincvale.tracing.chunks import TraceChunk


@attrs.define(slots=True)
class Backup:
    """The backed-up chunks of one trace; `updated_at` is when the last one was added."""

    chunks: list[TraceChunk] = attrs.field(factory=list)
    updated_at: float = 0.0


@attrs.define(slots=True)
class BackupStore:
    """Backups by trace, within a byte budget; the least recently updated are evicted first."""

    budget_bytes: int
    retention_s: float
    size_bytes: int = 0
    _rows: OrderedDict[TraceId, Backup] = attrs.field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, chunk: TraceChunk, now: float) -> None:
        """Store a chunk; above the byte budget evict the least recently updated traces."""
        backup = self._rows.setdefault(chunk.trace_id, Backup())
        self._rows.move_to_end(chunk.trace_id)
        backup.chunks.append(chunk)
        backup.updated_at = now
        self.size_bytes += chunk.size_bytes
        while self.size_bytes > self.budget_bytes:
            self.drop(next(iter(self._rows)))

    def drop(self, trace_id: TraceId) -> list[TraceChunk]:
        """Remove and return the chunks of a trace."""
        backup = self._rows.pop(trace_id, None)
        if backup is None:
            return []
        self.size_bytes -= sum(chunk.size_bytes for chunk in backup.chunks)
        return backup.chunks

    def take_from(self, members: frozenset[MemberId]) -> list[TraceChunk]:
        """Remove and return the chunks whose origin is one of the lost `members`."""
        lost = [
            trace_id
            for trace_id, backup in self._rows.items()
            if backup.chunks[0].origin in members
        ]
        return [chunk for trace_id in lost for chunk in self.drop(trace_id)]

    def expire(self, now: float) -> None:
        """Drop traces without a new chunk for `retention_s`: they were decided by then."""
        while self._rows:
            trace_id, backup = next(iter(self._rows.items()))
            if now - backup.updated_at < self.retention_s:
                return
            self.drop(trace_id)
