"""Turns of the event loop: one in each iteration, fewest turns first."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import testtools

from zincvale.runtime.admission.turns import TurnQueue


class TurnQueueTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.scheduled: list[Callable[[], None]] = []
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        self.turns = TurnQueue(self.scheduled.append, loop.create_future)

    def run_iteration(self) -> None:
        scheduled, self.scheduled[:] = list(self.scheduled), []
        for action in scheduled:
            action()

    def test_the_first_turn_of_an_iteration_is_granted_at_once(self) -> None:
        self.assertIsNone(self.turns.wait(1))
        self.run_iteration()
        self.assertIsNone(self.turns.wait(1))

    def test_one_turn_is_granted_in_each_iteration(self) -> None:
        self.turns.wait(1)
        waiting = [self.turns.wait(1) for _ in range(3)]
        for granted in range(1, 4):
            self.run_iteration()
            self.assertEqual(granted, sum(future.done() for future in waiting))

    def test_the_request_with_fewest_turns_comes_first(self) -> None:
        self.turns.wait(1)
        long, short = self.turns.wait(50), self.turns.wait(2)
        self.run_iteration()
        self.assertTrue(short.done())
        self.assertFalse(long.done())

    def test_a_turn_is_not_lost_to_a_request_that_has_ended(self) -> None:
        self.turns.wait(1)
        ended, waiting = self.turns.wait(1), self.turns.wait(2)
        ended.cancel()
        self.run_iteration()
        self.assertTrue(waiting.done())

    def test_nothing_is_scheduled_while_no_request_waits(self) -> None:
        self.turns.wait(1)
        self.run_iteration()
        self.assertEqual([], self.scheduled)
