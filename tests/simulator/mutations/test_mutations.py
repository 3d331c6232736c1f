"""Every mutation is detected by a directed scenario or by the exploration of a register."""

from __future__ import annotations

import testtools

from zincvale.simulator.mutations.mutations import MUTATIONS, first_catch
from zincvale.simulator.register_exploration import explore_register, walk_register
from zincvale.simulator.schedules.directed import SEEDS_PER_CORE, directed_schedules
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.run import run_schedule

MAX_STATES = 20_000
WALK_COUNT = 400
WALK_SEED = 1
STARTS_PER_PROPOSER = (2, 2)
MUTATIONS_DETECTED_BY_EXPLORATION = (
    "majority-of-one",
    "answer-before-sync",
    "skip-promise",
    "volatile-promise",
    "replica-forgets-epoch",
    "forget-orders",
)
SCENARIO_BY_MUTATION = {
    "majority-of-one": "cut-in-two",
    "no-sync": "power-lost-everywhere",
    "forget-orders": "power-lost-everywhere",
    "ignore-base": "orders-resent-to-new-owners",
    "no-write-again": "owner-returns",
    "empty-disk-votes": "disk-lost-after-acknowledgement",
    "deliver-unchosen": "change-below-a-majority",
    "no-wait-for-leases": "cut-in-two",
    "no-required-version": "cut-in-two",
    "grant-before-caught-up": "stale-node-and-restarted-cores",
    "leases-forgotten-early": "stale-node-and-restarted-cores",
    "jump-keeps-lease": "cut-in-two",
    "island-serves": "cut-in-two",
    "no-registry-majority": "cut-node-and-restarted-cores",
    "evidence-without-registry": "most-nodes-cut",
    "registry-majority-with-leases": "most-nodes-lost",
    "role-without-margin": "cut-holder-and-restarted-grantors",
    "grantor-forgets-roles": "cut-holder-and-restarted-grantors",
    "role-grants-shared": "cut-in-two",
}
"""Scenarios in which every invariant holds (`test_directed`), but not under the mutation."""


SEED_BY_MUTATION = {
    "no-registry-majority": 93,
    "evidence-without-registry": 34,
    "registry-majority-with-leases": 4,
}
"""Drawn schedules in which every invariant holds, but not under the mutation: the exploration finds
what each rule of readiness needs, not only a scenario that was written for it."""


class MutationsTest(testtools.TestCase):
    def test_every_mutation_has_a_detection_test(self) -> None:
        tested = {*MUTATIONS_DETECTED_BY_EXPLORATION, *SCENARIO_BY_MUTATION}
        self.assertEqual(set(MUTATIONS), tested)

    def test_scenarios_detect_mutations(self) -> None:
        """At least a third of a scenario's schedules must detect its mutation.

        This corresponds to one core in the principal part out of three, with every seed.
        """
        for name, scenario in SCENARIO_BY_MUTATION.items():
            detecting_seeds = [
                schedule.seed
                for schedule in directed_schedules(scenario)
                if first_catch(MUTATIONS[name], [schedule]) is not None
            ]
            self.assertGreaterEqual(
                len(detecting_seeds), SEEDS_PER_CORE, f"{name}: {detecting_seeds}"
            )

    def test_drawn_schedules_detect_mutations_of_readiness_rules(self) -> None:
        for name, seed in SEED_BY_MUTATION.items():
            mutation = MUTATIONS[name]
            schedule = draw_schedule(seed, mutation.readiness)
            self.assertEqual("", run_schedule(schedule, mutation.readiness).problem)
            self.assertIsNotNone(first_catch(mutation, [schedule]), name)

    def test_register_exploration_detects_mutations(self) -> None:
        for name in MUTATIONS_DETECTED_BY_EXPLORATION:
            with MUTATIONS[name].apply():
                found = walk_register(STARTS_PER_PROPOSER, WALK_COUNT, WALK_SEED)
            self.assertNotEqual("", found.problem, name)

    def test_register_exploration_finds_no_problem_without_mutations(self) -> None:
        self.assertEqual("", explore_register((1, 1), MAX_STATES).problem)
        self.assertEqual("", walk_register(STARTS_PER_PROPOSER, WALK_COUNT, WALK_SEED).problem)
