"""The throughput that a node measures for a pool."""

from __future__ import annotations

import testtools

from zincvale.dataplane.resilience.throughput import ThroughputMeter


class ThroughputMeterTest(testtools.TestCase):
    def meter(self, per_s, seconds):
        meter = ThroughputMeter()
        meter.on_backlog(3, 0.0)
        for step in range(int(per_s * seconds)):
            meter.on_completed(step / per_s)
        return meter

    def test_throughput_during_a_backlog_bounds_the_estimate(self):
        meter = self.meter(per_s=2, seconds=6)
        self.assertTrue(2.0 < meter.bounded_rate_per_s(13.5, 0.1, 6.0) < 3.0)
        self.assertEqual(1.0, meter.bounded_rate_per_s(1.0, 0.1, 6.0))

    def test_a_measurement_during_a_short_backlog_does_not_count(self):
        meter = self.meter(per_s=2, seconds=6)
        self.assertEqual(13.5, meter.bounded_rate_per_s(13.5, 0.1, 0.9))
        self.assertEqual(13.5, meter.bounded_rate_per_s(13.5, 4.0, 6.0))
        meter.on_backlog(0, 6.0)
        meter.on_backlog(1, 6.1)
        self.assertEqual(13.5, meter.bounded_rate_per_s(13.5, 0.1, 6.2))

    def test_completions_before_the_window_do_not_count(self):
        meter = self.meter(per_s=10, seconds=2)
        self.assertLess(meter.bounded_rate_per_s(99.0, 0.1, 60.0), 0.2)
