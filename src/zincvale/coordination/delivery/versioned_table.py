"""Tables with a version and a limited number of recent deltas."""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.coordination.changes import Rows

RETAINED_DELTAS = 256
"""Maximum number of deltas that a table retains, each with its changed rows. A reader whose version
is older than these gets the full table."""
MIN_RETAINED_BYTES = 262_144
"""Size up to which deltas are retained in any case. Above it they take no more memory than the full
table, which is then the shorter response as well."""
ROW_OVERHEAD_BYTES = 200
"""Memory that a row takes besides its content: the objects of its name and content, and its entry
in a dictionary."""


@attrs.frozen
class Delta:
    """The changes from version `base` of a table to `version`; a full table if `base` is None."""

    base: int | None
    version: int
    puts: Rows
    deletes: list[str]


class VersionedTable:
    """Rows, their version and the deltas between recent versions.

    `rows` is replaced, never changed in place, so readers may retain it and compare by identity.
    """

    def __init__(self, version: int = 0, rows: Rows | None = None) -> None:
        self.version = version
        self.rows: Rows = rows if rows is not None else {}
        self._deltas: deque[Delta] = deque()
        self._retained_bytes = 0
        """Memory of the retained deltas."""

    def replace(self, version: int, rows: Rows) -> None:
        """Set the version and all rows; the delta from the previous rows is retained."""
        old = self.rows
        puts = {row: value for row, value in rows.items() if old.get(row) != value}
        deletes = [row for row in old if row not in rows]
        self._set(Delta(self.version, version, puts, deletes), rows)

    def reset(self, version: int, rows: Rows) -> None:
        """Set the version and all rows, and drop the deltas: readers then get the full table."""
        self._deltas.clear()
        self._retained_bytes = 0
        self.version = version
        self.rows = dict(rows)

    def change(self, version: int, puts: Rows, deletes: list[str]) -> None:
        """Set the version and change rows by a delta, which is retained."""
        rows = dict(self.rows)
        rows.update(puts)
        for row in deletes:
            rows.pop(row, None)
        self._set(Delta(self.version, version, puts, deletes), rows)

    def _set(self, delta: Delta, rows: Rows) -> None:
        """Set the version and rows that a delta leads to, and retain it within the limits."""
        self.version = delta.version
        self.rows = rows
        self._deltas.append(delta)
        self._retained_bytes += _memory_bytes(delta.puts)
        limit_bytes = MIN_RETAINED_BYTES
        if self._retained_bytes > limit_bytes:
            limit_bytes = max(limit_bytes, _memory_bytes(rows))
        while len(self._deltas) > RETAINED_DELTAS or self._retained_bytes > limit_bytes:
            self._retained_bytes -= _memory_bytes(self._deltas.popleft().puts)

    def apply(self, delta: Delta) -> bool:
        """Apply a received delta; return False if its base is not this table's version."""
        if delta.base is None:
            self.reset(delta.version, delta.puts)
            return True
        if delta.base != self.version:
            return False
        self.change(delta.version, delta.puts, delta.deletes)
        return True

    def full(self) -> Delta:
        """Return the full table as a delta without a base."""
        return Delta(None, self.version, self.rows, [])

    def since(self, version: int) -> Delta:
        """Return the changes since `version`: merged deltas if retained, else the full table."""
        deltas: list[Delta] = []
        for delta in reversed(self._deltas):
            if delta.version <= version:
                break
            deltas.append(delta)
        if not deltas or deltas[-1].base != version:
            return self.full()
        return _merge(list(reversed(deltas)))


def _memory_bytes(rows: Rows) -> int:
    """Return how much memory rows take, roughly."""
    return sum(len(name) + len(content) + ROW_OVERHEAD_BYTES for name, content in rows.items())


def _merge(deltas: list[Delta]) -> Delta:
    """Return consecutive deltas merged into one, with the last change of each row."""
    merged: dict[str, bytes | None] = {}
    for delta in deltas:
        merged.update(delta.puts)
        merged.update(dict.fromkeys(delta.deletes))
    puts = {row: value for row, value in merged.items() if value is not None}
    deletes = [row for row, value in merged.items() if value is None]
    return Delta(deltas[0].base, deltas[-1].version, puts, deletes)
