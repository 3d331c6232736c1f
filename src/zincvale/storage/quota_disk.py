"""A disk with a quota, so that a test can fill it without filling the machine's disk."""

from __future__ import annotations

import errno
from pathlib import Path

from zincvale.storage.disk import DiskInterface


class QuotaDisk:
    """Rejects writes above a quota that a file sets; passes all other operations on.

    Parameters
    ----------
    disk : the disk that operations are passed on to.
    quota_file : contains the number of bytes that may still be written. It is read on each write,
        so that a test can change it while the daemon runs. If it is missing or contains no number,
        there is no limit.
    """

    def __init__(self, disk: DiskInterface, quota_file: str) -> None:
        self._disk = disk
        self._quota_file = Path(quota_file)
        self._last_quota_text = ""
        self._written_bytes = 0

    def make_folder(self, folder: Path) -> None:
        """Create a folder and its missing parents durably."""
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
        """Write a file and sync its content to disk; raises `OSError` above the quota."""
        self._reserve_bytes(len(content), path)
        self._disk.write_synced(path, content)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing an existing `target`."""
        self._disk.rename(source, target)

    def sync_folder(self, folder: Path) -> None:
        """Sync a folder, which makes created, renamed and removed names in it durable."""
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
        """Return the bytes allowed since the quota last changed, or None without a quota."""
        try:
            text = self._quota_file.read_text(encoding="ascii").strip()
            quota_bytes = int(text)
        except (OSError, ValueError):
            return None
        if text != self._last_quota_text:
            self._last_quota_text = text
            self._written_bytes = 0
        return quota_bytes
