"""Placement makes the same decisions as the approved digests.

To stay within a quarter of a minute, the emulated fleets run only the load `everything` (under
every policy) and of the hollow fleets only the smallest is run. `python -m
tests.golden.compare_all` compares all runs.
"""

from __future__ import annotations

import testtools

from tests.golden.decision_log import differing_runs
from tests.golden.decisions_of_placement import HOLLOW_RUNS, PLACEMENT_RUNS, WHAT_IF_RUNS

EMULATED = [name for name in PLACEMENT_RUNS if " everything " in name]
HOLLOW = ["10"]


class PlacementDecisionsTest(testtools.TestCase):
    def test_emulated_fleets_give_the_approved_decisions(self):
        self.assertEqual([], differing_runs("placement", PLACEMENT_RUNS, EMULATED))

    def test_a_hollow_fleet_gives_the_approved_decisions(self):
        self.assertEqual([], differing_runs("hollow", HOLLOW_RUNS, HOLLOW))

    def test_what_if_runs_give_the_approved_decisions(self):
        self.assertEqual([], differing_runs("what-if", WHAT_IF_RUNS))
