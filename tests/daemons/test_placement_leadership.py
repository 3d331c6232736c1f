"""Order in which the placement controller and other components are informed of the leader lease."""

from __future__ import annotations

from types import SimpleNamespace

import testtools

from zincvale.controlplane.placement.events import LeaderGained, LeaderLost
from zincvale.coordination.changes import LeadershipState
from zincvale.daemons.placement_leadership import PlacementLeadership


class PlacementLeadershipTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.state = LeadershipState()
        self.events: list[object] = []
        self.runner = SimpleNamespace(feed=self.events.append, epoch=0)
        self.leadership = PlacementLeadership(
            SimpleNamespace(role=lambda name, now: self.state),
            self.runner,
            lambda epoch: self.events.append(("gained", epoch, self.runner.epoch)),
            lambda: self.events.append(("lost", self.leadership.epoch)),
        )

    def effects_of(self, state: LeadershipState) -> list[object]:
        """Update the lease to `state`; return the calls and inputs that this causes, in order."""
        self.events.clear()
        self.state = state
        self.leadership.update(5.0)
        return list(self.events)

    def test_a_core_that_never_led_reports_no_change(self) -> None:
        self.assertEqual([], self.effects_of(LeadershipState()))

    def test_a_new_epoch_is_reported_before_the_controller_is_informed(self) -> None:
        expected = [("gained", 3, 3), LeaderGained(3, 9.0)]
        self.assertEqual(expected, self.effects_of(LeadershipState(True, 3, 9.0)))
        self.assertEqual(3, self.leadership.epoch)

    def test_a_renewal_is_reported_only_to_the_controller(self) -> None:
        self.effects_of(LeadershipState(True, 3, 9.0))
        self.assertEqual([LeaderGained(3, 10.0)], self.effects_of(LeadershipState(True, 3, 10.0)))

    def test_the_end_of_a_lease_is_reported_once_and_after_the_epoch_is_0(self) -> None:
        self.effects_of(LeadershipState(True, 3, 9.0))
        self.assertEqual([("lost", 0), LeaderLost()], self.effects_of(LeadershipState()))
        self.assertEqual([], self.effects_of(LeadershipState()))

    def test_the_end_of_one_epoch_is_reported_before_the_next_epoch(self) -> None:
        self.effects_of(LeadershipState(True, 3, 9.0))
        expected = [("lost", 0), LeaderLost(), ("gained", 4, 4), LeaderGained(4, 12.0)]
        self.assertEqual(expected, self.effects_of(LeadershipState(True, 4, 12.0)))
