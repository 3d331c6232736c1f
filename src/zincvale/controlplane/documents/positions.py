"""Positions of the items of a document, which stay the same for as many items as possible.

An item's row holds its position, so an item that gets another position is written, delivered and
stored anew. A document that is replaced as a whole mostly keeps the order of its items and adds or
removes a few. These get positions between their neighbors, which may be fractions or below 0.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping, Sequence

Position = int | float

FIRST_POSITION = 0
"""Position of the first item of a table; also stored for the limits, which have no position."""


def assign_positions(rows: Sequence[str], stored: Mapping[str, Position]) -> dict[str, Position]:
    """Return a position for each of `rows`, increasing in their order.

    Parameters
    ----------
    rows : the rows of the items, in the order of the new document.
    stored : the positions in the previous document of those that were in it.
    """
    kept = _longest_increasing(rows, stored)
    if not kept:
        return _consecutive(rows)
    positions: dict[str, Position] = {}
    added: list[str] = []
    before: Position | None = None
    for row in rows:
        if row not in kept:
            added.append(row)
            continue
        after = stored[row]
        positions.update(zip(added, _between(before, after, len(added)), strict=True))
        positions[row] = before = after
        added = []
    positions.update(zip(added, _between(before, None, len(added)), strict=True))
    ordered = [positions[row] for row in rows]
    if any(first >= second for first, second in zip(ordered, ordered[1:], strict=False)):
        # The fractions between two neighbors are used up.
        return _consecutive(rows)
    return positions


def _consecutive(rows: Sequence[str]) -> dict[str, Position]:
    return {row: FIRST_POSITION + index for index, row in enumerate(rows)}


def _between(before: Position | None, after: Position | None, count: int) -> list[Position]:
    """Return `count` increasing positions between two neighbors, of which one may be missing."""
    if before is None and after is not None:
        return [after - count + index for index in range(count)]
    if after is None and before is not None:
        return [before + 1 + index for index in range(count)]
    assert before is not None and after is not None
    step = (after - before) / (count + 1)
    return [before + step * (index + 1) for index in range(count)]


def _longest_increasing(rows: Sequence[str], stored: Mapping[str, Position]) -> set[str]:
    """Return the largest set of `rows` whose stored positions increase in their order."""
    known = [row for row in rows if row in stored]
    ends: list[Position] = []
    """The lowest last position of an increasing sequence of each length."""
    last_rows: list[str] = []
    previous: dict[str, str | None] = {}
    for row in known:
        length = bisect_left(ends, stored[row])
        previous[row] = last_rows[length - 1] if length else None
        if length == len(ends):
            ends.append(stored[row])
            last_rows.append(row)
        else:
            ends[length] = stored[row]
            last_rows[length] = row
    kept: set[str] = set()
    row_or_none = last_rows[-1] if last_rows else None
    while row_or_none is not None:
        kept.add(row_or_none)
        row_or_none = previous[row_or_none]
    return kept
