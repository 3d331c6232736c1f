"""At-most-once claims over the real control state: seeds, faults they survive, checks.

What a claim's voters know is in memory. The faults drawn here keep to what the claims are
made for: nodes die one at a time, with time to read back what they knew; freezes, cuts, losses and
everything that happens to cores are free.
"""

from __future__ import annotations

import random
import traceback

import attrs

from zincvale.simulator.claims.callers import ClaimCallers
from zincvale.simulator.claims.machine import NodeWithClaims
from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.faults import FAULTS
from zincvale.simulator.cluster.invariant_checker import InvariantChecker, InvariantViolationError
from zincvale.simulator.cluster.network import Network
from zincvale.simulator.cluster.operators import Operators
from zincvale.simulator.cluster.simulation import Simulation
from zincvale.simulator.schedules.drawing import CORES
from zincvale.simulator.schedules.run import ROLES
from zincvale.simulator.schedules.schedule import Step

NODES = 5
START_LIMIT_S = 40.0
LENGTH_S = 20.0
REQUEST_INTERVAL_S = 0.2
ATTEMPTS = 5
SPREADS_S = (0.003, 0.3, 3.0)
NODE_DEATHS_S = (3.0, 14.0)
"""When nodes die; a voter that restarted reads back for up to 8 s before it votes."""
DEATH_SHARE = 0.8
"""Probability that a node dies at each of `NODE_DEATHS_S`."""
PLAIN_DEATH_SHARE = 0.3
"""Share of the deaths that are not surrounded by partitions."""
ALL_CORES_SHARE = 0.3
"""Share of the core faults that concern every core."""
MISSED_S = 2.0
LONGEST_CUT_S = 5.0
"""Shorter than the time after which a voter without sources votes again."""
RECOVERY_LIMIT_S = 12.0


@attrs.frozen
class ClaimsOutcome:
    """What a run showed; `invariant` is empty when all held."""

    seed: int
    invariant: str = ""
    problem: str = ""
    requests: int = 0
    decided: int = 0
    granted: int = 0
    ran: int = 0
    recorded: int = 0
    recovery_s: float = 0.0


class ClaimsRun:
    """One seed."""

    def __init__(self, seed: int) -> None:
        source = random.Random(f"claims {seed}")
        self._seed = seed
        self._random = source
        self.simulation = Simulation(source, Network(source), uses_codec=seed % 4 == 0)
        checker = InvariantChecker(self.simulation, ROLES)
        self.cluster = Cluster(self.simulation, source, NODES, ROLES, NodeWithClaims)
        self.callers = ClaimCallers(self.cluster, checker, source)
        self.operators = Operators(self.cluster, checker, source)
        self.simulation.observer = self.callers
        self._requests = 0
        self._recovery_s = 0.0

    def execute(self) -> ClaimsOutcome:
        """Run everything."""
        try:
            if not self.simulation.run_until(START_LIMIT_S, self._all_vote):
                raise InvariantViolationError("not-started", f"after {START_LIMIT_S:g} s")
            self._schedule_everything()
            self.simulation.run_until(self.simulation.now + LENGTH_S)
            self._heal()
        except InvariantViolationError as broken:
            return self._outcome(broken.invariant, str(broken))
        except Exception as error:
            # A defect of a machine under test may raise anything: it is the finding of the run.
            return self._outcome("handler-failed", f"{error!r}\n{traceback.format_exc(limit=-4)}")
        return self._outcome()

    def _outcome(self, invariant: str = "", problem: str = "") -> ClaimsOutcome:
        callers = self.callers
        return ClaimsOutcome(
            self._seed,
            invariant,
            problem,
            self._requests,
            callers.decided,
            callers.granted,
            sum(callers.runs.values()),
            callers.recorded,
            self._recovery_s,
        )

    def _all_vote(self) -> bool:
        processes = [self.cluster.running_process(member) for member in self.cluster.nodes]
        return all(
            process is not None and process.machine.claims.readiness.may_vote
            for process in processes
        )

    def _schedule_everything(self) -> None:
        start = self.simulation.now
        for step in self._faults():
            self.simulation.schedule(
                start + step.at_s, FAULTS[step.action], self.operators, self.cluster, step
            )
        at_s = 0.1
        while at_s < LENGTH_S - 1.0:
            self._schedule_request(start + at_s)
            at_s += self._random.expovariate(1 / REQUEST_INTERVAL_S)

    def _schedule_request(self, at: float) -> None:
        self._requests += 1
        request = f"request-{self._requests}"
        spread_s = self._random.choice(SPREADS_S)
        for _ in range(self._random.randint(1, ATTEMPTS)):
            member = self._random.choice(self.cluster.nodes)
            moment = at + spread_s * self._random.random()
            self.simulation.schedule(moment, self.callers.send, request, member)

    def _faults(self) -> list[Step]:
        source = self._random
        steps = []
        for at_s in NODE_DEATHS_S:
            if source.random() < DEATH_SHARE:
                steps.extend(self._death(at_s))
        for _ in range(source.randint(2, 8)):
            steps.append(self._other_fault(source.uniform(0.5, LENGTH_S - 6.0)))
        return steps

    def _death(self, at_s: float) -> list[Step]:
        """Kill a voter; often between two cuts that leave a majority on either side of it.

        Two others miss what it votes for, it dies and forgets, and then meets those two only.
        """
        source = self._random
        dying, *missed = source.sample(self.cluster.nodes, 3)
        death = Step(at_s, "kill", (dying,), (), source.uniform(0.05, 0.4))
        if source.random() < PLAIN_DEATH_SHARE:
            return [death]
        knowing = tuple(node for node in self.cluster.nodes if node not in (dying, *missed))
        return [
            Step(at_s - MISSED_S, "cut", tuple(missed), (), MISSED_S + 0.02),
            death,
            Step(at_s + 0.01, "cut", knowing, (), source.uniform(2.0, LONGEST_CUT_S)),
        ]

    def _other_fault(self, at_s: float) -> Step:
        source = self._random
        all_members = [*CORES, *self.cluster.nodes]
        for_s = source.uniform(0.3, LONGEST_CUT_S)
        match source.choice(("freeze", "cut", "pair", "storm", "slow", "kill", "lose-power")):
            case "freeze":
                return Step(at_s, "freeze", (source.choice(all_members),), (), for_s)
            case "cut":
                return Step(at_s, "cut", (source.choice(all_members),), (), for_s)
            case "pair":
                one, other = source.sample(all_members, 2)
                action = source.choice(("cut", "cut-one-way"))
                return Step(at_s, action, (one,), (other,), for_s)
            case "storm":
                return Step(at_s, "storm", (), (), for_s, source.uniform(0.05, 0.3))
            case "slow":
                return Step(at_s, "slow", (source.choice(all_members),), (), for_s)
            case action:
                cores = CORES if source.random() < ALL_CORES_SHARE else (source.choice(CORES),)
                return Step(at_s, action, cores, (), source.uniform(0.1, 3.0))

    def _heal(self) -> None:
        self.simulation.network.heal()
        for process in list(self.simulation.processes.values()):
            self.simulation.resume(process)
        for member in self.cluster.all_members():
            self.cluster.start(member)
        healed_at = self.simulation.now
        granted = self.callers.granted

        def is_recovered() -> bool:
            return self.callers.granted > granted and self._all_vote()

        for attempt in range(int(RECOVERY_LIMIT_S)):
            member = self.cluster.nodes[attempt % NODES]
            self.simulation.schedule(
                healed_at + attempt, self.callers.send, f"late-{attempt}", member
            )
        if not self.simulation.run_until(healed_at + RECOVERY_LIMIT_S, is_recovered):
            raise InvariantViolationError(
                "not-recovered", f"no claims {RECOVERY_LIMIT_S:g} s after healing"
            )
        self._recovery_s = round(self.simulation.now - healed_at, 3)
        self.simulation.run_until(self.simulation.now + 3.0)


def run_claims(seed: int) -> ClaimsOutcome:
    """Run one seed of the claims' schedules."""
    return ClaimsRun(seed).execute()
