"""Tables with a version and a bounded memory of their recent differences."""

from __future__ import annotations

from collections import deque

import attrs

from zincvale.coordination.changes import Rows

RETAINED_DELTAS = 256
"""A reader further behind than this gets the whole table."""


@attrs.frozen
class Delta:
    """What leads from one version of a table to a later one; whole when `base` is None."""

    base: int | None
    version: int
    puts: Rows
    deletes: list[str]


class VersionedTable:
    """Rows, their version and the differences between recent versions."""

    def __init__(self, version: int = 0, rows: Rows | None = None) -> None:
        self.version = version
        self.rows: Rows = rows if rows is not None else {}
        self._differences: deque[Delta] = deque(maxlen=RETAINED_DELTAS)

    def replace(self, version: int, rows: Rows) -> None:
        """Move to `version` with these rows; the difference is worked out and kept."""
        old = self.rows
        puts = {row: value for row, value in rows.items() if old.get(row) != value}
        deletes = [row for row in old if row not in rows]
        self._differences.append(Delta(self.version, version, puts, deletes))
        self.version = version
        self.rows = rows

    def reset(self, version: int, rows: Rows) -> None:
        """Start anew at `version`; earlier readers get the whole table."""
        self._differences.clear()
        self.version = version
        self.rows = dict(rows)

    def change(self, version: int, puts: Rows, deletes: list[str]) -> None:
        """Move to `version` by a difference."""
        rows = dict(self.rows)
        rows.update(puts)
        for row in deletes:
            rows.pop(row, None)
        self._differences.append(Delta(self.version, version, puts, deletes))
        self.version = version
        self.rows = rows

    def apply(self, difference: Delta) -> bool:
        """Apply a difference that was sent here; False when its base is not held."""
        if difference.base is None:
            self.reset(difference.version, difference.puts)
            return True
        if difference.base != self.version:
            return False
        self.change(difference.version, difference.puts, difference.deletes)
        return True

    def since(self, version: int) -> Delta:
        """Return what leads a holder of `version` to this one."""
        steps: list[Delta] = []
        for difference in reversed(self._differences):
            if difference.version <= version:
                break
            steps.append(difference)
        if not steps or steps[-1].base != version:
            return Delta(None, self.version, self.rows, [])
        return _merge(list(reversed(steps)))


def _merge(steps: list[Delta]) -> Delta:
    merged: dict[str, bytes | None] = {}
    for step in steps:
        merged.update(step.puts)
        merged.update(dict.fromkeys(step.deletes))
    puts = {row: value for row, value in merged.items() if value is not None}
    deletes = [row for row, value in merged.items() if value is None]
    return Delta(steps[0].base, steps[-1].version, puts, deletes)
