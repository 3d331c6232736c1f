"""A short seeded soak of crowds; long ones are started by hand with `tests.crowds.run`."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from tests.crowds.soak_run import SoakOptions, play_soak

SEED, SECONDS = 50, 45.0
MIN_CROWDS, MIN_RAN = 5, 50


class CrowdSoakTest(testtools.TestCase):
    def test_crowds_signals_and_changes_in_series_end_no_process_and_keep_nobody_out(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            result = play_soak(SoakOptions(SEED, SECONDS), Path(folder) / "run")
        self.assertEqual([], result.problems)
        self.assertGreater(result.counts["crowds"], MIN_CROWDS)
        self.assertGreater(result.counts["ran"], MIN_RAN)
