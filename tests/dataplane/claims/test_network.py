"""Racing resends over a faulty network: nothing runs twice, and what was released can run."""

from __future__ import annotations

import testtools

from tests.dataplane.claims.claims_cluster import PROFILES, SimulatedCluster
from zincvale.dataplane.inference.dependencies import ClaimGranted

SEED = 1
PLAYED = ("mixed", "lossy-restarts", "lossy-views", "cuts")


class NetworkTest(testtools.TestCase):
    def test_nothing_runs_twice(self) -> None:
        for name in PLAYED:
            cluster = SimulatedCluster(SEED, PROFILES[name])
            cluster.play()
            self.assertEqual([], cluster.violations(), name)
            self.assertTrue(cluster.runs, f"{name} ran nothing")

    def test_every_new_request_runs_after_the_faults(self) -> None:
        for name in ("lossy-restarts", "views"):
            cluster = SimulatedCluster(3, PROFILES[name])
            cluster.play()
            cluster.profile = PROFILES["calm"]
            decisions: list[object] = []
            running = [node for node in cluster.nodes.values() if node.is_up]
            for number, node in enumerate(running):
                cluster.attempt(node, f"late-{number}", deadline_s=1.0, then=decisions.append)
            cluster.run_for(1.1)
            granted = [isinstance(decision, ClaimGranted) for decision in decisions]
            self.assertEqual([True] * len(running), granted, name)

    def test_a_released_request_runs_on_a_resend(self) -> None:
        cluster = SimulatedCluster(5, PROFILES["mixed"])
        cluster.play()
        cluster.profile = PROFILES["calm"]
        never_ran = [
            name
            for name in cluster.dispatches
            if not cluster.runs[name] and name.startswith("request")
        ]
        decisions: list[object] = []
        for name in never_ran:
            cluster.attempt(cluster.nodes["node-1"], name, deadline_s=3.0, then=decisions.append)
        cluster.run_for(4.0)
        self.assertTrue(never_ran)
        granted = [isinstance(decision, ClaimGranted) for decision in decisions]
        self.assertEqual([True] * len(never_ran), granted)
        self.assertEqual([], cluster.violations())
