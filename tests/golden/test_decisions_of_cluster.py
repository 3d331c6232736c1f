"""The cluster simulator, claims and registers decide as they did when the digests were approved.

A part of the seeds only, to stay within 40 seconds: the first schedules; of the claims one seed
whose messages pass through the codec and one whose messages do not.
`python -m tests.golden.compare_all` compares all.
"""

from __future__ import annotations

import testtools

from tests.golden.decision_log import differing
from tests.golden.decisions_of_cluster import CLAIMS_RUNS, CLUSTER_RUNS, REGISTER_RUNS

CLUSTER_SEEDS = [str(seed) for seed in range(1, 21)]
CLAIMS_SEEDS = ["1", "4"]


class ClusterDecisionsTest(testtools.TestCase):
    def test_schedules_give_the_approved_decisions(self):
        self.assertEqual([], differing("cluster", CLUSTER_RUNS, CLUSTER_SEEDS))

    def test_claims_give_the_approved_decisions(self):
        self.assertEqual([], differing("claims", CLAIMS_RUNS, CLAIMS_SEEDS))

    def test_registers_give_the_approved_decisions(self):
        self.assertEqual([], differing("register", REGISTER_RUNS))
