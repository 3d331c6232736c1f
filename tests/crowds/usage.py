"""Measures what a process holds: its memory, its descriptors, and what arrived and is unread."""

from __future__ import annotations

import contextlib
import os
import threading
from pathlib import Path

import attrs

SAMPLE_INTERVAL_S = 0.02
BYTES_PER_KIB = 1024
BYTES_PER_MB = 1_000_000
LISTENING = "0A"
INODE_FIELD = 9
NO_INODE = "0"
"""A connection that no process has accepted yet has no inode."""
SOCKET_LINK_START = "socket:["


@attrs.define
class Usage:
    """The most that was seen of one process, in bytes and numbers."""

    resident_bytes: int = 0
    unread_bytes: int = 0
    resident_and_unread_bytes: int = 0
    descriptors: int = 0

    def in_words(self) -> str:
        """Return the figures in MB."""
        return (
            f"resident {self.resident_bytes / BYTES_PER_MB:.0f} MB, "
            f"unread {self.unread_bytes / BYTES_PER_MB:.0f} MB, "
            f"both {self.resident_and_unread_bytes / BYTES_PER_MB:.0f} MB, "
            f"{self.descriptors} descriptors"
        )


class UsageMonitor:
    """Samples one process in a thread until `stop`.

    Parameters
    ----------
    address, ports : where the process listens; what arrived there counts before it is accepted.
    """

    def __init__(
        self,
        pid: int,
        address: str,
        ports: tuple[int, ...],
        sample_interval_s: float = SAMPLE_INTERVAL_S,
    ) -> None:
        self._pid = pid
        self._sample_interval_s = sample_interval_s
        self._local_ends = {f"{_hexadecimal(address)}:{port:04X}" for port in ports}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.usage = Usage()
        self._thread.start()

    def stop(self) -> Usage:
        """End the measurement, and return it."""
        self._stopping.set()
        self._thread.join()
        return self.usage

    def _run(self) -> None:
        while not self._stopping.wait(self._sample_interval_s):
            try:
                self._sample()
            except (OSError, KeyError):
                # The process has ended; a status without sizes is that of a zombie.
                return

    def _sample(self) -> None:
        status = _status(self._pid)
        sockets, descriptors = _sockets_and_descriptors(self._pid)
        unread = self._unread_bytes(sockets)
        usage = self.usage
        usage.resident_bytes = max(usage.resident_bytes, status["VmHWM"])
        usage.unread_bytes = max(usage.unread_bytes, unread)
        usage.resident_and_unread_bytes = max(
            usage.resident_and_unread_bytes, status["VmRSS"] + unread
        )
        usage.descriptors = max(usage.descriptors, descriptors)

    def _unread_bytes(self, sockets: set[str]) -> int:
        """Return what arrived at the process's sockets, and at those that it has yet to accept."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            _, local_end, _, state, queues = fields[:5]
            inode = fields[INODE_FIELD]
            is_unaccepted = inode == NO_INODE and local_end in self._local_ends
            if state != LISTENING and (inode in sockets or is_unaccepted):
                total += int(queues.partition(":")[2], 16)
        return total


def _sockets_and_descriptors(pid: int) -> tuple[set[str], int]:
    """Return the inodes of a process's sockets, and how many descriptors it has."""
    folder = Path(f"/proc/{pid}/fd")
    sockets: set[str] = set()
    names = os.listdir(folder)
    for name in names:
        with contextlib.suppress(OSError):
            target = os.readlink(folder / name)
            if target.startswith(SOCKET_LINK_START):
                sockets.add(target[len(SOCKET_LINK_START) : -1])
    return sockets, len(names)


def _status(pid: int) -> dict[str, int]:
    """Return the sizes in a process's status, in bytes."""
    sizes = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if value.endswith("kB"):
            sizes[name] = int(value.split()[0]) * BYTES_PER_KIB
    return sizes


def _hexadecimal(address: str) -> str:
    """Return an address as the kernel's table of connections writes it."""
    octets = [int(octet) for octet in address.split(".")]
    return "".join(f"{octet:02X}" for octet in reversed(octets))
