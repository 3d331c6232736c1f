"""Ejection and readmission of a server."""

from __future__ import annotations

import testtools

from zincvale.dataplane.resilience.outlier_detection import OutlierDetector


class OutlierDetectorTest(testtools.TestCase):
    def test_three_failures_eject_a_server_and_a_failed_probe_doubles_the_ejection(self):
        detector = OutlierDetector()
        self.assertEqual([False, False, True], [detector.on_failure(0.0) for _ in range(3)])
        self.assertTrue(detector.is_ejected(0.9))
        self.assertFalse(detector.is_ejected(1.0))
        detector.on_dispatched(1.0)
        self.assertTrue(detector.is_ejected(1.1))
        self.assertTrue(detector.on_failure(1.2))
        self.assertTrue(detector.is_ejected(3.1))
        self.assertFalse(detector.is_ejected(3.2))
        detector.on_dispatched(3.2)
        self.assertTrue(detector.on_success())
        self.assertFalse(detector.is_ejected(3.3))
