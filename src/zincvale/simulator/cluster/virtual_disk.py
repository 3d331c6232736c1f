"""A disk in memory behind `storage.disk.DiskInterface` that loses, tears and refuses writes.

A file's content is durable once written synced, its name once the folder was synced. Power loss
keeps a prefix of the name changes of each folder that were not synced, as a journal does.
"""

from __future__ import annotations

import errno
import os
import random
from pathlib import Path

import attrs


class PowerLossError(Exception):
    """The machine lost power in the middle of a disk operation."""


@attrs.frozen
class _NameChange:
    """A change of names that its folder's sync has not made durable."""

    folder: str
    removed: str
    added: str
    content: bytes


class VirtualDisk:
    """One machine's file system.

    Parameters
    ----------
    random_source : decides what of the unsynced state survives a loss of power.

    Attributes
    ----------
    failure : errno that writes fail with; 0 when the disk is well.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.failure = 0
        self._random = random_source
        self._files: dict[str, bytes] = {}
        self._durable: dict[str, bytes] = {}
        self._folders: set[str] = set()
        self._unsynced: list[_NameChange] = []
        self._operations_left: int | None = None

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents, and make that durable."""
        self._operate(folder)
        self._folders.update(str(each) for each in (folder, *folder.parents))

    def list_files(self, folder: Path) -> list[str]:
        """Return the names of the files in a folder."""
        prefix = f"{folder}/"
        inside = (path[len(prefix) :] for path in self._files if path.startswith(prefix))
        return sorted(name for name in inside if "/" not in name)

    def list_folders(self, folder: Path) -> list[str]:
        """Return the names of the folders in a folder."""
        prefix = f"{folder}/"
        inside = (path[len(prefix) :] for path in self._folders if path.startswith(prefix))
        return sorted(name for name in inside if "/" not in name)

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return self._files[str(path)]

    def write_synced(self, path: Path, content: bytes) -> None:
        """Write a new file and sync its content; its name waits for the folder's sync."""
        try:
            self._operate(path)
        except PowerLossError:
            self._put(path, content[: self._random.randrange(len(content) + 1)])
            raise
        self._put(path, content)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file within the disk."""
        self._operate(source)
        content = self._files.pop(str(source))
        self._files[str(target)] = content
        self._unsynced.append(_NameChange(str(source.parent), str(source), str(target), content))

    def sync_folder(self, folder: Path) -> None:
        """Make the names in a folder durable."""
        self._operate(folder)
        name = str(folder)
        for change in self._unsynced:
            if change.folder == name:
                self._apply(change)
        self._unsynced = [change for change in self._unsynced if change.folder != name]

    def remove(self, path: Path) -> None:
        """Remove a file."""
        self._operate(path)
        if str(path) not in self._files:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), str(path))
        del self._files[str(path)]
        self._unsynced.append(_NameChange(str(path.parent), str(path), "", b""))

    # --- faults ---------------------------------------------------------------------------

    def lose_power_within(self, operations: int | None) -> None:
        """Raise `PowerLossError` in place of the operation after so many more; None: never."""
        self._operations_left = operations

    def lose_power(self) -> None:
        """Forget what is not durable, but for a prefix of each folder's name changes."""
        self._operations_left = None
        for folder in sorted({change.folder for change in self._unsynced}):
            changes = [change for change in self._unsynced if change.folder == folder]
            for change in changes[: self._random.randrange(len(changes) + 1)]:
                self._apply(change)
        self._unsynced = []
        self._files = dict(self._durable)

    def tear_newest(self) -> bool:
        """Damage the file that a random key wrote last; return whether there was one."""
        newest: dict[str, str] = {}
        for path in sorted(self._files):
            folder, _, name = path.rpartition("/")
            if name.isdigit() and "/keys/" in path:
                newest[folder] = path
        if not newest:
            return False
        path = self._random.choice(sorted(newest.values()))
        content = self._files[path]
        torn = content[: self._random.randrange(len(content))]
        self._files[path] = torn
        self._durable[path] = torn
        return True

    # --- inside ---------------------------------------------------------------------------

    def _operate(self, path: Path) -> None:
        """Count a change of the disk; raise what the disk's state asks for."""
        if self.failure:
            raise OSError(self.failure, os.strerror(self.failure), str(path))
        if self._operations_left is None:
            return
        if self._operations_left == 0:
            raise PowerLossError(str(path))
        self._operations_left -= 1

    def _put(self, path: Path, content: bytes) -> None:
        self._files[str(path)] = content
        self._unsynced.append(_NameChange(str(path.parent), "", str(path), content))

    def _apply(self, change: _NameChange) -> None:
        if change.removed:
            self._durable.pop(change.removed, None)
        if change.added:
            self._durable[change.added] = change.content
