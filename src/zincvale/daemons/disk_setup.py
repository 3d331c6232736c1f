"""Opens the disk on which a core stores its state, as its settings say."""

from __future__ import annotations

from zincvale.runtime.settings import DaemonSettings
from zincvale.storage.disk import DiskInterface, RealDisk
from zincvale.storage.quota_disk import QuotaDisk


def open_disk(settings: DaemonSettings) -> DiskInterface:
    """Return the real disk, under a quota when the settings name a quota file."""
    if not settings.disk_quota_file:
        return RealDisk()
    return QuotaDisk(RealDisk(), settings.disk_quota_file)
