"""Schedule files and ranges of seeds."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from zincvale.model.errors import InvalidInputError
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.exploring import parse_seeds
from zincvale.simulator.schedules.schedule_files import read_schedule, write_schedule


class ScheduleFilesTest(testtools.TestCase):
    def test_schedule_survives_a_round_trip_and_unknown_fields_are_refused(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "schedule.json"
        schedule = draw_schedule(26)
        write_schedule(schedule, path)
        self.assertEqual(schedule, read_schedule(path))
        path.write_text('{"seed": 1, "nodes": 2, "length_s": 1.0, "stepz": []}')
        self.assertIn("steps", str(self.assertRaises(InvalidInputError, read_schedule, path)))

    def test_seed_range_is_inclusive_and_malformed_ranges_are_refused(self) -> None:
        self.assertEqual(range(3, 6), parse_seeds("3..5"))
        self.assertEqual(range(3, 4), parse_seeds("3"))
        self.assertRaises(InvalidInputError, parse_seeds, "3..x")
