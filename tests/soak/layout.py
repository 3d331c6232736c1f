"""The machines of a run, and their addresses on the loopback network."""

from __future__ import annotations

import socket

import attrs

ZONES = ("zone-a", "zone-b", "zone-c")
FRONT_PORT, READY_PORT, CONTROL_PORT = 8144, 8140, 8146
INTERNAL_PORTS = (7660, 7675)
LIST_PORT, SERVER_PORT = 8142, 8080
GUARD_PORT = 8139
"""Bound by each run, so that runs at the same time use different networks."""
FIRST_NETWORK, NETWORKS = 64, 60
SEEDS_PER_MACHINE = 3


@attrs.frozen
class MachineSpec:
    """One machine; `has_disk` machines run a core besides the node."""

    name: str
    ip: str
    zone: str
    has_disk: bool


class Network:
    """A block of loopback addresses that no other run uses; `close` releases it."""

    def __init__(self) -> None:
        for number in range(FIRST_NETWORK, FIRST_NETWORK + NETWORKS):
            guard = socket.socket()
            try:
                guard.bind((f"127.{number}.0.1", GUARD_PORT))
            except OSError:
                guard.close()
                continue
            self._guard = guard
            self.prefix = f"127.{number}"
            return
        raise RuntimeError("every network is in use; end other runs of the soak")

    @property
    def list_address(self) -> str:
        """Address of the platform's list of servers."""
        return f"{self.prefix}.0.4:{LIST_PORT}"

    def machine(self, number: int, zone: str, *, has_disk: bool) -> MachineSpec:
        """Return machine `number`; equal numbers have equal addresses."""
        ip = f"{self.prefix}.{1 + number // 250}.{1 + number % 250}"
        return MachineSpec(f"machine-{number}", ip, zone, has_disk)

    def server_address(self, number: int) -> str:
        """Return the address of the server stand-in `number`."""
        return f"{self.prefix}.200.{1 + number}:{SERVER_PORT}"

    def close(self) -> None:
        """Release the addresses."""
        self._guard.close()


def machines(network: Network, count: int, disks: int) -> list[MachineSpec]:
    """Return `count` machines spread over the zones, the first `disks` of them with a disk."""
    return [
        network.machine(number, ZONES[number % len(ZONES)], has_disk=number < disks)
        for number in range(count)
    ]


def control_address(machine: MachineSpec) -> str:
    """Return the address at which the core of a machine serves operators."""
    return f"{machine.ip}:{CONTROL_PORT}"
