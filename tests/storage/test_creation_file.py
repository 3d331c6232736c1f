"""What an empty disk remembers of the cluster that its core was started to create."""

from __future__ import annotations

import tempfile
from pathlib import Path

import testtools

from zincvale.coordination.config import InitialCore
from zincvale.model.errors import StorageError
from zincvale.storage.creation_file import CREATION_FILE, CreationFile
from zincvale.storage.disk import RealDisk

CORES = (InitialCore("core-1", "a:1", "a:2", "z1"), InitialCore("core-2", "b:1", "b:2", ""))


class FullDisk(RealDisk):
    def write_synced(self, path: Path, content: bytes) -> None:
        raise OSError(28, "No space left on device")


class CreationFileTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def file(self, disk_id: str = "d1") -> CreationFile:
        return CreationFile(self.folder, RealDisk(), disk_id)

    def test_the_initial_cores_outlive_the_process(self) -> None:
        self.assertEqual((), self.file().initial_cores())
        self.file().remember(CORES)
        self.assertEqual(CORES, self.file().initial_cores())

    def test_another_disk_remembers_nothing(self) -> None:
        """A disk that lost its records might take a second first record."""
        self.file().remember(CORES)
        self.assertEqual((), self.file("d2").initial_cores())

    def test_a_torn_file_is_ignored(self) -> None:
        (self.folder / CREATION_FILE).write_bytes(b"{")
        self.assertEqual((), self.file().initial_cores())

    def test_a_full_disk_is_reported(self) -> None:
        file = CreationFile(self.folder, FullDisk(), "d1")
        self.assertIn(CREATION_FILE, str(self.assertRaises(StorageError, file.remember, CORES)))
