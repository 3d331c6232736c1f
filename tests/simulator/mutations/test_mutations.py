"""Every deliberate mistake is noticed: by a scenario, or by the register's exploration."""

from __future__ import annotations

import testtools

from zincvale.simulator.mutations.mutations import MUTATIONS, first_catch
from zincvale.simulator.register_exploration import explore_register, walk_register
from zincvale.simulator.schedules.directed import SEEDS_PER_CORE, directed_schedules

STATES = 20_000
WALKS = 400
WALK_SEED = 1
STARTS = (2, 2)
BY_THE_REGISTER = (
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
    "role-without-margin": "cut-holder-and-restarted-grantors",
    "grantor-forgets-roles": "cut-holder-and-restarted-grantors",
    "role-grants-shared": "cut-in-two",
}
"""Scenarios that hold without the mutation (`test_directed`) and break under it."""


class MutationsTest(testtools.TestCase):
    def test_every_mutation_is_held_here(self) -> None:
        held = {*BY_THE_REGISTER, *SCENARIO_BY_MUTATION}
        self.assertEqual(set(MUTATIONS), held)

    def test_the_scenarios_notice(self) -> None:
        """In a third of the schedules at least, as one of three was enough for one seed a core."""
        for name, scenario in SCENARIO_BY_MUTATION.items():
            caught = [
                schedule.seed
                for schedule in directed_schedules(scenario)
                if first_catch(MUTATIONS[name], [schedule]) is not None
            ]
            self.assertGreaterEqual(len(caught), SEEDS_PER_CORE, f"{name}: {caught}")

    def test_the_register_notices(self) -> None:
        for name in BY_THE_REGISTER:
            with MUTATIONS[name].apply():
                found = walk_register(STARTS, WALKS, WALK_SEED)
            self.assertNotEqual("", found.problem, name)

    def test_the_register_as_it_is_holds(self) -> None:
        self.assertEqual("", explore_register((1, 1), STATES).problem)
        self.assertEqual("", walk_register(STARTS, WALKS, WALK_SEED).problem)
