"""The forwarding model makes the same decisions as the approved digests.

Only the first seeds are run, in about ten seconds; `python -m tests.golden.compare_all forwarding`
compares all seeds.
"""

from __future__ import annotations

import testtools

from tests.golden.decision_log import differing_runs
from tests.golden.decisions_of_forwarding import FORWARDING_RUNS

SEEDS = [str(seed) for seed in range(1, 21)]


class ForwardingDecisionsTest(testtools.TestCase):
    def test_seeds_give_the_approved_decisions(self):
        self.assertEqual([], differing_runs("forwarding", FORWARDING_RUNS, SEEDS))
