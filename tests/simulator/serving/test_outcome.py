"""What counts as asked for through the day, and as never served."""

from __future__ import annotations

import testtools

from zincvale.simulator.serving.outcome import DayOutcome, ItemRecord


class ItemRecordTest(testtools.TestCase):
    def test_four_requests_over_eight_seconds_are_through_the_day(self):
        self.assertTrue(ItemRecord([1.0, 2.0, 3.0, 9.0]).is_asked_through())

    def test_three_requests_or_a_short_burst_are_not(self):
        self.assertFalse(ItemRecord([1.0, 5.0, 9.0]).is_asked_through())
        self.assertFalse(ItemRecord([1.0, 2.0, 3.0, 4.0, 8.9]).is_asked_through())

    def test_the_longest_wait_ends_with_a_served_request_or_the_last_request(self):
        self.assertEqual(4.0, ItemRecord([1.0, 3.0, 5.0], [5.0]).longest_unserved_s())
        self.assertEqual(6.0, ItemRecord([1.0, 2.0, 4.0, 8.0], [1.5]).longest_unserved_s())


class DayOutcomeTest(testtools.TestCase):
    def test_an_item_that_was_served_once_is_not_listed(self):
        outcome = DayOutcome(1)
        for at in (0.0, 3.0, 6.0, 9.0):
            outcome.record_asked("m1", at)
            outcome.record_asked("m2/a1", at)
        outcome.record_served("m1", 6.0, is_late=False)
        self.assertEqual(["m2/a1"], outcome.never_served())
        self.assertEqual(1, outcome.tolerated())
        self.assertEqual(["no leader logged it"], outcome.decisions("m2/a1"))
