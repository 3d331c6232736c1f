"""Simulates at-most-once claims on top of the real control state, under faults drawn from a seed.

The voters of a claim keep their state in memory. The faults are therefore limited to those that
claims are designed to tolerate: nodes crash one at a time, with enough time in between to read back
their state from other voters. Freezes, partitions, message loss and core faults are not limited.
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

NODE_COUNT = 5
START_LIMIT_S = 40.0
"""Time within which every node of a new cluster must be ready to vote."""
LENGTH_S = 20.0
"""Time during which faults and requests occur, until everything is healed."""
REQUEST_INTERVAL_S = 0.2
"""Mean interval between two requests; the intervals are exponentially distributed."""
MAX_ATTEMPTS = 5
"""Maximum number of attempts of a request."""
ATTEMPT_SPREADS_S = (0.003, 0.3, 3.0)
"""Lengths of the period over which the attempts of a request are spread; one is drawn."""
NODE_CRASH_TIMES_S = (3.0, 14.0)
"""Times at which nodes crash; a restarted voter reads back state for up to 8 s before it votes."""
CRASH_SHARE = 0.8
"""Probability that a node crashes at each of `NODE_CRASH_TIMES_S`."""
PLAIN_CRASH_SHARE = 0.3
"""Fraction of the crashes that are not surrounded by partitions."""
ALL_CORES_SHARE = 0.3
"""Fraction of the core faults that affect all cores."""
PARTITION_BEFORE_CRASH_S = 2.0
"""Length of the partition that makes two voters miss votes before a third one crashes."""
MAX_PARTITION_S = 5.0
"""Longest partition; shorter than the time after which a voter without sources votes again."""
RECOVERY_LIMIT_S = 12.0
"""Time after healing within which a claim is granted and every node is ready to vote."""


@attrs.frozen
class ClaimsOutcome:
    """The result of one seed.

    Attributes
    ----------
    invariant : short name of the violated invariant; empty if all held.
    problem : description of the violation.
    requests : number of requests, each of which is sent in one or more attempts.
    decided : number of decisions on claims.
    granted : number of granted claims.
    ran : number of runs at back ends.
    recorded : number of attempts that got the recorded response of an earlier run.
    recovery_s : time from healing until claims were granted and every node could vote.
    """

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
    """The simulation of one seed."""

    def __init__(self, seed: int) -> None:
        source = random.Random(f"claims {seed}")
        self._seed = seed
        self._random = source
        self.simulation = Simulation(source, Network(source), uses_codec=seed % 4 == 0)
        checker = InvariantChecker(self.simulation, ROLES)
        self.cluster = Cluster(self.simulation, source, NODE_COUNT, ROLES, NodeWithClaims)
        self.callers = ClaimCallers(self.cluster, checker, source)
        self.operators = Operators(self.cluster, checker, source)
        self.simulation.observer = self.callers
        self._requests = 0
        self._recovery_s = 0.0

    def execute(self) -> ClaimsOutcome:
        """Run the simulation; a violated invariant or an exception in a handler ends it."""
        try:
            if not self.simulation.run_until(START_LIMIT_S, self._all_nodes_may_vote):
                raise InvariantViolationError("not-started", f"after {START_LIMIT_S:g} s")
            self._schedule_faults_and_requests()
            self.simulation.run_until(self.simulation.now + LENGTH_S)
            self._heal()
        except InvariantViolationError as violation:
            return self._outcome(violation.invariant, str(violation))
        except Exception as error:
            # A defect in a state machine under test may raise anything; the outcome reports it.
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

    def _all_nodes_may_vote(self) -> bool:
        processes = [self.cluster.running_process(member) for member in self.cluster.nodes]
        return all(
            process is not None and process.machine.claims.readiness.may_vote
            for process in processes
        )

    def _schedule_faults_and_requests(self) -> None:
        start = self.simulation.now
        for step in self._draw_faults():
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
        spread_s = self._random.choice(ATTEMPT_SPREADS_S)
        for _ in range(self._random.randint(1, MAX_ATTEMPTS)):
            member = self._random.choice(self.cluster.nodes)
            sent_at = at + spread_s * self._random.random()
            self.simulation.schedule(sent_at, self.callers.send, request, member)

    def _draw_faults(self) -> list[Step]:
        source = self._random
        steps = []
        for at_s in NODE_CRASH_TIMES_S:
            if source.random() < CRASH_SHARE:
                steps.extend(self._draw_node_crash(at_s))
        for _ in range(source.randint(2, 8)):
            steps.append(self._draw_other_fault(source.uniform(0.5, LENGTH_S - 6.0)))
        return steps

    def _draw_node_crash(self, at_s: float) -> list[Step]:
        """Return the steps of a node crash, usually between two partitions.

        Two nodes are partitioned and miss the votes of the crashing node. After it restarted
        without its state, it reaches only those two; each time, three nodes form a majority.
        """
        source = self._random
        crashing, *partitioned = source.sample(self.cluster.nodes, 3)
        crash = Step(at_s, "kill", (crashing,), (), source.uniform(0.05, 0.4))
        if source.random() < PLAIN_CRASH_SHARE:
            return [crash]
        others = tuple(node for node in self.cluster.nodes if node not in (crashing, *partitioned))
        return [
            Step(
                at_s - PARTITION_BEFORE_CRASH_S,
                "cut",
                tuple(partitioned),
                (),
                PARTITION_BEFORE_CRASH_S + 0.02,
            ),
            crash,
            Step(at_s + 0.01, "cut", others, (), source.uniform(2.0, MAX_PARTITION_S)),
        ]

    def _draw_other_fault(self, at_s: float) -> Step:
        source = self._random
        all_members = [*CORES, *self.cluster.nodes]
        for_s = source.uniform(0.3, MAX_PARTITION_S)
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
            return self.callers.granted > granted and self._all_nodes_may_vote()

        for attempt in range(int(RECOVERY_LIMIT_S)):
            member = self.cluster.nodes[attempt % NODE_COUNT]
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
    """Run the claims simulation of one seed and return its outcome."""
    return ClaimsRun(seed).execute()
