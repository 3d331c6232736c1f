"""How large the chain of a key grows in the data folder."""

from __future__ import annotations

import testtools

from zincvale.coordination.config import Timings
from zincvale.coordination.registers.epochs import Epoch, Position
from zincvale.coordination.registers.messages import Accept, RecordUpdate
from zincvale.coordination.registers.recovered_state import RecoveredKey, RecoveredState
from zincvale.coordination.registers.replica import (
    MIN_DELTA_BYTES,
    SNAPSHOT_EVERY_FILES,
    RegisterReplica,
)
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Write

KEY = "intent"
EPOCH = Epoch(1, "core-1/a")
CONFIG = ReplicaConfig(["core-1/disk"])
ROWS = 1_000


class ReplicaFilesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.replica = RegisterReplica(RecoveredState("disk"), Timings())
        self.version = 0
        self.chain: list[bytes] = []
        """The newest chain of files."""

    def change(self, puts: dict[str, bytes]) -> None:
        """Accept a change of rows, and write the file that stores it."""
        position = self.replica.state(KEY).record.position
        base = position if self.version else None
        self.version += 1
        update = RecordUpdate(Position(EPOCH, self.version), base, CONFIG, puts, [], [])
        request = Accept(KEY, EPOCH, update, self.version - 1)
        for effect in self.replica.handle(MemberId("owner"), request, KEY):
            if isinstance(effect, Write):
                if effect.content[:1] == b"S":
                    self.chain.clear()
                self.chain.append(effect.content)
                self.replica.handle_written(effect.token, "", 0.0)

    def change_all_rows(self) -> None:
        self.change({f"route/{row}": b"%06d" % self.version * 100 for row in range(ROWS)})

    def test_deltas_take_no_more_space_than_their_snapshot(self) -> None:
        """LOST: 64 files of a key, each with all rows, filled the disk of a small machine."""
        for _ in range(20):
            self.change_all_rows()
            self.assertLessEqual(sum(map(len, self.chain[1:])), len(self.chain[0]))

    def test_a_restart_counts_the_files_that_it_finds(self) -> None:
        for _ in range(3):
            self.change_all_rows()
        recovered = RecoveredState("disk", {KEY: RecoveredKey(list(self.chain), self.version)})
        self.replica = RegisterReplica(recovered, Timings())
        for _ in range(4):
            self.change_all_rows()
            self.assertLessEqual(sum(map(len, self.chain[1:])), len(self.chain[0]))

    def test_small_deltas_make_a_chain_of_its_full_length(self) -> None:
        self.change_all_rows()
        for _ in range(SNAPSHOT_EVERY_FILES - 1):
            self.change({"route/1": b"x"})
        self.assertEqual(SNAPSHOT_EVERY_FILES, len(self.chain))
        self.assertLess(sum(map(len, self.chain[1:])), MIN_DELTA_BYTES)
        self.change({"route/1": b"y"})
        self.assertEqual(1, len(self.chain))
