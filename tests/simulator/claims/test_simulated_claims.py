"""Claims over the real control state: no request runs twice; without their rules one does."""

from __future__ import annotations

from unittest import mock

import testtools

from zincvale.dataplane.claims.readiness import VoterReadiness
from zincvale.dataplane.claims.view import ClaimView
from zincvale.simulator.claims.run import run_claims

SEEDS = (1, 2)
MUTATED_SEEDS = range(1, 6)
"""Tried until one notices; the seeds hold without the mutation."""


class SimulatedClaimsTest(testtools.TestCase):
    def test_nothing_runs_twice(self) -> None:
        for seed in SEEDS:
            outcome = run_claims(seed)
            self.assertEqual("", outcome.problem, seed)
            self.assertGreater(outcome.ran, 50)
            self.assertGreater(outcome.recorded, 50)

    def test_a_voter_that_votes_without_reading_back_is_noticed(self) -> None:
        def try_to_complete(readiness: VoterReadiness, now: float) -> bool:
            readiness.completed_views.add(readiness.view_version)
            return False

        with mock.patch.object(VoterReadiness, "try_to_complete", try_to_complete):
            noticed = any(run_claims(seed).invariant == "ran-twice" for seed in MUTATED_SEEDS)
        self.assertTrue(noticed)

    def test_a_majority_of_one_is_noticed(self) -> None:
        original = ClaimView.__init__

        def init(view: ClaimView, version: int, nodes: dict) -> None:  # type: ignore[type-arg]
            original(view, version, nodes)
            view.majority = 1

        with mock.patch.object(ClaimView, "__init__", init):
            self.assertEqual("ran-twice", run_claims(SEEDS[0]).invariant)
