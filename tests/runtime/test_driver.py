"""The driver: a freeze is fed ahead of what arrived meanwhile; effects go out in order."""

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

    def test_a_freeze_is_fed_before_the_message_that_arrived_in_it(self) -> None:
        self.clock.now += 25.0
        self.driver.submit(MessageReceived(PEER, "late"))
        self.assertThat(
            self.machine.inputs, Equals([ClockJumped(25.0), MessageReceived(PEER, "late")])
        )

    def test_a_failed_write_is_reported(self) -> None:
        self.machine.effects[MessageReceived] = [Write("w1", "intent", 1, b"x")]
        self.driver.submit(MessageReceived(PEER, "go"))
        self.assertThat(self.machine.inputs[-1], Equals(WriteCompleted("w1", "disk full")))

    def test_what_goes_back_to_the_sender_is_in_the_response(self) -> None:
        self.machine.effects[MessageReceived] = [Send(PEER, "answer")]
        self.assertThat(self.driver.submit_messages(PEER, ["question"]), Equals(["answer"]))

    def test_a_message_to_itself_is_an_input(self) -> None:
        self.machine.effects[CallReceived] = [Send(OWN, "self"), Reply("t", "done")]
        self.driver.submit_call(PEER, "t", "call")
        self.assertThat(self.machine.inputs[-1], Equals(MessageReceived(OWN, "self")))
        self.assertThat(self.replies, Equals([("t", "done")]))

    def test_a_defect_in_one_input_replies_to_its_call_and_goes_on(self) -> None:
        class Defective(RecordingMachine):
            def handle(self, event: Input, now: float) -> list[Effect]:
                super().handle(event, now)
                raise ValueError("defect")

        self.driver.machine = Defective()
        self.driver.submit_call(PEER, "t", "call")
        self.driver.submit_call(PEER, "u", "call")
        self.assertThat(self.replies, HasLength(2))
