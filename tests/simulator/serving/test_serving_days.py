"""Days of shifting demand at the size of a large pool, in virtual time."""

from __future__ import annotations

import testtools

from zincvale.simulator.serving.arrivals import DAY_WITH_REPLACEMENTS, DemandPlan
from zincvale.simulator.serving.day import ServingDay, changes_of_day, run_day
from zincvale.simulator.serving.outcome import DayOutcome
from zincvale.simulator.serving.shapes import LARGE_POOL, MEDIUM_POOL

SHORT_DAY = DemandPlan(4.0, ((1.0, 3.0),), ())


class NeverServedTest(testtools.TestCase):
    """What is asked for through the day is served, but for what the users tolerate."""

    def assert_served(self, outcome: DayOutcome) -> None:
        self.assertEqual([], outcome.problems, f"seed {outcome.seed}")
        never_served = {name: outcome.decisions(name) for name in outcome.never_served()}
        self.assertLessEqual(
            len(never_served), outcome.tolerated(), f"seed {outcome.seed}: {never_served}"
        )

    def test_a_day_without_a_change_of_leader(self):
        self.assert_served(run_day(2, LARGE_POOL, changes_of_day(0)))

    def test_days_with_a_change_of_leader(self):
        for seed in (1, 4, 6):
            self.assert_served(run_day(seed, LARGE_POOL, changes_of_day(1)))

    def test_a_day_with_two_changes_of_leader(self):
        self.assert_served(run_day(3, MEDIUM_POOL, changes_of_day(2)))

    def test_a_day_on_which_models_are_retired_before_cores_restart_and_the_leader_changes(self):
        changes = changes_of_day(1, restarts_cores=True)
        self.assert_served(run_day(1, LARGE_POOL, changes, DAY_WITH_REPLACEMENTS))


class RepeatabilityTest(testtools.TestCase):
    def test_equal_seeds_give_equal_days(self):
        first, second = (ServingDay(7, MEDIUM_POOL, (), SHORT_DAY).run() for _ in range(2))
        self.assertEqual(first.summary(), second.summary())
        self.assertGreater(first.served, 0)
