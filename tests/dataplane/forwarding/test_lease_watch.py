"""The wait for a lapsed lease, and the count of requests that begin without one."""

from __future__ import annotations

import testtools

from zincvale.dataplane.forwarding.lease_watch import LEASE_WAIT_S, LeaseWatch, UnleasedPeriod


class LeaseWatchTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.has_lease = True
        self.are_cores_gone = False
        self.watch = LeaseWatch(lambda: self.has_lease, lambda: self.are_cores_gone)

    def test_requests_under_a_lease_are_not_counted(self) -> None:
        self.watch.record_request(1, 10.0)
        self.assertIsNone(self.watch.take_ended_period())

    def test_a_period_ends_with_the_next_lease_and_is_returned_once(self) -> None:
        self.has_lease = False
        self.watch.record_request(1, 10.0)
        self.watch.record_request(2, 11.5)
        self.assertIsNone(self.watch.take_ended_period())
        self.has_lease = True
        period = UnleasedPeriod(10.0, 11.5, 2, first_version=1, last_version=2)
        self.assertEqual(period, self.watch.take_ended_period())
        self.assertIsNone(self.watch.take_ended_period())

    def test_a_request_waits_only_for_a_lease_that_was_lost_a_moment_ago(self) -> None:
        self.assertFalse(self.watch.should_wait(10.0))
        self.has_lease = False
        self.assertTrue(self.watch.should_wait(20.0))
        self.assertTrue(self.watch.should_wait(20.0 + LEASE_WAIT_S / 2))
        self.assertFalse(self.watch.should_wait(20.0 + LEASE_WAIT_S))

    def test_each_loss_of_the_lease_is_waited_for_anew(self) -> None:
        self.has_lease = False
        self.watch.should_wait(20.0)
        self.has_lease = True
        self.watch.should_wait(30.0)
        self.has_lease = False
        self.assertTrue(self.watch.should_wait(40.0))

    def test_no_request_waits_while_the_cores_are_gone(self) -> None:
        self.has_lease = False
        self.are_cores_gone = True
        self.assertFalse(self.watch.should_wait(20.0))

    def test_requests_are_counted_without_a_lease_also_while_the_cores_are_gone(self) -> None:
        self.has_lease = False
        self.are_cores_gone = True
        self.watch.record_request(1, 10.0)
        self.has_lease = True
        self.assertEqual(UnleasedPeriod(10.0, 10.0, 1, 1, 1), self.watch.take_ended_period())
