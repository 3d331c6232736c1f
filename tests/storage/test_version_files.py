"""Tests of version files in a real folder: restarts, torn files, other clusters, failed writes."""

from __future__ import annotations

import random
import tempfile
from pathlib import Path

import testtools

from zincvale.model.errors import StorageError, WrongClusterError
from zincvale.storage.disk import RealDisk
from zincvale.storage.version_files import VersionFiles


class FullDisk(RealDisk):
    """A disk whose writes fail while `full` is set."""

    full = False

    def write_synced(self, path: Path, content: bytes) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        super().write_synced(path, content)


class SmallDisk(RealDisk):
    """A disk with little space, all of which its files take; removed files free theirs."""

    capacity_bytes = 1_000

    def write_synced(self, path: Path, content: bytes) -> None:
        root = next(each for each in path.parents if each.name == "data")
        used = sum(each.stat().st_size for each in root.rglob("*") if each.is_file())
        if used + len(content) > self.capacity_bytes:
            raise OSError(28, "No space left on device")
        super().write_synced(path, content)


class VersionFilesTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"
        self.disk = FullDisk()

    def new_files(self, cluster_id: str = "c", seed: int = 1) -> VersionFiles:
        return VersionFiles(self.folder, self.disk, cluster_id, random.Random(seed))

    def test_a_restart_reads_the_newest_chain(self) -> None:
        files = self.new_files()
        identity = files.load().disk
        for number, content in enumerate([b"Sone", b"Dtwo", b"Sthree", b"Dfour"], start=1):
            self.assertEqual("", files.write("role/a b", number, content))
        state = self.new_files().load()
        self.assertEqual(identity, state.disk)
        self.assertEqual([b"Sthree", b"Dfour"], state.keys["role/a b"].contents)
        self.assertEqual(4, state.keys["role/a b"].last_file)

    def test_old_chains_are_pruned(self) -> None:
        files = self.new_files()
        files.load()
        for number in range(1, 11):
            files.write("k", number, b"S" + bytes([number]))
        self.assertEqual(
            ["000000000009", "000000000010"], self.disk.list_files(self.folder / "keys" / "k")
        )

    def test_a_torn_file_replaces_the_identity_of_the_disk(self) -> None:
        files = self.new_files()
        identity = files.load().disk
        files.write("k", 1, b"Sone")
        files.write("k", 2, b"Dtwo")
        path = self.folder / "keys" / "k" / "000000000002"
        path.write_bytes(path.read_bytes()[:-1])
        state = self.new_files(seed=2).load()
        self.assertIn("torn", state.damaged["k"])
        self.assertEqual({}, state.keys)
        self.assertNotEqual(identity, state.disk)
        self.assertEqual(
            ["k.000000000001", "k.000000000002"],
            self.disk.list_files(self.folder / "quarantine"),
        )
        self.assertEqual({}, self.new_files().load().damaged)

    def test_a_torn_file_before_the_newest_snapshot_is_ignored(self) -> None:
        files = self.new_files()
        files.load()
        files.write("k", 1, b"Sone")
        files.write("k", 2, b"Stwo")
        (self.folder / "keys" / "k" / "000000000001").write_bytes(b"")
        state = self.new_files().load()
        self.assertEqual(([b"Stwo"], {}), (state.keys["k"].contents, state.damaged))

    def test_a_missing_file_of_a_chain_is_reported_as_damage(self) -> None:
        files = self.new_files()
        files.load()
        for number, content in enumerate([b"Sone", b"Dtwo", b"Dthree"], start=1):
            files.write("k", number, content)
        (self.folder / "keys" / "k" / "000000000002").unlink()
        self.assertIn("missing", self.new_files(seed=2).load().damaged["k"])

    def test_a_temporary_file_is_not_reported_as_damage(self) -> None:
        files = self.new_files()
        files.load()
        files.write("k", 1, b"Sone")
        (self.folder / "keys" / "k" / "000000000002.aside").write_bytes(b"half")
        state = self.new_files().load()
        self.assertEqual({}, state.damaged)

    def test_a_write_to_a_full_disk_returns_the_error_and_a_later_write_succeeds(self) -> None:
        files = self.new_files()
        files.load()
        self.disk.full = True
        self.assertIn("No space left", files.write("k", 1, b"Sone"))
        self.disk.full = False
        self.assertEqual("", files.write("k", 2, b"Stwo"))
        self.assertEqual([b"Stwo"], self.new_files().load().keys["k"].contents)

    def test_a_full_disk_gives_up_what_is_retained_for_inspection_only(self) -> None:
        """ACKS: a full disk took no write, and only a write removed older files."""
        self.disk = SmallDisk()
        files = self.new_files()
        files.load()
        number = 0
        for key in ("a", "b"):
            for _ in range(2):
                number += 1
                self.assertEqual("", files.write(key, number, b"S" + b"x" * 180))
        self.assertEqual("", files.write("a", 10, b"S" + b"y" * 400))
        state = self.new_files().load()
        self.assertEqual([b"S" + b"y" * 400], state.keys["a"].contents)
        self.assertEqual([b"S" + b"x" * 180], state.keys["b"].contents)

    def test_a_disk_that_stays_full_keeps_the_newest_chains(self) -> None:
        self.disk = SmallDisk()
        files = self.new_files()
        files.load()
        self.assertEqual("", files.write("a", 1, b"S" + b"x" * 300))
        self.assertEqual("", files.write("a", 2, b"S" + b"y" * 300))
        self.assertIn("No space left", files.write("a", 3, b"S" + b"z" * 900))
        self.assertEqual([b"S" + b"y" * 300], self.new_files().load().keys["a"].contents)

    def test_a_folder_of_another_cluster_is_rejected(self) -> None:
        self.new_files().load()
        error = self.assertRaises(WrongClusterError, self.new_files("other").load)
        self.assertIn("'other'", error.remedy)

    def test_records_without_an_identity_file_are_rejected(self) -> None:
        files = self.new_files()
        files.load()
        files.write("k", 1, b"Sone")
        (self.folder / "identity").unlink()
        self.assertRaises(StorageError, self.new_files().load)
