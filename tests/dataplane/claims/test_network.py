"""Concurrent resends over a faulty network: no request runs twice, and a released one can run."""

from __future__ import annotations

import testtools

from tests.dataplane.claims.claims_cluster import PROFILES, SimulatedCluster
from zincvale.dataplane.inference.dependencies import ClaimGranted

SEED = 1
PROFILE_NAMES = ("mixed", "lossy-restarts", "lossy-views", "cuts")


class NetworkTest(testtools.TestCase):
    def test_no_request_runs_twice(self) -> None:
        for name in PROFILE_NAMES:
            cluster = SimulatedCluster(SEED, PROFILES[name])
            cluster.run_workload()
            self.assertEqual([], cluster.violations(), name)
            self.assertTrue(cluster.runs, f"{name}: no request ran")

    def test_every_new_request_is_granted_after_the_faults(self) -> None:
        for name in ("lossy-restarts", "views"):
            cluster = SimulatedCluster(3, PROFILES[name])
            cluster.run_workload()
            cluster.profile = PROFILES["calm"]
            decisions: list[object] = []
            running = [node for node in cluster.nodes.values() if node.is_up]
            for number, node in enumerate(running):
                cluster.send_request(
                    node, f"late-{number}", deadline_s=1.0, on_decision=decisions.append
                )
            cluster.run_for(1.1)
            granted = [isinstance(decision, ClaimGranted) for decision in decisions]
            self.assertEqual([True] * len(running), granted, name)

    def test_a_resend_of_a_released_request_is_granted(self) -> None:
        cluster = SimulatedCluster(5, PROFILES["mixed"])
        cluster.run_workload()
        cluster.profile = PROFILES["calm"]
        never_ran = [
            name
            for name in cluster.dispatches
            if not cluster.runs[name] and name.startswith("request")
        ]
        decisions: list[object] = []
        for name in never_ran:
            cluster.send_request(
                cluster.nodes["node-1"], name, deadline_s=3.0, on_decision=decisions.append
            )
        cluster.run_for(4.0)
        self.assertTrue(never_ran)
        granted = [isinstance(decision, ClaimGranted) for decision in decisions]
        self.assertEqual([True] * len(never_ran), granted)
        self.assertEqual([], cluster.violations())
