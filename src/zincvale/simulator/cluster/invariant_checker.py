"""The cluster invariants, which are checked after every input of every process."""

from __future__ import annotations

import attrs

from zincvale.coordination.core.machine import CoreMachine
from zincvale.coordination.node.machine import NodeMachine
from zincvale.coordination.registers.change_messages import IN_FORCE, ChangeResult
from zincvale.coordination.replication.replica_sets import INTENT_KEY, REGISTRY_KEY
from zincvale.model.machine import Log
from zincvale.simulator.cluster.intent_log import applied_orders
from zincvale.simulator.cluster.process import Process, ProcessKind
from zincvale.simulator.cluster.role_publisher import TOPIC
from zincvale.simulator.cluster.simulation import Simulation

CHECKED_KEYS = (INTENT_KEY, REGISTRY_KEY)
"""Keys whose versions and rows are compared between processes."""


class InvariantViolationError(Exception):
    """An invariant is violated.

    Attributes
    ----------
    invariant : short name of the invariant; shrinking keeps schedules that violate the same one.
    """

    def __init__(self, invariant: str, text: str) -> None:
        super().__init__(f"{invariant}: {text}")
        self.invariant = invariant


@attrs.define
class _LastObserved:
    """The versions, role epochs and topic position last observed in one run of a process."""

    versions: dict[str, int] = attrs.field(factory=dict)
    role_epochs: dict[str, int] = attrs.field(factory=dict)
    topic: tuple[int, int] = (0, 0)


class InvariantChecker:
    """Observes a simulation and raises `InvariantViolationError` when an invariant is violated."""

    def __init__(self, simulation: Simulation, roles: tuple[str, ...]) -> None:
        self.acknowledged_version = 0
        self.longest_log: list[int] = []
        self.members_seen_ready: set[str] = set()
        self._simulation = simulation
        self._roles = roles
        self._observed: dict[int, _LastObserved] = {}
        self._rows_by_version: dict[tuple[str, int], dict[str, bytes]] = {}
        self._highest_epoch_by_role: dict[str, tuple[int, int]] = {}

    def after_input(self, process: Process) -> None:
        """Check the state that the input may have changed."""
        observed = self._observed.setdefault(process.run, _LastObserved())
        for key in CHECKED_KEYS:
            self._check_versions(process, key, observed)
        if process.kind is ProcessKind.NODE:
            self._check_ready_version(process)
            self._check_topic(process, observed)
        else:
            self._check_roles(process, observed)

    def on_resumed(self, process: Process) -> None:
        """Check what a resumed process would do before it notices that it was frozen."""
        if process.kind is ProcessKind.NODE:
            self._check_ready_version(process)
        else:
            for role in self._roles:
                self._check_single_leader(role)

    def on_log(self, process: Process, entry: Log) -> None:
        """Do nothing: no invariant concerns log events."""

    def on_change_result(self, result: ChangeResult) -> None:
        """Record the result of a change; an acknowledged change must be in force on ready nodes."""
        if result.status != IN_FORCE:
            return
        self.acknowledged_version = max(self.acknowledged_version, result.version)
        for process in self._simulation.processes.values():
            if process.kind is ProcessKind.NODE and not process.is_frozen:
                self._check_ready_version(process)

    def _check_versions(self, process: Process, key: str, observed: _LastObserved) -> None:
        view = process.machine.value(key)
        before = observed.versions.get(key, 0)
        if view.version == before:
            return
        if view.version < before:
            text = f"{process.member} went from {key} {before} back to {view.version}"
            raise InvariantViolationError("version-backwards", text)
        observed.versions[key] = view.version
        self._check_same_content(process, key, view.version, view.rows)

    def _check_same_content(
        self, process: Process, key: str, version: int, rows: dict[str, bytes]
    ) -> None:
        known = self._rows_by_version.get((key, version))
        if known is not None:
            if known != rows:
                text = f"{process.member} has other rows of {key} {version} than seen before"
                raise InvariantViolationError("two-values", text)
            return
        self._rows_by_version[(key, version)] = dict(rows)
        if key == INTENT_KEY:
            self._check_log(process, version, applied_orders(rows))

    def _check_log(self, process: Process, version: int, log: list[int]) -> None:
        if len(log) != version:
            text = f"{process.member} holds version {version} made of {len(log)} orders"
            raise InvariantViolationError("lost-change", text)
        shorter_log, longer_log = sorted((log, self.longest_log), key=len)
        if longer_log[: len(shorter_log)] != shorter_log:
            text = f"{process.member} holds {log}, others hold {self.longest_log}"
            raise InvariantViolationError("two-histories", text)
        self.longest_log = longer_log

    def _check_ready_version(self, process: Process) -> None:
        machine: NodeMachine = process.machine
        if not machine.ready(process.local(self._simulation.now)):
            return
        self.members_seen_ready.add(process.member)
        version = machine.intent().version
        if version < self.acknowledged_version:
            text = (
                f"{process.member} is ready with version {version}, "
                f"{self.acknowledged_version} was acknowledged"
            )
            raise InvariantViolationError("not-in-force", text)

    def _check_topic(self, process: Process, observed: _LastObserved) -> None:
        """Check that a node never reverts to an earlier epoch or version of the topic."""
        topic = process.machine.topic(TOPIC)
        position = (topic.epoch, topic.version)
        if position < observed.topic:
            text = f"{process.member} went from {observed.topic} back to {position}"
            raise InvariantViolationError("topic-backwards", text)
        observed.topic = position

    def _check_roles(self, process: Process, observed: _LastObserved) -> None:
        machine: CoreMachine = process.machine
        for role in self._roles:
            state = machine.role(role, process.local(self._simulation.now))
            if not state.is_leader:
                observed.role_epochs.pop(role, None)
                continue
            if observed.role_epochs.get(role) == state.epoch:
                continue
            observed.role_epochs[role] = state.epoch
            self._check_role_epoch(process, role, state.epoch)
            self._check_single_leader(role)

    def _check_role_epoch(self, process: Process, role: str, epoch: int) -> None:
        highest, leader_run = self._highest_epoch_by_role.get(role, (0, 0))
        if epoch < highest or (epoch == highest and leader_run != process.run):
            text = f"{process.member} took {role} at epoch {epoch}, {highest} was used before"
            raise InvariantViolationError("epoch-not-growing", text)
        self._highest_epoch_by_role[role] = (epoch, process.run)

    def _check_single_leader(self, role: str) -> None:
        now = self._simulation.now
        leaders = [
            process.member
            for process in self._simulation.processes.values()
            if process.kind is ProcessKind.CORE
            and not process.is_frozen
            and process.machine.role(role, process.local(now)).is_leader
        ]
        if len(leaders) > 1:
            raise InvariantViolationError("two-holders", f"{leaders} may act as {role}")
