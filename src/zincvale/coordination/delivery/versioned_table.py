"""Tables with a version and a bounded number of their recent deltas."""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.coordination.changes import Rows

RETAINED_DELTAS = 256
"""A reader further behind than this gets the full table; each delta retains the rows it changed."""


@attrs.frozen
class Delta:
    """What leads from one version of a table to a later one; the full table when `base` is None."""

    base: int | None
    version: int
    puts: Rows
    deletes: list[str]


class VersionedTable:
    """Rows, their version and the deltas between recent versions.

    `rows` is replaced, never changed in place: readers may retain it and compare by identity.
    """

    def __init__(self, version: int = 0, rows: Rows | None = None) -> None:
        self.version = version
        self.rows: Rows = rows if rows is not None else {}
        self._deltas: deque[Delta] = deque(maxlen=RETAINED_DELTAS)

    def replace(self, version: int, rows: Rows) -> None:
        """Move to `version` with these rows; the delta is computed and retained."""
        old = self.rows
        puts = {row: value for row, value in rows.items() if old.get(row) != value}
        deletes = [row for row in old if row not in rows]
        self._deltas.append(Delta(self.version, version, puts, deletes))
        self.version = version
        self.rows = rows

    def reset(self, version: int, rows: Rows) -> None:
        """Start anew at `version`; earlier readers get the full table."""
        self._deltas.clear()
        self.version = version
        self.rows = dict(rows)

    def change(self, version: int, puts: Rows, deletes: list[str]) -> None:
        """Move to `version` by a delta."""
        rows = dict(self.rows)
        rows.update(puts)
        for row in deletes:
            rows.pop(row, None)
        self._deltas.append(Delta(self.version, version, puts, deletes))
        self.version = version
        self.rows = rows

    def apply(self, delta: Delta) -> bool:
        """Apply a received delta; return False when its base is not this table's version."""
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
        """Return what leads a reader at `version` to this one: merged deltas, or the full table."""
        steps: list[Delta] = []
        for delta in reversed(self._deltas):
            if delta.version <= version:
                break
            steps.append(delta)
        if not steps or steps[-1].base != version:
            return self.full()
        return _merge(list(reversed(steps)))


def _merge(steps: list[Delta]) -> Delta:
    """Return consecutive deltas as one; of each row the last change counts."""
    merged: dict[str, bytes | None] = {}
    for step in steps:
        merged.update(step.puts)
        merged.update(dict.fromkeys(step.deletes))
    puts = {row: value for row, value in merged.items() if value is not None}
    deletes = [row for row, value in merged.items() if value is None]
    return Delta(steps[0].base, steps[-1].version, puts, deletes)
