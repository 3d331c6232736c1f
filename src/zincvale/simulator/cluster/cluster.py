"""A simulated cluster: which processes there are, on which machines, with which disks."""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

import attrs

from zincvale.coordination.config import CoreConfig, InitialCore, NodeConfig
from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.node.machine import NodeMachine
from zincvale.coordination.registers.recovered_state import RecoveredState
from zincvale.coordination.replication.replica_config import has_majority, replica_id
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.model.errors import StorageError
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.simulator.cluster.intent_log import reduce_intent_log
from zincvale.simulator.cluster.process import MachineClock, Process, ProcessKind
from zincvale.simulator.cluster.simulation import Simulation
from zincvale.simulator.cluster.virtual_disk import PowerLossError, VirtualDisk
from zincvale.storage.version_files import VersionFiles

CLUSTER_ID = "simulated"
FIRST_CORES = ("core-1", "core-2", "core-3")
DATA_FOLDER = Path("/data")
CLOCK_OFFSETS_S = (500.0, 5000.0)
CLOCK_RATES = (0.991, 1.009)
"""Any two clocks run within the 2 % that the leases allow for."""
MID_WRITE_OPERATIONS = 4
"""Disk operations of one version file: write, rename, sync, and a removal."""


@attrs.define
class Machine:
    """A machine that carries one daemon."""

    member: str
    clock: MachineClock
    disk: VirtualDisk


class Cluster:
    """Starts, stops and replaces daemons.

    Parameters
    ----------
    nodes : how many data-plane nodes there are.
    roles : singleton roles that every core stands for.
    node_machine : what runs in a node's process.
    """

    def __init__(
        self,
        simulation: Simulation,
        random_source: random.Random,
        nodes: int,
        roles: tuple[str, ...],
        node_machine: type[NodeMachine] = NodeMachine,
    ) -> None:
        self.simulation = simulation
        self.roles = roles
        self._node_machine = node_machine
        self.cores = list(FIRST_CORES)
        """Members that are to run, also while they are down."""
        self.nodes = [f"{ProcessKind.NODE.value}-{index + 1}" for index in range(nodes)]
        self.machines: dict[str, Machine] = {}
        self._random = random_source
        for member in [*self.cores, *self.nodes]:
            self.start(member)

    def all_members(self) -> list[str]:
        """Return every member that is to run."""
        return [*self.cores, *self.nodes]

    def running(self, member: str) -> Process | None:
        """Return the process of a member, if it runs."""
        return self.simulation.processes.get(member)

    def machine(self, member: str) -> Machine:
        """Return the machine of a member; a new one has an empty disk."""
        machine = self.machines.get(member)
        if machine is None:
            machine = Machine(member, self._new_clock(), VirtualDisk(self._random))
            self.machines[member] = machine
        return machine

    # --- starting and stopping ------------------------------------------------------------

    def start(self, member: str, recover: bool = False) -> bool:
        """Start a member's daemon; return whether it came up.

        With `recover`, a core starts as after the loss of every disk.
        """
        if member in self.simulation.processes:
            return False
        machine = self.machine(member)
        is_core = member in self.cores
        process = self._core(machine, recover) if is_core else self._node(machine)
        if process is None:
            return False
        self.simulation.add(process)
        return True

    def kill(self, member: str) -> None:
        """End a daemon at once, perhaps in the middle of a write."""
        process = self.running(member)
        if process is None:
            return
        if process.writes and process.files is not None:
            self._interrupt_write(process, self.machines[member].disk)
        self.simulation.remove(process)

    def lose_power(self, member: str) -> None:
        """End a daemon and forget what its disk had not synced; the clock starts anew."""
        self.kill(member)
        machine = self.machine(member)
        machine.disk.lose_power()
        machine.clock = self._new_clock()

    def lose_disk(self, member: str) -> None:
        """End a daemon and empty its data folder."""
        self.kill(member)
        self.machine(member).disk = VirtualDisk(self._random)

    def replace_core(self, member: str) -> str:
        """Remove a core for good; return the name of the empty one that takes its place."""
        self.kill(member)
        self.machines.pop(member, None)
        self.cores.remove(member)
        numbers = [int(core.rpartition("-")[2]) for core in [*self.cores, member, *FIRST_CORES]]
        replacement = f"{ProcessKind.CORE.value}-{max(numbers) + 1}"
        self.cores.append(replacement)
        return replacement

    # --- what the surviving disks can do --------------------------------------------------

    def has_quorum(self) -> bool:
        """Whether enough declared disks survive for changes to be accepted again."""
        newest = max(
            (
                process
                for process in self.simulation.processes.values()
                if process.kind is ProcessKind.CORE
            ),
            key=lambda process: process.machine.replica_sets().version,
            default=None,
        )
        if newest is None:
            return False
        surviving = {
            replica_id(process.member, process.disk)
            for process in self.simulation.processes.values()
            if process.kind is ProcessKind.CORE
        }
        sets = newest.machine.replica_sets().grantors().quorum_sets()
        return all(each and has_majority(each, surviving) for each in sets)

    # --- inside ---------------------------------------------------------------------------

    def _interrupt_write(self, process: Process, disk: VirtualDisk) -> None:
        """Carry out the write that is under way up to some operation."""
        write = process.writes[0]
        assert process.files is not None
        disk.lose_power_within(self._random.randrange(MID_WRITE_OPERATIONS))
        with contextlib.suppress(PowerLossError):
            process.files.write(write.key, write.version, write.content)
        disk.lose_power_within(None)

    def _new_clock(self) -> MachineClock:
        offset = self._random.uniform(*CLOCK_OFFSETS_S)
        return MachineClock(offset, self._random.uniform(*CLOCK_RATES))

    def address(self, member: str) -> Address:
        """Return where a member listens."""
        kind, _, number = member.rpartition("-")
        return Address(f"10.0.{1 if kind == ProcessKind.CORE.value else 2}.{number}:7000")

    def _seeds(self) -> tuple[Address, ...]:
        """Return first contacts that are not there for ever, as settings files name them."""
        return tuple(self.address(member) for member in (*FIRST_CORES[:2], "node-1"))

    def _incarnation(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    def _core(self, machine: Machine, recover: bool) -> Process | None:
        member = machine.member
        files = VersionFiles(DATA_FOLDER, machine.disk, CLUSTER_ID, self._random)
        try:
            recovered = files.load()
        except StorageError:
            return None
        now = machine.clock.local(self.simulation.now)
        config = attrs.evolve(self._core_config(member), recover=recover)
        core = CoreMachine(config, recovered, {INTENT_KEY: reduce_intent_log}, self._random, now)
        return self._process(machine, ProcessKind.CORE, core, now, files, recovered)

    def _core_config(self, member: str) -> CoreConfig:
        is_first = member in FIRST_CORES
        initial = tuple(
            InitialCore(MemberId(core), self.address(core), self.address(core), _zone(core))
            for core in FIRST_CORES
        )
        return CoreConfig(
            cluster_id=CLUSTER_ID,
            member=MemberId(member),
            incarnation=self._incarnation(),
            zone=_zone(member),
            region="r",
            api_address=self.address(member),
            peer_address=self.address(member),
            seeds=self._seeds(),
            bootstrap=is_first,
            initial_cores=initial if is_first else (),
            roles=self.roles,
        )

    def _node(self, machine: Machine) -> Process:
        member = machine.member
        config = NodeConfig(
            cluster_id=CLUSTER_ID,
            member=MemberId(member),
            incarnation=self._incarnation(),
            zone=_zone(member),
            region="r",
            api_address=self.address(member),
            peer_address=self.address(member),
            seeds=self._seeds(),
        )
        now = machine.clock.local(self.simulation.now)
        return self._process(
            machine, ProcessKind.NODE, self._node_machine(config, self._random, now), now
        )

    def _process(
        self,
        machine: Machine,
        kind: ProcessKind,
        state_machine: CoreMachine | NodeMachine,
        now: float,
        files: VersionFiles | None = None,
        recovered: RecoveredState | None = None,
    ) -> Process:
        return Process(
            member=machine.member,
            run=self.simulation.next_run(),
            kind=kind,
            address=self.address(machine.member),
            machine=state_machine,
            clock=machine.clock,
            last_clock_reading=now,
            files=files,
            disk=recovered.disk if recovered is not None else "",
        )


def _zone(member: str) -> ZoneName:
    return ZoneName(f"z{int(member.rpartition('-')[2]) % 3}")
