"""A disk with a quota, so that a rig can fill it without filling the machine's."""

from __future__ import annotations

import errno
from pathlib import Path

from zincvale.storage.disk import DiskInterface


class QuotaDisk:
    """Refuses writes that a settings file leaves no room for; everything else passes through.

    Parameters
    ----------
    disk : the disk below.
    quota_file : holds the number of bytes that may still be written; read at each write, so that a
        rig changes it while the daemon runs. A file that is missing or no number sets no limit.
    """

    def __init__(self, disk: DiskInterface, quota_file: str) -> None:
        self._disk = disk
        self._quota_file = Path(quota_file)
        self._last_quota_text = ""
        self._written_bytes = 0

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its parents, and make that durable."""
        self._disk.make_folder(folder)

    def list_files(self, folder: Path) -> list[str]:
        """Return the names of the files in a folder; empty when it does not exist."""
        return self._disk.list_files(folder)

    def list_folders(self, folder: Path) -> list[str]:
        """Return the names of the folders in a folder; empty when it does not exist."""
        return self._disk.list_folders(folder)

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return self._disk.read(path)

    def write_synced(self, path: Path, content: bytes) -> None:
        """Write a new file and sync its content, or raise `OSError` when the quota is used up."""
        self._reserve_bytes(len(content), path)
        self._disk.write_synced(path, content)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file within a folder."""
        self._disk.rename(source, target)

    def sync_folder(self, folder: Path) -> None:
        """Make the names in a folder durable."""
        self._disk.sync_folder(folder)

    def remove(self, path: Path) -> None:
        """Remove a file."""
        self._disk.remove(path)

    def _reserve_bytes(self, size_bytes: int, path: Path) -> None:
        quota_bytes = self._read_quota_bytes()
        if quota_bytes is None:
            return
        if self._written_bytes + size_bytes > quota_bytes:
            raise OSError(errno.ENOSPC, "No space left on device", str(path))
        self._written_bytes += size_bytes

    def _read_quota_bytes(self) -> int | None:
        """Return the bytes allowed since the file last changed, or None without a limit."""
        try:
            text = self._quota_file.read_text(encoding="ascii").strip()
            quota_bytes = int(text)
        except (OSError, ValueError):
            return None
        if text != self._last_quota_text:
            self._last_quota_text = text
            self._written_bytes = 0
        return quota_bytes
