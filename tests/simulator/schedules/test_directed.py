"""Scenarios that operators name, with each core in the main part."""

from __future__ import annotations

import testtools

from zincvale.simulator.schedules.directed import SCENARIOS, directed_schedules
from zincvale.simulator.schedules.run import run_schedule

EVERY_DISK_LOST = "every-disk-lost"


class ScenariosTest(testtools.TestCase):
    def hold(self, name: str) -> None:
        for place, schedule in enumerate(directed_schedules(name)):
            outcome = run_schedule(schedule)
            self.assertEqual("", outcome.problem, f"{name} {place}")
            self.assertIsNotNone(outcome.recovery_s, f"{name} {place}")

    def test_every_invariant_holds_in_every_scenario(self) -> None:
        for name in SCENARIOS:
            if name != EVERY_DISK_LOST:
                self.hold(name)

    def test_every_disk_lost(self) -> None:
        """Here alone, since only a declared recovery loses every disk at once."""
        self.hold(EVERY_DISK_LOST)
