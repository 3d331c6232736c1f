"""An in-memory implementation of `storage.disk.DiskInterface` with torn, lost and failing writes.

The content of a file is durable after a synced write, its name after a sync of its folder. A power
loss keeps a prefix of the unsynced name changes of each folder, as a journaling file system does.
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
    """A file creation, renaming or removal that no sync of its folder has made durable yet."""

    folder: str
    removed: str
    added: str
    content: bytes


class VirtualDisk:
    """One machine's file system.

    Parameters
    ----------
    random_source : decides how much of the unsynced state survives a power loss.

    Attributes
    ----------
    failure : errno with which operations fail; 0 when the disk works.
    """

    def __init__(self, random_source: random.Random) -> None:
        self.failure = 0
        self._random = random_source
        self._files: dict[str, bytes] = {}
        self._durable_files: dict[str, bytes] = {}
        self._folders: set[str] = set()
        self._unsynced: list[_NameChange] = []
        self._operations_left: int | None = None

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents durably."""
        self._begin_operation(folder)
        self._folders.update(str(each) for each in (folder, *folder.parents))

    def list_files(self, folder: Path) -> list[str]:
        """Return the names of the files in a folder."""
        prefix = f"{folder}/"
        names = (path[len(prefix) :] for path in self._files if path.startswith(prefix))
        return sorted(name for name in names if "/" not in name)

    def list_folders(self, folder: Path) -> list[str]:
        """Return the names of the folders in a folder."""
        prefix = f"{folder}/"
        names = (path[len(prefix) :] for path in self._folders if path.startswith(prefix))
        return sorted(name for name in names if "/" not in name)

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return self._files[str(path)]

    def write_synced(self, path: Path, content: bytes) -> None:
        """Write a file and sync its content; its name becomes durable with the folder's sync."""
        try:
            self._begin_operation(path)
        except PowerLossError:
            self._put(path, content[: self._random.randrange(len(content) + 1)])
            raise
        self._put(path, content)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file; the new name becomes durable with the folder's sync."""
        self._begin_operation(source)
        content = self._files.pop(str(source))
        self._files[str(target)] = content
        self._unsynced.append(_NameChange(str(source.parent), str(source), str(target), content))

    def sync_folder(self, folder: Path) -> None:
        """Make the name changes in a folder durable."""
        self._begin_operation(folder)
        name = str(folder)
        for change in self._unsynced:
            if change.folder == name:
                self._apply(change)
        self._unsynced = [change for change in self._unsynced if change.folder != name]

    def remove(self, path: Path) -> None:
        """Remove a file; the removal becomes durable with the folder's sync."""
        self._begin_operation(path)
        if str(path) not in self._files:
            raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), str(path))
        del self._files[str(path)]
        self._unsynced.append(_NameChange(str(path.parent), str(path), "", b""))

    # --- faults ---------------------------------------------------------------------------

    def schedule_power_loss(self, operations: int | None) -> None:
        """Raise `PowerLossError` after this many further operations; None cancels it."""
        self._operations_left = operations

    def lose_power(self) -> None:
        """Drop what is not durable, except a random prefix of each folder's name changes."""
        self._operations_left = None
        for folder in sorted({change.folder for change in self._unsynced}):
            changes = [change for change in self._unsynced if change.folder == folder]
            for change in changes[: self._random.randrange(len(changes) + 1)]:
                self._apply(change)
        self._unsynced = []
        self._files = dict(self._durable_files)

    def tear_newest_file(self) -> bool:
        """Truncate the newest version file of a random key; return whether there was one."""
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
        self._durable_files[path] = torn
        return True

    # --- internals ------------------------------------------------------------------------

    def _begin_operation(self, path: Path) -> None:
        """Count an operation; raise if the disk is failing or the power is lost at this point."""
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
            self._durable_files.pop(change.removed, None)
        if change.added:
            self._durable_files[change.added] = change.content
