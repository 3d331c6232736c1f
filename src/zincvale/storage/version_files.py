"""Durable storage of one core: one file for each version of each key.

A file is written under a temporary name, synced and renamed, and its folder is synced, before the
write is reported as durable. The folder is named by the key and the file by an increasing number.
The content begins with a checksum over the cluster id, the disk's identity and the body. The first
byte of a body tells whether it is a snapshot (`S`) or a change to the previous file (`D`), which
determines the older files that are still needed. A snapshot and the changes that follow it form a
chain.

Layout: `identity` (cluster id and disk identity, written once), `keys/<encoded key>/<number>`,
`quarantine/`.
"""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import quote, unquote

import attrs
import orjson
import xxhash

from zincvale.coordination.registers.record_codec import SNAPSHOT_MARK
from zincvale.coordination.registers.recovered_state import RecoveredKey, RecoveredState
from zincvale.model.errors import StorageError, WrongClusterError
from zincvale.storage import log_events
from zincvale.storage.disk import TEMPORARY_SUFFIX, DiskInterface, try_remove, write_durably

IDENTITY_FILE = "identity"
KEYS_FOLDER = "keys"
QUARANTINE_FOLDER = "quarantine"
NUMBER_DIGITS = 12
"""Number of digits in a file's name; names of equal length sort by number."""
CHECKSUM_BYTES = 8
"""Length of the xxh3 checksum at the beginning of a file."""
DISK_ID_BITS = 64
"""Number of random bits in a disk's identity. Two disks with the same identity would share a
vote."""
CHAINS_RETAINED = 2
"""Number of chains retained for each key: the newest, and the previous one for inspection."""
FULL_DISK_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})

LogFunction = Callable[[int, dict[str, Any]], None]


def _discard_log(_number: int, _fields: dict[str, Any]) -> None:
    """Ignore a log event."""


@attrs.frozen
class _ReadableFile:
    number: int
    body: bytes


class VersionFiles:
    """The data folder of one core.

    Parameters
    ----------
    folder : path of the data folder.
    disk : the file system.
    cluster_id : identifier of the cluster; a folder of another cluster is rejected.
    random_source : source of the disk's identity when the folder is new.
    log : called with the number and the fields of each log event.
    """

    def __init__(
        self,
        folder: Path,
        disk: DiskInterface,
        cluster_id: str,
        random_source: random.Random,
        log: LogFunction = _discard_log,
    ) -> None:
        self._folder = folder
        self._disk = disk
        self._cluster_id = cluster_id
        self._random = random_source
        self._log = log
        self._disk_id = ""
        self._chains: dict[str, list[list[int]]] = {}

    def load(self) -> RecoveredState:
        """Return the records of the data folder, and create the identity of a new folder.

        When a key is damaged, the folder gets a new identity and all files are quarantined.

        Raises
        ------
        StorageError
            The folder cannot be read or written.
        WrongClusterError
            The folder belongs to another cluster.
        """
        try:
            self._disk.make_folder(self._folder / KEYS_FOLDER)
            self._disk_id = self._read_identity()
            if not self._disk_id:
                self._check_no_records()
                self._create_identity()
            return self._load_keys()
        except OSError as error:
            raise StorageError(
                f"data folder {self._folder}: {error.strerror or error}",
                "make it readable and writable, with free space",
                path=str(self._folder),
            ) from error

    def write(self, key: str, number: int, content: bytes) -> str:
        """Write a version file of `key` durably, and remove files that are no longer needed.

        Returns
        -------
        str : empty on success, else the error message. A failed write raises no exception, because
            the replica then stops voting and retries.
        """
        try:
            self._write_file(key, number, content)
        except OSError as error:
            return f"{key} file {number}: {error.strerror or error}"
        self._record_written(key, number, content)
        self._prune(key, CHAINS_RETAINED)
        return ""

    def _write_file(self, key: str, number: int, content: bytes) -> None:
        """Write a file; on a full disk, first remove what is retained for inspection only."""
        try:
            self._try_write_file(key, number, content)
        except OSError as error:
            if error.errno not in FULL_DISK_ERRORS or not self._remove_spare_chains():
                raise
            self._try_write_file(key, number, content)

    def _try_write_file(self, key: str, number: int, content: bytes) -> None:
        folder = self._key_folder(key)
        if key not in self._chains:
            self._disk.make_folder(folder)
        write_durably(self._disk, folder, _file_name(number), self._with_checksum(content))

    def _read_identity(self) -> str:
        if IDENTITY_FILE not in self._disk.list_files(self._folder):
            return ""
        content = self._disk.read(self._folder / IDENTITY_FILE)
        try:
            identity = orjson.loads(content)
            cluster_id, disk_id = identity["cluster_id"], identity["disk"]
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise StorageError(
                f"{self._folder / IDENTITY_FILE} cannot be read",
                "start this core on an empty folder: it then joins as a new replica",
                path=str(self._folder / IDENTITY_FILE),
            ) from error
        if cluster_id != self._cluster_id:
            raise WrongClusterError(
                f"data folder {self._folder} belongs to cluster {cluster_id!r}",
                f"name a folder of cluster {self._cluster_id!r} or an empty one",
                expected_cluster=self._cluster_id,
                actual_cluster=cluster_id,
            )
        return str(disk_id)

    def _create_identity(self) -> None:
        self._disk_id = f"{self._random.getrandbits(DISK_ID_BITS):016x}"
        content = orjson.dumps({"cluster_id": self._cluster_id, "disk": self._disk_id})
        write_durably(self._disk, self._folder, IDENTITY_FILE, content)
        self._log(log_events.FOLDER_CREATED, {"disk": self._disk_id})

    def _check_no_records(self) -> None:
        if self._disk.list_folders(self._folder / KEYS_FOLDER):
            raise StorageError(
                f"data folder {self._folder} has records but no identity file",
                "start this core on an empty folder: it then joins as a new replica",
                path=str(self._folder),
            )

    def _load_keys(self) -> RecoveredState:
        keys: dict[str, RecoveredKey] = {}
        damaged: dict[str, str] = {}
        for folder_name in self._disk.list_folders(self._folder / KEYS_FOLDER):
            key = unquote(folder_name)
            key_or_damage = self._load_key(key)
            if isinstance(key_or_damage, RecoveredKey):
                keys[key] = key_or_damage
            elif key_or_damage:
                damaged[key] = key_or_damage
        if damaged:
            self._replace_identity(damaged)
            keys = {}
        return RecoveredState(self._disk_id, keys, damaged)

    def _load_key(self, key: str) -> RecoveredKey | str:
        """Return the newest chain of a key, a description of the damage, or "" for no records."""
        folder = self._key_folder(key)
        readable, unreadable = self._read_files(folder)
        self._chains[key] = _split_into_chains(readable)
        newest = self._chains[key][-1] if self._chains[key] else []
        if any(number >= (newest[0] if newest else 0) for number in unreadable):
            return f"a file of key {key!r} is torn or belongs to another disk"
        if not newest:
            return ""
        chain = [each for each in readable if each.number in newest]
        if chain[0].body[:1] != SNAPSHOT_MARK:
            return f"key {key!r} has no snapshot"
        if newest != list(range(newest[0], newest[0] + len(newest))):
            return f"a file of key {key!r} is missing"
        return RecoveredKey([each.body for each in chain], newest[-1])

    def _read_files(self, folder: Path) -> tuple[list[_ReadableFile], list[int]]:
        """Return the readable files and the numbers of the others, which are quarantined."""
        readable: list[_ReadableFile] = []
        unreadable: list[int] = []
        for name in self._disk.list_files(folder):
            if name.endswith(TEMPORARY_SUFFIX):
                self._disk.remove(folder / name)
                continue
            body = self._verified_body(self._disk.read(folder / name)) if name.isdigit() else None
            if body is not None:
                readable.append(_ReadableFile(int(name), body))
                continue
            self._quarantine(folder, name)
            if name.isdigit():
                unreadable.append(int(name))
        return readable, unreadable

    def _replace_identity(self, damaged: dict[str, str]) -> None:
        """Give the folder a new identity, since this disk may have lost promises to other replicas.

        The new identity is durable before the first file is moved. After a crash in between, the
        checksums of the remaining files do not match the new identity.
        """
        former_disk_id = self._disk_id
        self._create_identity()
        for folder_name in self._disk.list_folders(self._folder / KEYS_FOLDER):
            folder = self._folder / KEYS_FOLDER / folder_name
            for name in self._disk.list_files(folder):
                self._quarantine(folder, name)
        self._chains = {}
        fields = {"former": former_disk_id, "disk": self._disk_id, "problems": damaged}
        self._log(log_events.FOLDER_ABANDONED, fields)

    def _quarantine(self, folder: Path, name: str) -> None:
        target = self._folder / QUARANTINE_FOLDER
        self._disk.make_folder(target)
        self._disk.rename(folder / name, target / f"{folder.name}.{name}")
        self._disk.sync_folder(folder)
        self._log(log_events.FILE_QUARANTINED, {"key": unquote(folder.name), "file": name})

    def _record_written(self, key: str, number: int, content: bytes) -> None:
        chains = self._chains.setdefault(key, [])
        if content[:1] == SNAPSHOT_MARK or not chains:
            chains.append([number])
        else:
            chains[-1].append(number)

    def _remove_spare_chains(self) -> bool:
        """Remove all chains but the newest of each key; return whether there was any."""
        keys_with_spare_chains = [key for key, chains in self._chains.items() if len(chains) > 1]
        for key in keys_with_spare_chains:
            self._prune(key, 1)
        return bool(keys_with_spare_chains)

    def _prune(self, key: str, retained: int) -> None:
        """Remove the oldest chains of a key until `retained` chains are left."""
        chains = self._chains[key]
        while len(chains) > retained:
            for number in chains.pop(0):
                try_remove(self._disk, self._key_folder(key) / _file_name(number))

    def _key_folder(self, key: str) -> Path:
        return self._folder / KEYS_FOLDER / quote(key, safe="")

    def _with_checksum(self, content: bytes) -> bytes:
        return self._checksum(content) + content

    def _verified_body(self, file_content: bytes) -> bytes | None:
        checksum, content = file_content[:CHECKSUM_BYTES], file_content[CHECKSUM_BYTES:]
        return content if content and checksum == self._checksum(content) else None

    def _checksum(self, content: bytes) -> bytes:
        hasher = xxhash.xxh3_64(f"{self._cluster_id}\0{self._disk_id}\0".encode())
        hasher.update(content)
        return hasher.digest()


def _file_name(number: int) -> str:
    return f"{number:0{NUMBER_DIGITS}d}"


def _split_into_chains(readable: list[_ReadableFile]) -> list[list[int]]:
    chains: list[list[int]] = []
    for each in readable:
        if each.body[:1] == SNAPSHOT_MARK or not chains:
            chains.append([])
        chains[-1].append(each.number)
    return chains
