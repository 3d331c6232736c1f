"""Requests that arrived while the process did not run are told apart, however slow it wakes."""

from __future__ import annotations

from collections.abc import Callable

import testtools

from tests.runtime.test_driver import ManualClock
from zincvale.runtime.pauses import PAUSE_GAP_S, SETTLE_S, SETTLE_TURNS, PauseDetector

TICK_S = 0.05


class PauseTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.clock = ManualClock()
        self.next_turn: list[Callable[[], None]] = []
        self.pauses = PauseDetector(self.clock, self.next_turn.append)

    def turn(self, count: int = 1) -> None:
        """Play turns of the event loop."""
        for _ in range(count):
            calls, self.next_turn[:] = list(self.next_turn), []
            for call in calls:
                call()

    def pass_time(self, seconds: float) -> None:
        self.clock.now += seconds

    def test_a_running_process_reads_no_delayed_requests(self) -> None:
        for _ in range(20):
            self.pass_time(TICK_S)
            self.pauses.on_tick()
            self.assertFalse(self.pauses.may_read_delayed_requests())
        self.assertEqual([], self.next_turn)

    def test_a_request_that_is_read_before_the_first_tick_after_a_freeze_is_delayed(self) -> None:
        self.pass_time(PAUSE_GAP_S + 0.1)
        self.assertTrue(self.pauses.may_read_delayed_requests())

    def test_a_request_is_delayed_for_some_turns_however_long_a_turn_takes(self) -> None:
        self.pass_time(2.4)
        self.pauses.on_tick()
        self.turn(SETTLE_TURNS - 1)
        self.pass_time(SETTLE_S + 0.1)
        self.assertTrue(self.pauses.may_read_delayed_requests())
        self.turn()
        self.assertFalse(self.pauses.may_read_delayed_requests())

    def test_a_request_is_delayed_for_some_time_however_short_the_turns_are(self) -> None:
        self.pass_time(2.4)
        self.pauses.on_tick()
        self.turn(SETTLE_TURNS)
        self.assertTrue(self.pauses.may_read_delayed_requests())
        self.pass_time(SETTLE_S)
        self.assertFalse(self.pauses.may_read_delayed_requests())

    def test_a_further_pause_begins_the_count_again(self) -> None:
        for _ in range(2):
            self.pass_time(2.4)
            self.pauses.on_tick()
            self.turn(SETTLE_TURNS - 1)
        self.pass_time(SETTLE_S)
        self.assertTrue(self.pauses.may_read_delayed_requests())
        self.turn()
        self.assertFalse(self.pauses.may_read_delayed_requests())
