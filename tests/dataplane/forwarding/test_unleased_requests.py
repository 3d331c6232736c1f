"""Counting of requests that a node begins without a lease."""

from __future__ import annotations

import testtools

from zincvale.dataplane.forwarding.unleased_requests import UnleasedPeriod, UnleasedRequests


class UnleasedRequestsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.has_lease = True
        self.requests = UnleasedRequests(lambda: self.has_lease)

    def test_requests_under_a_lease_are_not_counted(self) -> None:
        self.requests.record_request(1, 10.0)
        self.assertIsNone(self.requests.take_ended_period())

    def test_a_period_ends_with_the_next_lease_and_is_returned_once(self) -> None:
        self.has_lease = False
        self.requests.record_request(1, 10.0)
        self.requests.record_request(2, 11.5)
        self.assertIsNone(self.requests.take_ended_period())
        self.has_lease = True
        period = UnleasedPeriod(10.0, 11.5, 2, first_version=1, last_version=2)
        self.assertEqual(period, self.requests.take_ended_period())
        self.assertIsNone(self.requests.take_ended_period())
