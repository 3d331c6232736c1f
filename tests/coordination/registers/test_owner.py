"""Legal transitions between the phases of an owner."""

from __future__ import annotations

import testtools
from returns.result import Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.coordination.config import Timings
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import Accepted, Promise, Refused
from zincvale.coordination.registers.owner import OwnerPhase, RegisterOwner
from zincvale.coordination.registers.records import Record
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.identifiers import MemberId

KEY = "k"
INITIAL_REPLICAS = ["a/1"]
OTHER_REPLICAS = ["b/1"]
HIGHER_EPOCH = Epoch(9, "other/1")


def reduce_text(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    return Success([RowChange("text", change)])


class OwnerPhaseTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timings = Timings()
        self.owner = RegisterOwner(KEY, "a/1", reduce_text, self.timings)

    def start(self) -> None:
        config = ReplicaConfig(INITIAL_REPLICAS)
        self.owner.start(config, config, INITIAL_REPLICAS, 0.0)

    def promise(self) -> None:
        message = Promise(KEY, "1", self.owner.epoch, Record().to_update())
        self.owner.handle(MemberId("a"), message, 0.0)

    def accept(self) -> None:
        message = Accepted(KEY, "1", Position(self.owner.epoch, 0))
        self.owner.handle(MemberId("a"), message, 0.0)

    def serve(self) -> None:
        self.start()
        self.promise()
        self.accept()

    def test_an_owner_serves_after_a_quorum_of_promises_and_a_chosen_reproposal(self) -> None:
        phases = [self.owner.phase]
        for step in (self.start, self.promise, self.accept):
            step()
            phases.append(self.owner.phase)
        self.assertEqual(
            [
                OwnerPhase.FOLLOWING,
                OwnerPhase.PREPARING,
                OwnerPhase.REPROPOSING,
                OwnerPhase.SERVING,
            ],
            phases,
        )

    def test_a_move_to_other_replicas_takes_a_new_epoch(self) -> None:
        self.serve()
        epoch = self.owner.epoch
        self.owner.tick(OTHER_REPLICAS, 10.0)
        self.assertIs(OwnerPhase.PREPARING, self.owner.phase)
        self.assertGreater(self.owner.epoch, epoch)

    def test_a_higher_epoch_ends_ownership_in_every_phase(self) -> None:
        for steps in (1, 2, 3):
            self.owner = RegisterOwner(KEY, "a/1", reduce_text, self.timings)
            for step in (self.start, self.promise, self.accept)[:steps]:
                step()
            self.assertIsNot(OwnerPhase.FOLLOWING, self.owner.phase)
            self.owner.observe_epoch(HIGHER_EPOCH)
            self.assertIs(OwnerPhase.FOLLOWING, self.owner.phase)

    def test_a_refusal_of_the_epoch_ends_the_prepare_phase(self) -> None:
        self.start()
        self.owner.handle(MemberId("a"), Refused(KEY, self.owner.epoch, HIGHER_EPOCH), 0.0)
        self.assertIs(OwnerPhase.FOLLOWING, self.owner.phase)

    def test_the_prepare_phase_ends_at_its_timeout_without_a_quorum(self) -> None:
        self.start()
        self.owner.tick(INITIAL_REPLICAS, self.timings.prepare_timeout_s)
        self.assertIs(OwnerPhase.PREPARING, self.owner.phase)
        self.owner.tick(INITIAL_REPLICAS, self.timings.prepare_timeout_s + 0.1)
        self.assertIs(OwnerPhase.FOLLOWING, self.owner.phase)

    def test_a_promise_after_resignation_proposes_nothing(self) -> None:
        self.start()
        self.owner.resign()
        self.promise()
        self.assertIs(OwnerPhase.FOLLOWING, self.owner.phase)
