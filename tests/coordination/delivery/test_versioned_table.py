"""How many deltas a table retains: by number, and by the memory that they take."""

from __future__ import annotations

import testtools

from zincvale.coordination.delivery.versioned_table import (
    MIN_RETAINED_BYTES,
    RETAINED_DELTAS,
    ROW_OVERHEAD_BYTES,
    VersionedTable,
)

ROWS = 1_800
ROW_BYTES = 700


def rows_of(change: int) -> dict[str, bytes]:
    """Return rows of which each has another content after each change."""
    return {f"route/{row:05d}": b"%06d" % change * (ROW_BYTES // 6) for row in range(ROWS)}


def table_bytes(table: VersionedTable) -> int:
    return sum(len(row) + len(content) + ROW_OVERHEAD_BYTES for row, content in table.rows.items())


def retained_bytes(table: VersionedTable) -> int:
    return sum(
        len(row) + len(content) + ROW_OVERHEAD_BYTES
        for delta in table._deltas
        for row, content in delta.puts.items()
    )


class RetainedDeltasTest(testtools.TestCase):
    def test_deltas_of_large_changes_take_no_more_than_the_table(self) -> None:
        """LOST: 118 whole configurations of 1,800 routes took every node over its memory."""
        table = VersionedTable()
        for version in range(1, 41):
            if version % 2:
                table.replace(version, rows_of(version))
            else:
                table.change(version, rows_of(version), [])
            self.assertLessEqual(retained_bytes(table), table_bytes(table))
            self.assertEqual(retained_bytes(table), table._retained_bytes)

    def test_a_reader_of_a_dropped_version_gets_the_full_table(self) -> None:
        table, reader = VersionedTable(), VersionedTable()
        table.replace(1, rows_of(1))
        self.assertTrue(reader.apply(table.since(0)))
        for version in (2, 3, 4):
            table.replace(version, rows_of(version))
        delta = table.since(1)
        self.assertIsNone(delta.base)
        self.assertTrue(reader.apply(delta))
        self.assertEqual((4, table.rows), (reader.version, reader.rows))
        self.assertEqual(0, reader._retained_bytes)

    def test_small_changes_are_retained_up_to_their_number(self) -> None:
        table = VersionedTable()
        table.replace(1, rows_of(1))
        for version in range(2, 500):
            table.change(version, {"route/00000": b"x"}, [])
        self.assertEqual(RETAINED_DELTAS, len(table._deltas))
        self.assertEqual(499 - RETAINED_DELTAS, table.since(499 - RETAINED_DELTAS).base)

    def test_a_small_table_retains_deltas_that_are_larger_than_itself(self) -> None:
        table = VersionedTable()
        for version in range(1, 100):
            table.change(version, {"row": b"x" * 100}, [])
        self.assertEqual(99, len(table._deltas))
        self.assertLess(retained_bytes(table), MIN_RETAINED_BYTES)
