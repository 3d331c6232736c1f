"""The machine driver: order of inputs after a freeze, execution of effects, and defects."""

from __future__ import annotations

from typing import Any

import testtools
from testtools.matchers import Equals, HasLength

from zincvale.model.identifiers import MemberId
from zincvale.model.machine import (
    CallReceived,
    ClockJumped,
    Effect,
    Input,
    MessageReceived,
    Reply,
    Send,
    Write,
    WriteCompleted,
)
from zincvale.runtime.driver import MachineDriver

OWN = MemberId("core-1")
PEER = MemberId("core-2")


class RecordingMachine:
    def __init__(self) -> None:
        self.inputs: list[Input] = []
        self.effects: dict[type, list[Effect]] = {}

    def handle(self, event: Input, now: float) -> list[Effect]:
        self.inputs.append(event)
        return self.effects.get(type(event), [])


class ManualClock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class FailingStorage:
    def write(self, key: str, version: int, content: bytes) -> str:
        return "disk full"


class DriverTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = RecordingMachine()
        self.clock = ManualClock()
        self.replies: list[tuple[str, Any]] = []
        self.driver = MachineDriver(
            self.machine, OWN, self.clock, FailingStorage(), self._reply, lambda: None
        )

    def _reply(self, token: str, message: Any) -> bool:
        self.replies.append((token, message))
        return True

    def test_a_clock_jump_precedes_a_message_that_arrived_during_the_freeze(self) -> None:
        self.clock.now += 25.0
        self.driver.submit(MessageReceived(PEER, "late"))
        self.assertThat(
            self.machine.inputs, Equals([ClockJumped(25.0), MessageReceived(PEER, "late")])
        )

    def test_a_failed_write_is_reported_to_the_machine(self) -> None:
        self.machine.effects[MessageReceived] = [Write("w1", "intent", 1, b"x")]
        self.driver.submit(MessageReceived(PEER, "go"))
        self.assertThat(self.machine.inputs[-1], Equals(WriteCompleted("w1", "disk full")))

    def test_messages_to_the_sender_are_returned_with_the_response(self) -> None:
        self.machine.effects[MessageReceived] = [Send(PEER, "answer")]
        self.assertThat(self.driver.submit_messages(PEER, ["question"]), Equals(["answer"]))

    def test_a_message_to_the_member_itself_becomes_an_input(self) -> None:
        self.machine.effects[CallReceived] = [Send(OWN, "self"), Reply("t", "done")]
        self.driver.submit_call(PEER, "t", "call")
        self.assertThat(self.machine.inputs[-1], Equals(MessageReceived(OWN, "self")))
        self.assertThat(self.replies, Equals([("t", "done")]))

    def test_a_call_whose_handling_fails_is_replied_to_and_the_next_is_handled(self) -> None:
        class Defective(RecordingMachine):
            def handle(self, event: Input, now: float) -> list[Effect]:
                super().handle(event, now)
                raise ValueError("defect")

        self.driver.machine = Defective()
        self.driver.submit_call(PEER, "t", "call")
        self.driver.submit_call(PEER, "u", "call")
        self.assertThat(self.replies, HasLength(2))
