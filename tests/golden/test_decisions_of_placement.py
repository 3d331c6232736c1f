"""Placement decides as it did when the digests were approved.

Of the emulated runs only the load that has everything, under every policy, and of the hollow fleets
the smallest, to stay within a quarter of a minute; `python -m tests.golden.compare_all` compares
all of them.
"""

from __future__ import annotations

import testtools

from tests.golden.decision_log import differing
from tests.golden.decisions_of_placement import HOLLOW_RUNS, PLACEMENT_RUNS, WHAT_IF_RUNS

EMULATED = [name for name in PLACEMENT_RUNS if " everything " in name]
HOLLOW = ["10"]


class PlacementDecisionsTest(testtools.TestCase):
    def test_emulated_fleets_give_the_approved_decisions(self):
        self.assertEqual([], differing("placement", PLACEMENT_RUNS, EMULATED))

    def test_a_hollow_fleet_gives_the_approved_decisions(self):
        self.assertEqual([], differing("hollow", HOLLOW_RUNS, HOLLOW))

    def test_what_if_runs_give_the_approved_decisions(self):
        self.assertEqual([], differing("what-if", WHAT_IF_RUNS))
