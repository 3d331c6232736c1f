"""Agreement of a register under many interleavings of its messages, and rules of its replicas.

Faults that are injected on purpose show that the check of agreement can fail.
"""

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

EXPLORED_STATES = 40_000
RANDOM_WALKS = 800


class RegisterExplorationTest(testtools.TestCase):
    def run_random_walks(self, walks: int) -> int:
        explorer = Explorer()
        return sum(explorer.walk_randomly((2, 2), random.Random(seed)) for seed in range(walks))

    def test_no_interleaving_chooses_two_values_for_one_version(self) -> None:
        self.assertGreaterEqual(Explorer().explore((1, 1), EXPLORED_STATES), EXPLORED_STATES)

    def test_random_interleavings_with_two_starts_per_owner_agree(self) -> None:
        self.assertGreater(self.run_random_walks(RANDOM_WALKS), RANDOM_WALKS)

    def test_a_quorum_of_one_replica_is_detected_as_disagreement(self) -> None:
        with mock.patch.object(replica_config, "majority", lambda size: 1):
            self.assertRaises(AssertionError, self.run_random_walks, RANDOM_WALKS)

    def test_a_replica_that_forgets_its_promise_is_detected_as_disagreement(self) -> None:
        start_accept = RegisterReplica._start_accept

        def forget(self, key, replica, sender, epoch, update):  # type: ignore[no-untyped-def]
            replica.state = attrs.evolve(replica.state, promised=Epoch())
            return start_accept(self, key, replica, sender, epoch, update)

        with mock.patch.object(RegisterReplica, "_start_accept", forget):
            self.assertRaises(AssertionError, self.run_random_walks, RANDOM_WALKS)


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

    def test_a_response_is_sent_only_after_the_disk_stored_the_promise(self) -> None:
        (write,) = self.request_replica(Prepare(KEY, Epoch(3, "owner/1")))
        assert isinstance(write, Write)
        self.assertEqual([], self.request_replica(Prepare(KEY, Epoch(4, "owner/1"))))
        responses = self.replica.handle_written(write.token, "", 0.0)
        assert isinstance(responses[0], Send)
        self.assertIsInstance(responses[0].message, Promise)
        self.assertIsInstance(responses[1], Write)

    def test_a_failed_write_gets_no_response_and_stops_the_replica(self) -> None:
        (write,) = self.request_replica(Prepare(KEY, Epoch(3, "owner/1")))
        assert isinstance(write, Write)
        responses = self.replica.handle_written(write.token, "full", 0.0)
        self.assertEqual([], [effect for effect in responses if isinstance(effect, Send)])
        self.assertEqual(StoredKeyState(), self.replica.state(KEY))
        self.assertEqual([], self.request_replica(Prepare(KEY, Epoch(4, "owner/1"))))

    def test_requests_below_the_promised_epoch_are_refused(self) -> None:
        self.promise(5)
        record = Record().reproposed_under(Epoch(4, "other/1"), CONFIG)
        accept = Accept(KEY, Epoch(4, "other/1"), record.to_update(), 0)
        for request in (Prepare(KEY, Epoch(4, "other/1")), accept):
            (response,) = self.request_replica(request)
            assert isinstance(response, Send)
            self.assertIsInstance(response.message, Refused)
