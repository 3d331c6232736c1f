"""Bounded table of claims, in the order of their last changes, with expiry."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from sortedcontainers import SortedDict

from zincvale.dataplane.claims.messages import CopiedClaim
from zincvale.dataplane.claims.records import (
    MAX_ENDED_ATTEMPTS,
    ClaimRow,
    ClaimState,
    RecordedClaim,
)
from zincvale.model.identifiers import RequestId

MAX_EXPIRIES_PER_SWEEP = 1_000
"""Bounds the time of one sweep; a tick every 50 ms expires up to 20,000 rows a second."""


@attrs.frozen
class TableLimits:
    """Bounds of one table.

    Attributes
    ----------
    rows : new requests beyond are refused by `has_room`; merges of known claims are not.
    body_bytes : largest body that is stored.
    total_body_bytes : bodies beyond this sum are not stored; the outcome is.
    ttl_s : a row lives this long after its last change or announcement.
    """

    rows: int
    body_bytes: int
    total_body_bytes: int
    ttl_s: float


class ClaimTable:
    """Rows by request identifier; no live row is ever dropped to make room."""

    def __init__(self, limits: TableLimits) -> None:
        self._limits = limits
        self._rows: dict[RequestId, ClaimRow] = {}
        self._by_sequence: SortedDict = SortedDict()
        self._sequence = 0
        self.total_body_bytes = 0

    def __len__(self) -> int:
        return len(self._rows)

    def __iter__(self) -> Iterator[ClaimRow]:
        return iter(list(self._rows.values()))

    def find(self, request_id: RequestId, now: float) -> ClaimRow | None:
        """Return the row unless it is absent or expired."""
        row = self._rows.get(request_id)
        if row is None:
            return None
        if row.expires_at <= now:
            self._drop(row)
            return None
        return row

    def has_room(self, row: ClaimRow | None) -> bool:
        """Whether a new attempt fits, into `row` or as a row of its own."""
        if row is None:
            return len(self._rows) < self._limits.rows
        return len(row.closed) + len(row.blocked) < MAX_ENDED_ATTEMPTS

    def touch(self, request_id: RequestId, now: float, life_s: float | None = None) -> ClaimRow:
        """Return the row, made if absent, as the last changed, alive for `life_s` at least."""
        row = self.find(request_id, now)
        if row is None:
            row = ClaimRow(request_id)
            self._rows[request_id] = row
        else:
            del self._by_sequence[row.sequence]
        self._sequence += 1
        row.sequence = self._sequence
        self._by_sequence[row.sequence] = row
        life = self._limits.ttl_s if life_s is None else min(life_s, self._limits.ttl_s)
        row.expires_at = max(row.expires_at, now + life)
        return row

    def merge(
        self, request_id: RequestId, state: ClaimState, now: float, life_s: float | None = None
    ) -> ClaimRow:
        """Add what another source knows of a request."""
        row = self.touch(request_id, now, life_s)
        before = row.body_bytes()
        if state.recorded is not None:
            state = attrs.evolve(state, recorded=self._bounded(state.recorded, before))
        row.merge(state)
        self.total_body_bytes += row.body_bytes() - before
        return row

    def changes_after(self, cursor: int, now: float) -> Iterator[ClaimRow]:
        """Yield the live rows changed after the sequence number `cursor`, in order."""
        for sequence in self._by_sequence.irange(minimum=cursor, inclusive=(False, True)):
            row = self._by_sequence[sequence]
            if row.expires_at > now:
                yield row

    def sweep(self, now: float) -> int:
        """Drop expired rows, oldest change first, a bounded number; returns how many."""
        dropped = 0
        while self._by_sequence and dropped < MAX_EXPIRIES_PER_SWEEP:
            row = self._by_sequence.peekitem(0)[1]
            if row.expires_at > now:
                break
            self._drop(row)
            dropped += 1
        return dropped

    def _bounded(self, recorded: RecordedClaim, stored_bytes: int) -> RecordedClaim:
        size = len(recorded.body)
        if size > self._limits.body_bytes:
            return recorded.without_body()
        if self.total_body_bytes - stored_bytes + size > self._limits.total_body_bytes:
            return recorded.without_body()
        return recorded

    def _drop(self, row: ClaimRow) -> None:
        del self._by_sequence[row.sequence]
        del self._rows[row.request_id]
        self.total_body_bytes -= row.body_bytes()


def copy_of(row: ClaimRow, now: float) -> CopiedClaim:
    """Return `row` as sent to another voter."""
    return CopiedClaim(row.request_id, row.state(), row.expires_at - now)
