"""Shrinking removes the steps of a schedule that its failure does not need."""

from __future__ import annotations

import testtools

from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.schedule import Schedule
from zincvale.simulator.schedules.shrink import Shrinker


class ShrinkTest(testtools.TestCase):
    def test_only_the_steps_that_cause_the_failure_remain(self) -> None:
        schedule = draw_schedule(26)
        wanted = (schedule.steps[4].at_s, schedule.steps[17].at_s)

        def fails(candidate: Schedule) -> bool:
            return set(wanted) <= {step.at_s for step in candidate.steps}

        shrinker = Shrinker(fails)
        smallest = shrinker.shrink(schedule)
        self.assertEqual(wanted, tuple(step.at_s for step in smallest.steps))
        self.assertLess(shrinker.runs, 60)
