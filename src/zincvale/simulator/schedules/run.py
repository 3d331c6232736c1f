"""Runs one schedule and checks its invariants."""

from __future__ import annotations

import random
import traceback

import attrs

from zincvale.coordination.registers.change_messages import IN_FORCE
from zincvale.coordination.replication.replica_sets import INTENT_KEY
from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.faults import FAULTS
from zincvale.simulator.cluster.history import check_history
from zincvale.simulator.cluster.invariant_checker import InvariantChecker, InvariantViolationError
from zincvale.simulator.cluster.network import Network
from zincvale.simulator.cluster.operations import OPERATIONS
from zincvale.simulator.cluster.operators import Operators
from zincvale.simulator.cluster.process import ProcessKind
from zincvale.simulator.cluster.role_publisher import RolePublisher
from zincvale.simulator.cluster.simulation import Simulation
from zincvale.simulator.schedules.schedule import Schedule, Step

ROLES = ("placer",)
START_LIMIT_S = 12.0
RECOVERY_LIMIT_S = 12.0
"""After everything is healed, changes are accepted and every node is ready within this."""
ROLE_LIMIT_S = 16.0
"""After everything is healed, every singleton role has a leader within this: a lease may have to
run out, restarted grantors wait as long, and candidates take turns."""
SETTLE_S = 2.0


@attrs.frozen
class Outcome:
    """What a run showed.

    Attributes
    ----------
    invariant : the broken one's short name; empty when all held.
    problem : what was seen.
    recovery_s : from the healing to full service; None when too many disks were lost for it.
    """

    seed: int
    invariant: str = ""
    problem: str = ""
    at_s: float = 0.0
    steps: int = 0
    acknowledged: int = 0
    attempts: int = 0
    recovery_s: float | None = None


class Run:
    """One run of one schedule."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        source = random.Random(f"run {schedule.seed}")
        self.simulation = Simulation(source, Network(source), schedule.uses_codec)
        self.checker = InvariantChecker(self.simulation, ROLES)
        self.simulation.observer = self.checker
        self.cluster = Cluster(self.simulation, source, schedule.nodes, ROLES)
        self.operators = Operators(self.cluster, self.checker, source)
        self._publisher = RolePublisher(self.cluster, ROLES[0])
        self._recovery_s: float | None = None

    def execute(self) -> Outcome:
        """Run everything; a broken invariant or a failed handler ends the run."""
        try:
            self._start()
            self._run_steps()
            self._heal()
            self._check_history()
        except InvariantViolationError as broken:
            return self._outcome(broken.invariant, str(broken))
        except Exception as error:
            # A defect of a machine under test may raise anything: it is the finding of the run.
            stack = traceback.format_exc(limit=-4)
            return self._outcome("handler-failed", f"{error!r}\n{stack}")
        return self._outcome()

    def _outcome(self, invariant: str = "", problem: str = "") -> Outcome:
        return Outcome(
            seed=self._schedule.seed,
            invariant=invariant,
            problem=problem,
            at_s=round(self.simulation.now, 3),
            steps=self.simulation.steps,
            acknowledged=self.checker.acknowledged_version,
            attempts=len(self.operators.attempts),
            recovery_s=self._recovery_s,
        )

    def _start(self) -> None:
        self._publisher.start()
        if not self.simulation.run_until(START_LIMIT_S, self._all_ready):
            raise InvariantViolationError("not-started", f"after {START_LIMIT_S:g} s")

    def _run_steps(self) -> None:
        start = self.simulation.now
        for step in self._schedule.steps:
            self.simulation.schedule(start + step.at_s, self._apply_step, step)
        self.simulation.run_until(start + self._schedule.length_s)

    def _apply_step(self, step: Step) -> None:
        (OPERATIONS | FAULTS)[step.action](self.operators, self.cluster, step)

    def _heal(self) -> None:
        self.operators.disks_lost_on_acknowledgement = 0
        self.simulation.network.heal()
        for machine in self.cluster.machines.values():
            machine.disk.failure = 0
        for process in list(self.simulation.processes.values()):
            self.simulation.resume(process)
        for member in self.cluster.all_members():
            self.cluster.start(member)
        if not self.cluster.has_quorum():
            self.simulation.run_until(self.simulation.now + SETTLE_S)
            return
        self._recover()

    def _recover(self) -> None:
        healed_at = self.simulation.now
        order = self.operators.new_order(None)
        probe = self.operators.send(order, self.cluster.cores[0], resends=100)
        end = healed_at + RECOVERY_LIMIT_S

        def is_recovered() -> bool:
            return self._is_accepted(probe.order) and self._all_ready()

        if not self.simulation.run_until(end, is_recovered):
            raise InvariantViolationError("not-recovered", self._describe_missing(probe.order))
        self._recovery_s = round(self.simulation.now - healed_at, 3)
        self.simulation.run_until(self.simulation.now + SETTLE_S)
        self._check_all_members_are_current()
        if not self.simulation.run_until(healed_at + ROLE_LIMIT_S, self._all_roles_led):
            raise InvariantViolationError("no-holder", f"{ROLE_LIMIT_S:g} s after healing")

    def _is_accepted(self, order: int) -> bool:
        return any(
            attempt.status == IN_FORCE
            for attempt in reversed(self.operators.attempts)
            if attempt.order == order
        )

    def _all_ready(self) -> bool:
        for member in self.cluster.nodes:
            process = self.cluster.running_process(member)
            if process is None or not process.machine.ready(process.local(self.simulation.now)):
                return False
        return True

    def _all_roles_led(self) -> bool:
        cores = [
            each for each in self.simulation.processes.values() if each.kind is ProcessKind.CORE
        ]
        return all(
            any(
                core.machine.role(role, core.local(self.simulation.now)).is_leader for core in cores
            )
            for role in ROLES
        )

    def _describe_missing(self, order: int) -> str:
        accepted = "accepted" if self._is_accepted(order) else "not accepted"
        unready = [
            member
            for member, process in self.simulation.processes.items()
            if process.kind is ProcessKind.NODE
            and not process.machine.ready(process.local(self.simulation.now))
        ]
        return f"{RECOVERY_LIMIT_S:g} s after healing: change {accepted}, unready {unready}"

    def _check_all_members_are_current(self) -> None:
        for member, process in self.simulation.processes.items():
            version = process.machine.value(INTENT_KEY).version
            if version < self.checker.acknowledged_version:
                text = (
                    f"{member} holds {version}, acknowledged is {self.checker.acknowledged_version}"
                )
                raise InvariantViolationError("not-current", text)

    def _check_history(self) -> None:
        problems = check_history(self.operators.attempts, self.checker.longest_log)
        if problems:
            raise InvariantViolationError("history", "; ".join(problems[:3]))


def run_schedule(schedule: Schedule) -> Outcome:
    """Run a schedule and return what it showed."""
    return Run(schedule).execute()
