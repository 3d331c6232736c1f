"""When an owner may state that a change is rejected."""

from __future__ import annotations

import testtools
from returns.result import Failure, Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.coordination.config import Timings
from zincvale.coordination.registers.change_messages import CONFLICT, ProposeChange
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import (
    Accept,
    Accepted,
    ConfirmEpoch,
    EpochConfirmed,
    Promise,
)
from zincvale.coordination.registers.owner import RegisterOwner
from zincvale.coordination.registers.ownership_proof import RejectedProposal
from zincvale.coordination.registers.records import Record
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Effect, Send

KEY = "k"
CORES = ("a", "b", "c")
REPLICAS = ["a/1", "b/1", "c/1"]


def set_once(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Accept the first change only; a later one was built on a value that is gone."""
    if rows:
        return Failure(ChangeRefused("the value was set", "read it", is_conflict=True))
    return Success([RowChange("value", change)])


class RejectionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.owner = RegisterOwner(KEY, "a/1", set_once, Timings())
        config = ReplicaConfig(REPLICAS)
        self.owner.start(config, config, REPLICAS, 0.0)
        for core in CORES:
            promise = Promise(KEY, "1", self.owner.epoch, Record().to_update())
            self.owner.handle(MemberId(core), promise, 0.0)
        for core in CORES:
            self.accept(core, 0)
        self.owner.outcomes.clear()

    def accept(self, core: str, version: int) -> list[Effect]:
        position = Position(self.owner.epoch, version)
        return self.owner.handle(MemberId(core), Accepted(KEY, "1", position), 0.0)

    def submit(self, name: str) -> list[Effect]:
        proposal = ProposeChange(KEY, name, None, name.encode())
        return self.owner.submit(name, proposal, 0.0)

    def submit_two_in_one_batch(self) -> list[Effect]:
        """Submit two changes while a write is in flight, so that they are evaluated together."""
        self.owner.restore(1, {}, 0.0)
        self.submit("first")
        self.submit("second")
        return [*self.accept("a", 1), *self.accept("b", 1)]

    def confirm(self, effects: list[Effect]) -> list[Effect]:
        """Let every replica confirm the epoch, for each request to do so."""
        responses: list[Effect] = []
        for effect in effects:
            if isinstance(effect, Send) and isinstance(effect.message, ConfirmEpoch):
                request = effect.message
                response = EpochConfirmed(KEY, "1", request.epoch, request.round)
                responses.extend(self.owner.handle(effect.to, response, 0.0))
        return responses

    def rejections(self) -> list[tuple[str, str]]:
        return [
            (outcome.token, outcome.result.status)
            for outcome in self.owner.outcomes
            if isinstance(outcome, RejectedProposal)
        ]

    def test_a_change_is_not_rejected_because_of_one_that_may_still_be_lost(self) -> None:
        effects = self.submit_two_in_one_batch()
        accepts = [each for each in effects if isinstance(each, Send)]
        self.assertTrue(any(isinstance(each.message, Accept) for each in accepts))
        self.confirm(effects)
        self.assertEqual([], self.rejections())

    def test_the_rejection_follows_once_the_other_change_is_chosen(self) -> None:
        effects = self.submit_two_in_one_batch()
        effects += self.confirm(effects)
        effects += self.accept("a", 2)
        effects += self.accept("b", 2)
        self.confirm(effects)
        self.assertEqual([("second", CONFLICT)], self.rejections())

    def test_a_rejection_by_the_chosen_record_waits_for_no_write(self) -> None:
        self.submit("first")
        self.accept("a", 1)
        self.accept("b", 1)
        self.confirm(self.submit("second"))
        self.assertEqual([("second", CONFLICT)], self.rejections())

    def test_an_owner_that_is_replaced_returns_the_unproven_rejection_for_another_try(self) -> None:
        self.confirm(self.submit_two_in_one_batch())
        self.owner.observe_epoch(Epoch(9, "b/1"))
        self.assertEqual({"first", "second"}, set(self.owner.take_abandoned_tokens()))
