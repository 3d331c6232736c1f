"""Which accepted replica sets a core uses, and when it returns to an older version."""

from __future__ import annotations

import random

import testtools

from zincvale.coordination.config import CoreConfig, Timings
from zincvale.coordination.core.context import CoreContext
from zincvale.coordination.delivery.versioned_table import VersionedTable
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.membership.peer_table import PeerTable
from zincvale.coordination.registers.cluster_creation import ClusterCreation
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import Accept, RecordUpdate
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.coordination.registers.replica import RegisterReplica
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.coordination.replication.replica_sets import REPLICA_SETS_KEY, CoreRow, initial_rows
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.model.machine import Write

DISK = "disk-1"
FIRST_OWNER = Epoch(1, "core-1/a")
SECOND_OWNER = Epoch(2, "core-2/b")


def core_rows(*names: str) -> list[CoreRow]:
    return [
        CoreRow(MemberInfo(name, "core", "z", f"{name}:1", f"{name}:2", "run"), f"disk-{name}")
        for name in names
    ]


class AcceptedReplicaSetsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        config = CoreConfig(
            cluster_id="test",
            member=MemberId("core-1"),
            incarnation="run",
            zone=ZoneName("z"),
            region="r",
            api_address=Address("core-1:1"),
            peer_address=Address("core-1:2"),
        )
        self.replica = RegisterReplica(RecoveredState(DISK), Timings())
        cores = PeerTable(config)
        self.context = CoreContext(config, random.Random(1), 0.0, DISK, {}, self.replica, cores)
        self.creation = ClusterCreation(self.context, [REPLICA_SETS_KEY])

    def accept(self, epoch: Epoch, version: int, *names: str) -> None:
        rows = initial_rows("cluster", core_rows(*names), [REPLICA_SETS_KEY])
        replicas = ReplicaConfig([row.replica() for row in core_rows(*names)])
        update = RecordUpdate(Position(epoch, version), None, replicas, rows, [], [])
        request = Accept(REPLICA_SETS_KEY, epoch, update, version - 1)
        effects = self.replica.handle(MemberId("owner"), request, REPLICA_SETS_KEY)
        for effect in effects:
            if isinstance(effect, Write):
                self.replica.handle_written(effect.token, "", 0.0)
        self.creation.apply_accepted_replica_sets()

    def test_the_newest_accepted_replica_sets_are_used(self) -> None:
        self.accept(FIRST_OWNER, 1, "core-1", "core-2")
        self.accept(FIRST_OWNER, 2, "core-1", "core-2", "core-3")
        self.assertEqual(2, self.context.replica_sets.version)

    def test_replica_sets_that_were_never_chosen_are_rolled_back(self) -> None:
        """An isolated owner stores a change only on its own disk; the next owner overwrites it."""
        self.accept(FIRST_OWNER, 1, "core-1", "core-2")
        self.accept(FIRST_OWNER, 2, "core-1", "core-2", "core-3")
        self.accept(SECOND_OWNER, 1, "core-1", "core-2")
        self.assertEqual(1, self.context.replica_sets.version)
        self.assertNotIn(MemberId("core-3"), self.context.replica_sets.cores)

    def test_replica_sets_known_to_be_chosen_are_never_rolled_back(self) -> None:
        self.accept(FIRST_OWNER, 1, "core-1", "core-2")
        self.accept(FIRST_OWNER, 3, "core-1", "core-2", "core-3")
        chosen = VersionedTable()
        chosen.replace(3, self.replica.state(REPLICA_SETS_KEY).record.rows)
        self.context.values[REPLICA_SETS_KEY] = chosen
        self.accept(SECOND_OWNER, 1, "core-1", "core-2")
        self.assertEqual(3, self.context.replica_sets.version)
