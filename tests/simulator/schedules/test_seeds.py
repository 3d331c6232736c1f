"""Every invariant holds on the schedules of a fixed range of seeds."""

from __future__ import annotations

import testtools

from zincvale.coordination.config import ReadinessRule
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.run import run_schedule

SEEDS = range(1, 101)
LEASE_SEEDS = range(1, 61)
REPLAYED_SEEDS = (3, 25)


class SeedsTest(testtools.TestCase):
    def test_every_invariant_holds_on_every_seed(self) -> None:
        outcomes = [run_schedule(draw_schedule(seed)) for seed in SEEDS]
        broken = [f"{each.seed}: {each.problem}" for each in outcomes if each.invariant]
        self.assertEqual([], broken)
        recovered = [each for each in outcomes if each.recovery_s is not None]
        self.assertGreater(len(recovered), len(SEEDS) * 0.8)
        self.assertGreater(sum(each.acknowledged for each in outcomes), 10 * len(SEEDS))

    def test_every_invariant_holds_with_leases_only_and_nodes_lost_for_good(self) -> None:
        rule = ReadinessRule.LEASE
        outcomes = [run_schedule(draw_schedule(seed, rule), rule) for seed in LEASE_SEEDS]
        broken = [f"{each.seed}: {each.problem}" for each in outcomes if each.invariant]
        self.assertEqual([], broken)
        recovered = [each for each in outcomes if each.recovery_s is not None]
        self.assertGreater(len(recovered), len(LEASE_SEEDS) * 0.8)

    def test_same_seed_gives_the_same_outcome(self) -> None:
        for seed in REPLAYED_SEEDS:
            schedule = draw_schedule(seed)
            self.assertEqual(run_schedule(schedule), run_schedule(schedule))
