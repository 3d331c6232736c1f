"""The longest recent response times of routes."""

from __future__ import annotations

import testtools

from zincvale.dataplane.forwarding.response_times import WINDOW_S, ResponseTimes


class ResponseTimesTest(testtools.TestCase):
    def test_the_longest_time_is_that_of_the_current_and_the_previous_window(self) -> None:
        times = ResponseTimes()
        times.record("r", 4.0, 1.0)
        times.record("r", 2.0, 2.0)
        times.record("r", 3.0, WINDOW_S + 1.0)
        self.assertEqual(4.0, times.longest_s("r", WINDOW_S + 2.0))
        self.assertEqual(3.0, times.longest_s("r", 2.0 * WINDOW_S + 2.0))
        self.assertEqual(0.0, times.longest_s("r", 4.0 * WINDOW_S))
        self.assertEqual(0.0, times.longest_s("other", 1.0))

    def test_a_route_that_is_no_longer_declared_is_forgotten(self) -> None:
        times = ResponseTimes()
        times.record("r", 4.0, 1.0)
        times.record("s", 5.0, 1.0)
        times.keep_only({"s"})
        self.assertEqual((0.0, 5.0), (times.longest_s("r", 1.0), times.longest_s("s", 1.0)))
