"""The memory budget: who gives way to whom, and what is left for small requests."""

from __future__ import annotations

import testtools

from zincvale.runtime.admission.budget import (
    LARGE_REQUESTS_SHARE,
    SMALL_REQUEST_BYTES,
    MemoryBudget,
    Reservation,
)

LIMIT_BYTES = 16 * SMALL_REQUEST_BYTES
LARGE_LIMIT_BYTES = int(LIMIT_BYTES * LARGE_REQUESTS_SHARE)


class MemoryBudgetTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.budget = MemoryBudget(LIMIT_BYTES)
        self.revoked: list[str] = []

    def reserve(self, name: str, size_bytes: int, now: float = 0.0) -> Reservation | None:
        reservation = Reservation(now, lambda: self.revoked.append(name))
        return reservation if self.budget.grow(reservation, size_bytes, now) else None

    def reserve_for_good(self, size_bytes: int) -> bool:
        return self.budget.grow(Reservation(0.0, None), size_bytes, 0.0)

    def test_reservations_are_granted_up_to_the_limit(self) -> None:
        for _ in range(16):
            self.assertTrue(self.reserve_for_good(SMALL_REQUEST_BYTES))
        self.assertFalse(self.reserve_for_good(1))
        self.assertEqual(LIMIT_BYTES, self.budget.reserved_bytes)

    def test_a_released_reservation_makes_room(self) -> None:
        reservation = self.reserve("large", LARGE_LIMIT_BYTES)
        self.budget.release(reservation)
        self.assertEqual(0, self.budget.reserved_bytes)
        self.assertTrue(self.reserve_for_good(LARGE_LIMIT_BYTES))

    def test_large_requests_leave_room_for_small_ones(self) -> None:
        self.assertTrue(self.reserve_for_good(LARGE_LIMIT_BYTES))
        self.assertFalse(self.reserve_for_good(SMALL_REQUEST_BYTES + 1))
        self.assertTrue(self.reserve_for_good(SMALL_REQUEST_BYTES))

    def test_the_one_that_occupied_most_for_longest_gives_way(self) -> None:
        for name, now in (("old", 0.0), ("new", 5.0)):
            self.reserve(name, LIMIT_BYTES // 3, now)
        self.assertIsNotNone(self.reserve("asking", LIMIT_BYTES // 3, 6.0))
        self.assertEqual(["old"], self.revoked)

    def test_the_one_that_asks_is_refused_if_it_occupies_most(self) -> None:
        growing = self.reserve("growing", LARGE_LIMIT_BYTES // 2, 0.0)
        self.reserve("other", LARGE_LIMIT_BYTES // 2, 9.0)
        self.assertFalse(self.budget.grow(growing, LARGE_LIMIT_BYTES, 10.0))
        self.assertEqual([], self.revoked)

    def test_what_may_have_run_never_gives_way(self) -> None:
        self.assertTrue(self.reserve_for_good(LARGE_LIMIT_BYTES))
        self.assertIsNone(self.reserve("asking", LARGE_LIMIT_BYTES, 100.0))

    def test_what_was_revoked_no_longer_counts(self) -> None:
        self.reserve("old", LARGE_LIMIT_BYTES, 0.0)
        self.reserve("asking", LARGE_LIMIT_BYTES, 1.0)
        self.assertEqual(LARGE_LIMIT_BYTES, self.budget.reserved_bytes)
