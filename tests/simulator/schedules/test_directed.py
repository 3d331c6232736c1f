"""Every invariant holds in the hand-written scenarios, with each core in the principal part."""

from __future__ import annotations

import testtools

from zincvale.coordination.config import ReadinessRule
from zincvale.simulator.schedules.directed import (
    LEASE_SCENARIOS,
    SCENARIOS,
    directed_schedules,
)
from zincvale.simulator.schedules.run import run_schedule

EVERY_DISK_LOST = "every-disk-lost"


class ScenariosTest(testtools.TestCase):
    def assert_invariants_hold(
        self, name: str, readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
    ) -> None:
        for index, schedule in enumerate(directed_schedules(name)):
            outcome = run_schedule(schedule, readiness)
            self.assertEqual("", outcome.problem, f"{name} {index}")
            self.assertIsNotNone(outcome.recovery_s, f"{name} {index}")

    def test_every_invariant_holds_in_every_scenario(self) -> None:
        for name in SCENARIOS:
            if name != EVERY_DISK_LOST:
                self.assert_invariants_hold(name)

    def test_every_invariant_holds_when_every_disk_is_lost(self) -> None:
        """This scenario is run separately, since only declared recovery handles it."""
        self.assert_invariants_hold(EVERY_DISK_LOST)

    def test_every_invariant_holds_in_every_scenario_with_leases_only(self) -> None:
        for name in LEASE_SCENARIOS:
            if name != EVERY_DISK_LOST:
                self.assert_invariants_hold(name, ReadinessRule.LEASE)
