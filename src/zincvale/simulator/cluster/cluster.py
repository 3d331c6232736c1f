"""The simulated cluster: its members, their machines with clocks and disks, and their processes."""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

import attrs

from zincvale.coordination.config import CoreConfig, InitialCore, NodeConfig, ReadinessRule
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
INITIAL_CORES = ("core-1", "core-2", "core-3")
"""Cores that bootstrap the cluster."""
DATA_FOLDER = Path("/data")
CLOCK_OFFSET_RANGE_S = (500.0, 5000.0)
"""Smallest and largest reading of a machine's clock at virtual time 0."""
CLOCK_RATE_RANGE = (0.991, 1.009)
"""Lowest and highest clock rate; any two clocks stay within the 2 % drift that leases allow for."""
OPERATIONS_PER_VERSION_FILE = 4
"""Disk operations for one version file: write, rename, folder sync, removal of an older file."""


@attrs.define
class Machine:
    """A machine that runs one daemon."""

    member: str
    clock: MachineClock
    disk: VirtualDisk


class Cluster:
    """Starts, stops and replaces daemons.

    Parameters
    ----------
    nodes : number of data-plane nodes.
    roles : singleton roles for which every core is a candidate.
    node_machine : class of the state machine that node processes run.
    readiness : when nodes are ready, and so what acknowledgements wait for.
    """

    def __init__(
        self,
        simulation: Simulation,
        random_source: random.Random,
        nodes: int,
        roles: tuple[str, ...],
        node_machine: type[NodeMachine] = NodeMachine,
        readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE,
    ) -> None:
        self.simulation = simulation
        self.roles = roles
        self.readiness = readiness
        self._node_machine = node_machine
        self.cores = list(INITIAL_CORES)
        """Core members of the cluster, including those that are currently down."""
        self.nodes = [f"{ProcessKind.NODE.value}-{index + 1}" for index in range(nodes)]
        self._last_node_number = nodes
        self.machines: dict[str, Machine] = {}
        self._random = random_source
        for member in [*self.cores, *self.nodes]:
            self.start(member)

    def all_members(self) -> list[str]:
        """Return every core and node of the cluster, including those that are down."""
        return [*self.cores, *self.nodes]

    def running_process(self, member: str) -> Process | None:
        """Return the process of a member, or None if it is not running."""
        return self.simulation.processes.get(member)

    def get_or_create_machine(self, member: str) -> Machine:
        """Return the machine of a member; create it with an empty disk if it does not exist."""
        machine = self.machines.get(member)
        if machine is None:
            machine = Machine(member, self._create_clock(), VirtualDisk(self._random))
            self.machines[member] = machine
        return machine

    # --- starting and stopping ------------------------------------------------------------

    def start(self, member: str, recover: bool = False) -> bool:
        """Start a member's daemon; return whether it started.

        With `recover`, a core starts in the recovery mode that follows the loss of every disk.
        """
        if member in self.simulation.processes:
            return False
        machine = self.get_or_create_machine(member)
        is_core = member in self.cores
        process = self._create_core(machine, recover) if is_core else self._create_node(machine)
        if process is None:
            return False
        self.simulation.add(process)
        return True

    def kill(self, member: str) -> None:
        """Kill a daemon; a write in progress may be cut short."""
        process = self.running_process(member)
        if process is None:
            return
        if process.writes and process.files is not None:
            self._interrupt_write(process, self.machines[member].disk)
        self.simulation.remove(process)

    def lose_power(self, member: str) -> None:
        """Kill a daemon, drop what its disk had not synced, and replace the machine's clock."""
        self.kill(member)
        machine = self.get_or_create_machine(member)
        machine.disk.lose_power()
        machine.clock = self._create_clock()

    def lose_disk(self, member: str) -> None:
        """Kill a daemon and replace its disk by an empty one."""
        self.kill(member)
        self.get_or_create_machine(member).disk = VirtualDisk(self._random)

    def replace_core(self, member: str) -> str:
        """Remove a core permanently; return the name of its replacement with an empty disk."""
        self.kill(member)
        self.machines.pop(member, None)
        self.cores.remove(member)
        numbers = [int(core.rpartition("-")[2]) for core in [*self.cores, member, *INITIAL_CORES]]
        replacement = f"{ProcessKind.CORE.value}-{max(numbers) + 1}"
        self.cores.append(replacement)
        return replacement

    def replace_node(self, member: str) -> str:
        """Remove a node permanently; return the name of its replacement."""
        self.kill(member)
        self.machines.pop(member, None)
        self.nodes.remove(member)
        self._last_node_number += 1
        replacement = f"{ProcessKind.NODE.value}-{self._last_node_number}"
        self.nodes.append(replacement)
        return replacement

    # --- quorum of the surviving disks ----------------------------------------------------

    def has_quorum(self) -> bool:
        """Whether a quorum of the declared replica disks survives, as changes require."""
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

    # --- internals ------------------------------------------------------------------------

    def _interrupt_write(self, process: Process, disk: VirtualDisk) -> None:
        """Execute the write in progress up to a randomly chosen disk operation."""
        write = process.writes[0]
        assert process.files is not None
        disk.schedule_power_loss(self._random.randrange(OPERATIONS_PER_VERSION_FILE))
        with contextlib.suppress(PowerLossError):
            process.files.write(write.key, write.version, write.content)
        disk.schedule_power_loss(None)

    def _create_clock(self) -> MachineClock:
        offset = self._random.uniform(*CLOCK_OFFSET_RANGE_S)
        return MachineClock(offset, self._random.uniform(*CLOCK_RATE_RANGE))

    def address(self, member: str) -> Address:
        """Return the address at which a member listens."""
        kind, _, number = member.rpartition("-")
        return Address(f"10.0.{1 if kind == ProcessKind.CORE.value else 2}.{number}:7000")

    def _seeds(self) -> tuple[Address, ...]:
        """Return the seed addresses of a settings file; their members may be replaced later."""
        return tuple(self.address(member) for member in (*INITIAL_CORES[:2], "node-1"))

    def _draw_incarnation(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    def _create_core(self, machine: Machine, recover: bool) -> Process | None:
        member = machine.member
        files = VersionFiles(DATA_FOLDER, machine.disk, CLUSTER_ID, self._random)
        try:
            recovered = files.load()
        except StorageError:
            return None
        now = machine.clock.local(self.simulation.now)
        config = attrs.evolve(self._create_core_config(member), recover=recover)
        core = CoreMachine(config, recovered, {INTENT_KEY: reduce_intent_log}, self._random, now)
        return self._create_process(machine, ProcessKind.CORE, core, now, files, recovered)

    def _create_core_config(self, member: str) -> CoreConfig:
        is_first = member in INITIAL_CORES
        initial = tuple(
            InitialCore(MemberId(core), self.address(core), self.address(core), _zone_of(core))
            for core in INITIAL_CORES
        )
        return CoreConfig(
            cluster_id=CLUSTER_ID,
            member=MemberId(member),
            incarnation=self._draw_incarnation(),
            zone=_zone_of(member),
            region="r",
            api_address=self.address(member),
            peer_address=self.address(member),
            seeds=self._seeds(),
            bootstrap=is_first,
            initial_cores=initial if is_first else (),
            roles=self.roles,
            readiness=self.readiness,
        )

    def _create_node(self, machine: Machine) -> Process:
        member = machine.member
        config = NodeConfig(
            cluster_id=CLUSTER_ID,
            member=MemberId(member),
            incarnation=self._draw_incarnation(),
            zone=_zone_of(member),
            region="r",
            api_address=self.address(member),
            peer_address=self.address(member),
            seeds=self._seeds(),
            readiness=self.readiness,
        )
        now = machine.clock.local(self.simulation.now)
        return self._create_process(
            machine, ProcessKind.NODE, self._node_machine(config, self._random, now), now
        )

    def _create_process(
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
            run=self.simulation.next_run_number(),
            kind=kind,
            address=self.address(machine.member),
            machine=state_machine,
            clock=machine.clock,
            last_clock_reading=now,
            files=files,
            disk=recovered.disk if recovered is not None else "",
        )


def _zone_of(member: str) -> ZoneName:
    return ZoneName(f"z{int(member.rpartition('-')[2]) % 3}")
