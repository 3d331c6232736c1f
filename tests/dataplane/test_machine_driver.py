"""The driver of claims and the stream journal: effects, replies, results and cancelled waits."""

from __future__ import annotations

import asyncio
from typing import Any

import testtools

from zincvale.dataplane.machine_driver import MachineDriver
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call, CallReceived, Log, Reply, Tick

PEER = MemberId("node-2")


class MachineDriverTest(testtools.TestCase):
    """The machine returns the effects that a test has set before the input."""

    def setUp(self) -> None:
        super().setUp()
        self.inputs: list[tuple[Any, float]] = []
        self.calls: list[Call] = []
        self.own_effects: list[Any] = []
        self.logs: list[tuple[int, dict[str, Any]]] = []
        self.effects: list[Any] = []
        self.driver: MachineDriver[Any] = MachineDriver(
            self._handle,
            lambda: 7.0,
            self.calls.append,
            self.own_effects.append,
            lambda number, fields: self.logs.append((number, fields)),
        )

    def _handle(self, event: Any, now: float) -> list[Any]:
        self.inputs.append((event, now))
        if isinstance(event, CallReceived):
            return [Reply(event.token, f"to {event.message}")]
        effects, self.effects = self.effects, []
        return effects

    def test_each_kind_of_effect_is_passed_to_its_callback(self) -> None:
        call = Call(PEER, "t", "message", 1.0)
        self.effects = [call, Log(7001, {"view": 1}), "own"]
        self.driver.submit("event")
        self.driver.tick(8.0)
        self.assertEqual([("event", 7.0), (Tick(), 8.0)], self.inputs)
        self.assertEqual([call], self.calls)
        self.assertEqual([(7001, {"view": 1})], self.logs)
        self.assertEqual(["own"], self.own_effects)

    def test_each_call_gets_its_own_reply(self) -> None:
        replies = [self.driver.receive(PEER, name) for name in ("a", "b")]
        self.assertEqual(["to a", "to b"], replies)

    def test_a_request_ends_with_the_result_for_its_token(self) -> None:
        async def scenario() -> list[Any]:
            tasks = [asyncio.ensure_future(self.driver.request(str)) for _ in range(2)]
            await asyncio.sleep(0)
            tokens = [token for token, _ in self.inputs]
            for token in reversed(tokens):
                self.driver.resolve(token, f"result of {token}")
            self.driver.resolve("nobody waits for this", None)
            return [await task for task in tasks] + tokens

        first, second, *tokens = asyncio.run(scenario())
        self.assertEqual([f"result of {token}" for token in tokens], [first, second])

    def test_a_cancelled_request_passes_on_what_was_granted(self) -> None:
        async def cancel(has_result: bool) -> list[Any]:
            cancelled: list[Any] = []
            task = asyncio.ensure_future(
                self.driver.request(str, lambda token, result: cancelled.append((token, result)))
            )
            await asyncio.sleep(0)
            token = self.inputs[-1][0]
            if has_result:
                self.driver.resolve(token, "granted")
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            self.assertTrue(task.cancelled())
            return [token, *cancelled]

        for has_result, expected in ((False, None), (True, "granted")):
            token, cancelled = asyncio.run(cancel(has_result))
            self.assertEqual((token, expected), cancelled)
