"""What a virtual disk loses in a power loss, including one in the middle of an operation."""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

import testtools

from zincvale.simulator.cluster.virtual_disk import PowerLossError, VirtualDisk
from zincvale.storage.version_files import VersionFiles

FOLDER = Path("/data")
FILE = FOLDER / "file"


class VirtualDiskTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.disk = VirtualDisk(random.Random(1))
        self.disk.make_folder(FOLDER)

    def test_power_loss_keeps_only_a_prefix_of_the_unsynced_name_changes(self) -> None:
        self.disk.write_synced(FILE, b"one")
        self.disk.sync_folder(FOLDER)
        survivors = set()
        for seed in range(20):
            disk = VirtualDisk(random.Random(seed))
            disk.write_synced(FILE, b"one")
            disk.sync_folder(FOLDER)
            disk.write_synced(FOLDER / "aside", b"two")
            disk.rename(FOLDER / "aside", FILE)
            disk.lose_power()
            survivors.add(
                tuple((name, disk.read(FOLDER / name)) for name in disk.list_files(FOLDER))
            )
        expected = {
            (("file", b"one"),),
            (("aside", b"two"), ("file", b"one")),
            (("file", b"two"),),
        }
        self.assertEqual(expected, survivors)

    def test_version_file_is_old_or_new_after_a_power_loss_at_any_operation(self) -> None:
        for operations in range(8):
            disk = VirtualDisk(random.Random(operations))
            files = VersionFiles(FOLDER, disk, "c", random.Random(1))
            files.load()
            self.assertEqual("", files.write("k", 1, b"Sone"))
            disk.schedule_power_loss(operations)
            with contextlib.suppress(PowerLossError):
                files.write("k", 2, b"Stwo")
            disk.lose_power()
            recovered = VersionFiles(FOLDER, disk, "c", random.Random(1)).load()
            self.assertEqual({}, recovered.damaged)
            self.assertIn(recovered.keys["k"].contents, ([b"Sone"], [b"Stwo"]))

    def test_disk_with_a_torn_file_gets_a_new_identity(self) -> None:
        files = VersionFiles(FOLDER, self.disk, "c", random.Random(1))
        before = files.load().disk
        files.write("k", 1, b"Sone")
        self.assertTrue(self.disk.tear_newest_file())
        after = VersionFiles(FOLDER, self.disk, "c", random.Random(2)).load()
        self.assertNotEqual(before, after.disk)
        self.assertEqual({}, after.keys)
