"""No request runs twice under claims; with a mutated claim rule one does, and it is detected."""

from __future__ import annotations

from unittest import mock

import testtools

from zincvale.dataplane.claims.readiness import VoterReadiness
from zincvale.dataplane.claims.view import ClaimView
from zincvale.simulator.claims.run import run_claims

SEEDS = (1, 2)
MUTATED_SEEDS = range(1, 6)
"""Seeds of which one must detect the mutation; every invariant holds on them without it."""


class SimulatedClaimsTest(testtools.TestCase):
    def test_no_request_runs_twice(self) -> None:
        for seed in SEEDS:
            outcome = run_claims(seed)
            self.assertEqual("", outcome.problem, seed)
            self.assertGreater(outcome.ran, 50)
            self.assertGreater(outcome.recorded, 50)

    def test_voter_that_votes_before_reading_back_its_state_is_detected(self) -> None:
        def try_to_complete(readiness: VoterReadiness, now: float) -> bool:
            readiness.completed_views.add(readiness.view_version)
            return False

        with mock.patch.object(VoterReadiness, "try_to_complete", try_to_complete):
            is_detected = any(run_claims(seed).invariant == "ran-twice" for seed in MUTATED_SEEDS)
        self.assertTrue(is_detected)

    def test_majority_of_one_voter_is_detected(self) -> None:
        original = ClaimView.__init__

        def init(view: ClaimView, version: int, nodes: dict) -> None:  # type: ignore[type-arg]
            original(view, version, nodes)
            view.majority = 1

        with mock.patch.object(ClaimView, "__init__", init):
            self.assertEqual("ran-twice", run_claims(SEEDS[0]).invariant)
