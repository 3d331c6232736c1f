"""Runs one schedule on a simulated cluster and checks the invariants."""

from __future__ import annotations

import random
import traceback

import attrs

from zincvale.coordination.config import ReadinessRule
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
"""Singleton roles of the simulated cluster."""
START_LIMIT_S = 12.0
"""Time within which every node of a new cluster must be ready."""
RECOVERY_LIMIT_S = 12.0
"""Time after healing within which a change is accepted and every node is ready."""
ROLE_LIMIT_S = 16.0
"""Time after healing within which every singleton role has a leader: a lease may have to expire,
restarted grantors wait for as long, and candidates stagger their attempts."""
SETTLE_S = 2.0
"""Time after recovery within which every member must hold the acknowledged version.

If recovery is impossible for lack of a quorum, the run goes on for as long."""


@attrs.frozen
class Outcome:
    """The result of running a schedule.

    Attributes
    ----------
    invariant : short name of the violated invariant; empty if all held.
    problem : description of the violation.
    at_s : virtual time at which the run ended.
    steps : number of simulated events.
    acknowledged : highest acknowledged version.
    attempts : number of requests that the operators sent.
    recovery_s : time from healing to full service; None if it was not reached, for instance
        because too many disks were lost.
    """

    seed: int
    invariant: str = ""
    problem: str = ""
    at_s: float = 0.0
    steps: int = 0
    acknowledged: int = 0
    attempts: int = 0
    recovery_s: float | None = None


class ScheduleRun:
    """One run of one schedule, on a cluster with the given rule of readiness."""

    def __init__(
        self, schedule: Schedule, readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
    ) -> None:
        self._schedule = schedule
        source = random.Random(f"run {schedule.seed}")
        self.simulation = Simulation(source, Network(source), schedule.uses_codec)
        self.checker = InvariantChecker(self.simulation, ROLES)
        self.simulation.observer = self.checker
        self.cluster = Cluster(self.simulation, source, schedule.nodes, ROLES, readiness=readiness)
        self.operators = Operators(self.cluster, self.checker, source)
        self._publisher = RolePublisher(self.cluster, ROLES[0])
        self._recovery_s: float | None = None

    def execute(self) -> Outcome:
        """Run the schedule; a violated invariant or an exception in a handler ends the run."""
        try:
            self._start()
            self._run_steps()
            self._heal()
            self._check_history()
        except InvariantViolationError as violation:
            return self._outcome(violation.invariant, str(violation))
        except Exception as error:
            # A defect in a state machine under test may raise anything; the outcome reports it.
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
        if not self.simulation.run_until(START_LIMIT_S, self._all_nodes_ready):
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
            return self._is_accepted(probe.order) and self._all_nodes_ready()

        if not self.simulation.run_until(end, is_recovered):
            raise InvariantViolationError(
                "not-recovered", self._describe_incomplete_recovery(probe.order)
            )
        self._recovery_s = round(self.simulation.now - healed_at, 3)
        self.simulation.run_until(self.simulation.now + SETTLE_S)
        self._check_every_member_is_current()
        if not self.simulation.run_until(healed_at + ROLE_LIMIT_S, self._all_roles_have_a_leader):
            raise InvariantViolationError("no-holder", f"{ROLE_LIMIT_S:g} s after healing")

    def _is_accepted(self, order: int) -> bool:
        return any(
            attempt.status == IN_FORCE
            for attempt in reversed(self.operators.attempts)
            if attempt.order == order
        )

    def _all_nodes_ready(self) -> bool:
        for member in self.cluster.nodes:
            process = self.cluster.running_process(member)
            if process is None or not process.machine.ready(process.local(self.simulation.now)):
                return False
        return True

    def _all_roles_have_a_leader(self) -> bool:
        cores = [
            each for each in self.simulation.processes.values() if each.kind is ProcessKind.CORE
        ]
        return all(
            any(
                core.machine.role(role, core.local(self.simulation.now)).is_leader for core in cores
            )
            for role in ROLES
        )

    def _describe_incomplete_recovery(self, order: int) -> str:
        acceptance = "accepted" if self._is_accepted(order) else "not accepted"
        unready = [
            member
            for member, process in self.simulation.processes.items()
            if process.kind is ProcessKind.NODE
            and not process.machine.ready(process.local(self.simulation.now))
        ]
        return f"{RECOVERY_LIMIT_S:g} s after healing: change {acceptance}, unready {unready}"

    def _check_every_member_is_current(self) -> None:
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


def run_schedule(
    schedule: Schedule, readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
) -> Outcome:
    """Run a schedule and return its outcome."""
    return ScheduleRun(schedule, readiness).execute()
