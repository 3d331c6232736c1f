"""The disk interface that version files are written through, and the real disk."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol

TEMPORARY_SUFFIX = ".aside"
"""Suffix of a file that is being written; it is renamed when its content is durable."""


class DiskInterface(Protocol):
    """File system operations that storage uses.

    Raises
    ------
    OSError
        From every method, when the file system reports an error.
    """

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its missing parents durably."""
        ...

    def list_files(self, folder: Path) -> list[str]:
        """Return the names of the files in a folder; empty when it does not exist."""
        ...

    def list_folders(self, folder: Path) -> list[str]:
        """Return the names of the folders in a folder; empty when it does not exist."""
        ...

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        ...

    def write_synced(self, path: Path, content: bytes) -> None:
        """Write a file, replacing an existing one, and sync its content to disk."""
        ...

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing an existing `target`."""
        ...

    def sync_folder(self, folder: Path) -> None:
        """Sync a folder, which makes created, renamed and removed names in it durable."""
        ...

    def remove(self, path: Path) -> None:
        """Remove a file."""
        ...


class RealDisk:
    """The file system of this machine."""

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its missing parents durably."""
        missing = [each for each in [folder, *folder.parents] if not each.exists()]
        for each in reversed(missing):
            each.mkdir(exist_ok=True)
            self.sync_folder(each.parent)

    def list_files(self, folder: Path) -> list[str]:
        """Return the names of the files in a folder; empty when it does not exist."""
        if not folder.is_dir():
            return []
        with os.scandir(folder) as entries:
            return sorted(entry.name for entry in entries if entry.is_file())

    def list_folders(self, folder: Path) -> list[str]:
        """Return the names of the folders in a folder; empty when it does not exist."""
        if not folder.is_dir():
            return []
        with os.scandir(folder) as entries:
            return sorted(entry.name for entry in entries if entry.is_dir())

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return path.read_bytes()

    def write_synced(self, path: Path, content: bytes) -> None:
        """Write a file, replacing an existing one, and sync its content to disk."""
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        try:
            _write_all(descriptor, content)
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing an existing `target`."""
        os.rename(source, target)

    def sync_folder(self, folder: Path) -> None:
        """Sync a folder, which makes created, renamed and removed names in it durable."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        os.unlink(path)


def write_durably(disk: DiskInterface, folder: Path, name: str, content: bytes) -> None:
    """Write a file so that after a crash it has its former content or the new one.

    Raises
    ------
    OSError
        The file system reports an error; the temporary file is removed if possible.
    """
    temporary = folder / f"{name}{TEMPORARY_SUFFIX}"
    try:
        disk.write_synced(temporary, content)
        disk.rename(temporary, folder / name)
    except OSError:
        try_remove(disk, temporary)
        raise
    disk.sync_folder(folder)


def try_remove(disk: DiskInterface, path: Path) -> None:
    """Remove a file; an error is ignored, since the file is not needed."""
    with contextlib.suppress(OSError):
        disk.remove(path)


def _write_all(descriptor: int, content: bytes) -> None:
    view = memoryview(content)
    while view:
        view = view[os.write(descriptor, view) :]
