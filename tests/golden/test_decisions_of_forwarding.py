"""The forwarding model decides as it did when the digests were approved.

The first seeds only, about ten seconds; `python -m tests.golden.compare_all forwarding` compares
all of them.
"""

from __future__ import annotations

import testtools

from tests.golden.decision_log import differing
from tests.golden.decisions_of_forwarding import FORWARDING_RUNS

SEEDS = [str(seed) for seed in range(1, 21)]


class ForwardingDecisionsTest(testtools.TestCase):
    def test_seeds_give_the_approved_decisions(self):
        self.assertEqual([], differing("forwarding", FORWARDING_RUNS, SEEDS))
