"""Racing resends over a faulty network: nothing runs twice, and what was released can run."""

from __future__ import annotations

import testtools

from tests.dataplane.test_claims_world import PROFILES, World
from zincvale.dataplane.inference.dependencies import ClaimGranted

SEED = 1
PLAYED = ("mixed", "lossy-restarts", "lossy-views", "cuts")


class NetworkTest(testtools.TestCase):
    def test_nothing_runs_twice(self) -> None:
        for name in PLAYED:
            world = World(SEED, PROFILES[name])
            world.play()
            self.assertEqual([], world.violations(), name)
            self.assertTrue(world.runs, f"{name} ran nothing")

    def test_every_new_request_runs_after_the_faults(self) -> None:
        for name in ("lossy-restarts", "views"):
            world = World(3, PROFILES[name])
            world.play()
            world.profile = PROFILES["calm"]
            decisions: list[object] = []
            running = [node for node in world.nodes.values() if node.is_up]
            for number, node in enumerate(running):
                world.attempt(node, f"late-{number}", deadline_s=1.0, then=decisions.append)
            world.run_for(1.1)
            granted = [isinstance(decision, ClaimGranted) for decision in decisions]
            self.assertEqual([True] * len(running), granted, name)

    def test_a_released_request_runs_on_a_resend(self) -> None:
        world = World(5, PROFILES["mixed"])
        world.play()
        world.profile = PROFILES["calm"]
        never_ran = [
            name for name in world.dispatches if not world.runs[name] and name.startswith("request")
        ]
        decisions: list[object] = []
        for name in never_ran:
            world.attempt(world.nodes["node-1"], name, deadline_s=3.0, then=decisions.append)
        world.run_for(4.0)
        self.assertTrue(never_ran)
        granted = [isinstance(decision, ClaimGranted) for decision in decisions]
        self.assertEqual([True] * len(never_ran), granted)
        self.assertEqual([], world.violations())
