"""The register under every order of events, within bounds; and proof that the check can fail."""

from __future__ import annotations

import random
from unittest import mock

import attrs
import testtools

from tests.coordination.exploration import CONFIG, KEY, Explorer
from zincvale.coordination.config import Timings
from zincvale.coordination.registers.epochs import Epoch
from zincvale.coordination.registers.messages import Accept, Prepare, Promise, Refused
from zincvale.coordination.registers.record_codec import StoredKeyState
from zincvale.coordination.registers.records import Record
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.coordination.registers.replica import RegisterReplica
from zincvale.coordination.replication import replica_config
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Send, Write

STATES = 40_000
WALKS = 800


class RegisterExplorationTest(testtools.TestCase):
    def walk_all(self, walks: int) -> int:
        explorer = Explorer()
        return sum(explorer.walk((2, 2), random.Random(seed)) for seed in range(walks))

    def test_no_interleaving_chooses_two_values_for_one_version(self) -> None:
        self.assertGreaterEqual(Explorer().explore((1, 1), STATES), STATES)

    def test_random_schedules_with_repeated_attempts_agree(self) -> None:
        self.assertGreater(self.walk_all(WALKS), WALKS)

    def test_a_majority_of_one_is_detected(self) -> None:
        with mock.patch.object(replica_config, "majority", lambda size: 1):
            self.assertRaises(AssertionError, self.walk_all, WALKS)

    def test_a_forgotten_promise_is_detected(self) -> None:
        start = RegisterReplica._start_accept

        def forgetful(self, key, slot, sender, epoch, update):  # type: ignore[no-untyped-def]
            slot.state = attrs.evolve(slot.state, promised=Epoch())
            return start(self, key, slot, sender, epoch, update)

        with mock.patch.object(RegisterReplica, "_start_accept", forgetful):
            self.assertRaises(AssertionError, self.walk_all, WALKS)


class RegisterReplicaTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.replica = RegisterReplica(RecoveredState("disk"), Timings())

    def request_replica(self, request: Prepare | Accept) -> list[object]:
        return list(self.replica.handle(MemberId("owner"), request, KEY))

    def promise(self, number: int) -> list[object]:
        (write,) = self.request_replica(Prepare(KEY, Epoch(number, "owner/1")))
        assert isinstance(write, Write)
        return list(self.replica.handle_written(write.token, "", 0.0))

    def test_no_response_leaves_before_the_disk_stored_it(self) -> None:
        (write,) = self.request_replica(Prepare(KEY, Epoch(3, "owner/1")))
        assert isinstance(write, Write)
        self.assertEqual([], self.request_replica(Prepare(KEY, Epoch(4, "owner/1"))))
        responses = self.replica.handle_written(write.token, "", 0.0)
        assert isinstance(responses[0], Send)
        self.assertIsInstance(responses[0].message, Promise)
        self.assertIsInstance(responses[1], Write)

    def test_a_failed_write_gets_no_response(self) -> None:
        (write,) = self.request_replica(Prepare(KEY, Epoch(3, "owner/1")))
        assert isinstance(write, Write)
        responses = self.replica.handle_written(write.token, "full", 0.0)
        self.assertEqual([], [each for each in responses if isinstance(each, Send)])
        self.assertEqual(StoredKeyState(), self.replica.state(KEY))
        self.assertEqual([], self.request_replica(Prepare(KEY, Epoch(4, "owner/1"))))

    def test_lower_epochs_are_refused(self) -> None:
        self.promise(5)
        record = Record().moved_to(Epoch(4, "other/1"), CONFIG)
        accept = Accept(KEY, Epoch(4, "other/1"), record.to_update(), 0)
        for request in (Prepare(KEY, Epoch(4, "other/1")), accept):
            (response,) = self.request_replica(request)
            assert isinstance(response, Send)
            self.assertIsInstance(response.message, Refused)
