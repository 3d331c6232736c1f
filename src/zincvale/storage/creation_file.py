"""Remembers on an empty disk that its core was started to create a cluster, and with which cores.

Only the first start of a cluster is told to create it. A core that ends before that is done starts
again without being told, on the disk that it had. The file names that disk, so a disk that was
abandoned as damaged, or an empty one in its place, remembers nothing.
"""

from __future__ import annotations

from pathlib import Path

import attrs
import orjson

from zincvale.coordination.config import InitialCore
from zincvale.model.errors import StorageError
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.storage.disk import DiskInterface, write_durably

CREATION_FILE = "creation"


class CreationFile:
    """The file in a core's data folder that names the initial cores of its cluster.

    Parameters
    ----------
    folder : path of the data folder, which exists.
    disk : the file system.
    disk_id : identity of the disk.
    """

    def __init__(self, folder: Path, disk: DiskInterface, disk_id: str) -> None:
        self._folder = folder
        self._disk = disk
        self._disk_id = disk_id

    def remember(self, initial_cores: tuple[InitialCore, ...]) -> None:
        """Write the file durably, unless it names these cores already; raises `StorageError`."""
        if not initial_cores or self.initial_cores() == initial_cores:
            return
        cores = [attrs.astuple(core) for core in initial_cores]
        content = orjson.dumps({"disk": self._disk_id, "cores": cores})
        try:
            write_durably(self._disk, self._folder, CREATION_FILE, content)
        except OSError as error:
            raise StorageError(
                f"{self._folder / CREATION_FILE}: {error.strerror or error}",
                "make the data folder writable, with free space",
                path=str(self._folder),
            ) from error

    def initial_cores(self) -> tuple[InitialCore, ...]:
        """Return the initial cores; none if this disk was not told, or the file is unreadable."""
        try:
            decoded = orjson.loads(self._disk.read(self._folder / CREATION_FILE))
            if decoded["disk"] != self._disk_id:
                return ()
            return tuple(
                InitialCore(MemberId(member), Address(api), Address(peer), ZoneName(zone))
                for member, api, peer, zone in decoded["cores"]
            )
        except (OSError, orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return ()
