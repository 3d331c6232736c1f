"""Simulated clusters, claims and registers make the same decisions as the approved digests.

To stay within 40 seconds only some seeds are run: the first schedules, and for the claims one seed
whose messages pass through the codec and one whose messages do not.
`python -m tests.golden.compare_all` compares all seeds.
"""

from __future__ import annotations

import testtools

from tests.golden.decision_log import differing_runs
from tests.golden.decisions_of_cluster import CLAIMS_RUNS, CLUSTER_RUNS, REGISTER_RUNS

CLUSTER_SEEDS = [str(seed) for seed in range(1, 21)]
CLAIMS_SEEDS = ["1", "4"]


class ClusterDecisionsTest(testtools.TestCase):
    def test_schedules_give_the_approved_decisions(self):
        self.assertEqual([], differing_runs("cluster", CLUSTER_RUNS, CLUSTER_SEEDS))

    def test_claims_give_the_approved_decisions(self):
        self.assertEqual([], differing_runs("claims", CLAIMS_RUNS, CLAIMS_SEEDS))

    def test_registers_give_the_approved_decisions(self):
        self.assertEqual([], differing_runs("register", REGISTER_RUNS))
