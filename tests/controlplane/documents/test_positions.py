"""Positions of items: their order, and how few of them change."""

from __future__ import annotations

import random

import testtools

from zincvale.controlplane.documents.positions import assign_positions


def changed(rows: list[str], stored: dict[str, float]) -> tuple[dict[str, float], set[str]]:
    """Return the new positions, and the rows of `stored` that got another one."""
    positions = assign_positions(rows, stored)
    return positions, {row for row in rows if row in stored and positions[row] != stored[row]}


class PositionsTest(testtools.TestCase):
    def assert_in_order(self, rows: list[str], positions: dict[str, float]) -> None:
        self.assertEqual(rows, sorted(rows, key=positions.__getitem__))
        self.assertEqual(len(rows), len(set(positions.values())))

    def test_a_first_document_is_numbered_from_0(self) -> None:
        self.assertEqual({"a": 0, "b": 1, "c": 2}, assign_positions(["a", "b", "c"], {}))

    def test_an_item_in_front_changes_no_other(self) -> None:
        """LOST: each new first route rewrote the rows of all 1,800 routes after it."""
        positions = assign_positions([f"r{row}" for row in range(1_800)], {})
        rows = list(positions)
        for change in range(150):
            rows = [f"new{change}", *rows]
            positions, moved = changed(rows, positions)
            self.assertEqual(set(), moved)
        self.assert_in_order(rows, positions)

    def test_removed_and_inserted_items_change_no_other(self) -> None:
        source = random.Random(1)
        rows = [f"r{row}" for row in range(50)]
        positions = assign_positions(rows, {})
        for change in range(300):
            rows.remove(source.choice(rows))
            rows.insert(source.randrange(len(rows) + 1), f"new{change}")
            positions, moved = changed(rows, positions)
            self.assertEqual(set(), moved)
            self.assert_in_order(rows, positions)

    def test_a_moved_item_changes_no_other(self) -> None:
        rows = [f"r{row}" for row in range(20)]
        positions = assign_positions(rows, {})
        positions, moved = changed([*rows[1:], rows[0]], positions)
        self.assertEqual({"r0"}, moved)

    def test_a_reversed_document_is_in_its_order(self) -> None:
        rows = [f"r{row}" for row in range(20)]
        positions, _ = changed(rows[::-1], assign_positions(rows, {}))
        self.assert_in_order(rows[::-1], positions)

    def test_items_are_numbered_anew_when_no_position_is_left_between_two(self) -> None:
        rows = ["first", "last"]
        positions = assign_positions(rows, {})
        renumbered = 0
        for change in range(2_000):
            rows.insert(1, f"new{change}")
            positions, moved = changed(rows, positions)
            renumbered += bool(moved)
            self.assert_in_order(rows, positions)
        self.assertLess(renumbered, 50)
        self.assertGreater(renumbered, 0)
