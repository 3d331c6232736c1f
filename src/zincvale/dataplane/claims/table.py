"""Table of claims with limits and expiry, in the order of the last changes."""

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
"""Limit of rows that one sweep drops, so that it does not block the event loop for long.

With a tick every 50 ms, up to 20,000 rows a second can expire.
"""


@attrs.frozen
class TableLimits:
    """Limits of one table.

    Attributes
    ----------
    max_rows : `has_room` refuses new requests from this number of rows on; claims copied from other
        nodes are merged even then.
    max_body_bytes : size of the largest body that is stored.
    max_total_body_bytes : limit of the sum of all stored bodies; an outcome whose body would exceed
        it is stored without the body.
    ttl_s : a row expires this long after its last change or announcement.
    """

    max_rows: int
    max_body_bytes: int
    max_total_body_bytes: int
    ttl_s: float


class ClaimTable:
    """Rows by request identifier; a row is dropped only when it expires, never to make room."""

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
        """Return the row of a request, or None if it is absent or expired."""
        row = self._rows.get(request_id)
        if row is None:
            return None
        if row.expires_at <= now:
            self._drop(row)
            return None
        return row

    def has_room(self, row: ClaimRow | None) -> bool:
        """Whether there is room for a new attempt, in `row` or, if that is None, in a new row."""
        if row is None:
            return len(self._rows) < self._limits.max_rows
        return len(row.closed) + len(row.blocked) < MAX_ENDED_ATTEMPTS

    def touch(self, request_id: RequestId, now: float, ttl_s: float | None = None) -> ClaimRow:
        """Return the row of a request, created if absent, and mark it as the one changed last.

        It expires in `ttl_s` at the earliest, or in the time to live of the table if that is less.
        """
        row = self.find(request_id, now)
        if row is None:
            row = ClaimRow(request_id)
            self._rows[request_id] = row
        else:
            del self._by_sequence[row.sequence]
        self._sequence += 1
        row.sequence = self._sequence
        self._by_sequence[row.sequence] = row
        bounded_ttl_s = self._limits.ttl_s if ttl_s is None else min(ttl_s, self._limits.ttl_s)
        row.expires_at = max(row.expires_at, now + bounded_ttl_s)
        return row

    def merge(
        self, request_id: RequestId, state: ClaimState, now: float, ttl_s: float | None = None
    ) -> ClaimRow:
        """Merge what another node knows of a request, without the body if that exceeds a limit."""
        row = self.touch(request_id, now, ttl_s)
        previous_body_bytes = row.body_bytes()
        if state.recorded is not None:
            state = attrs.evolve(
                state, recorded=self._without_oversized_body(state.recorded, previous_body_bytes)
            )
        row.merge(state)
        self.total_body_bytes += row.body_bytes() - previous_body_bytes
        return row

    def changes_after(self, cursor: int, now: float) -> Iterator[ClaimRow]:
        """Yield the unexpired rows changed after the sequence number `cursor`, in that order."""
        for sequence in self._by_sequence.irange(minimum=cursor, inclusive=(False, True)):
            row = self._by_sequence[sequence]
            if row.expires_at > now:
                yield row

    def sweep(self, now: float) -> int:
        """Drop up to `MAX_EXPIRIES_PER_SWEEP` expired rows, oldest first; return their number."""
        dropped = 0
        while self._by_sequence and dropped < MAX_EXPIRIES_PER_SWEEP:
            row = self._by_sequence.peekitem(0)[1]
            if row.expires_at > now:
                break
            self._drop(row)
            dropped += 1
        return dropped

    def _without_oversized_body(self, recorded: RecordedClaim, stored_bytes: int) -> RecordedClaim:
        size = len(recorded.body)
        if size > self._limits.max_body_bytes:
            return recorded.without_body()
        if self.total_body_bytes - stored_bytes + size > self._limits.max_total_body_bytes:
            return recorded.without_body()
        return recorded

    def _drop(self, row: ClaimRow) -> None:
        del self._by_sequence[row.sequence]
        del self._rows[row.request_id]
        self.total_body_bytes -= row.body_bytes()


def copy_of(row: ClaimRow, now: float) -> CopiedClaim:
    """Return a copy of `row` as sent to another voter."""
    return CopiedClaim(row.request_id, row.state(), row.expires_at - now)
