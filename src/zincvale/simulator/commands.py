"""The command `zincvale simulate`: runs the daemons' state machines in virtual time."""

from __future__ import annotations

import sys
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

from zincvale.coordination.config import ReadinessRule
from zincvale.model.errors import InvalidInputError
from zincvale.simulator.claims.run import run_claims
from zincvale.simulator.forwarding.model import run_forwarding
from zincvale.simulator.mutations.mutations import (
    MUTATIONS,
    Mutation,
    first_catch,
    schedules_to_try,
)
from zincvale.simulator.register_exploration import explore_register, walk_register
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.exploring import (
    MAX_JOBS,
    explore_in_process,
    explore_in_workers,
    parse_seeds,
    shrink_failure,
)
from zincvale.simulator.schedules.run import Outcome, run_schedule
from zincvale.simulator.schedules.schedule import Schedule, describe
from zincvale.simulator.schedules.schedule_files import read_schedule, write_schedule
from zincvale.simulator.serving.day import changes_of_day, run_day
from zincvale.simulator.serving.shapes import POOLS

EXIT_FAILURE = 1
"""Exit status when an invariant was violated or a mutation was not detected."""
WALK_COUNT = 600
"""Number of random walks through the states of a register that look for one mutation."""
WALK_SEED = 1
WALK_STARTS = (2, 2)
"""Number of times that each proposer of the register may start."""


class SimulateCommands:
    """Run the daemons' own machines against simulated networks, disks, clocks and crashes."""

    def explore(
        self,
        seeds: str = "1..200",
        jobs: int = 1,
        shrink: bool = True,
        save: str = "",
        readiness: str = ReadinessRule.LEASE_OR_EVIDENCE.value,
    ) -> None:
        """Run a schedule of faults and changes for each seed; exit non-zero on a violation.

        Args:
            seeds: `A..B`, both included.
            jobs: number of worker processes, at most 4.
            shrink: search for the smallest schedule that violates the same invariant.
            save: folder for the (shrunk) schedules of failing seeds.
            readiness: when nodes are ready, `lease-or-evidence` (native) or `lease` (forwarding).
        """
        if not 1 <= jobs <= MAX_JOBS:
            raise InvalidInputError(f"jobs is {jobs}", f"choose 1 to {MAX_JOBS}")
        seed_range = parse_seeds(seeds)
        rule = _readiness_rule(readiness)
        started_at = time.process_time()
        outcomes = (
            explore_in_process(seed_range, rule)
            if jobs == 1
            else explore_in_workers(seed_range, rule, jobs)
        )
        completed = []
        for outcome in outcomes:
            completed.append(outcome)
            if outcome.invariant:
                _report_failure(outcome, rule, shrink, save)
        _print_summary(completed, time.process_time() - started_at, jobs)
        if any(outcome.invariant for outcome in completed):
            sys.exit(EXIT_FAILURE)

    def claims(self, seeds: str = "1..20") -> None:
        """Send at-most-once requests repeatedly via failing nodes; exit non-zero on a violation.

        Args:
            seeds: `A..B`, both included.
        """
        outcomes = []
        for seed in parse_seeds(seeds):
            outcomes.append(run_claims(seed))
            if outcomes[-1].invariant:
                print(f"seed {seed}: {outcomes[-1].problem}", flush=True)
        broken = sum(bool(outcome.invariant) for outcome in outcomes)
        print(
            f"{len(outcomes)} seeds, {broken} broke an invariant; "
            f"{sum(each.requests for each in outcomes)} requests, "
            f"{sum(each.decided for each in outcomes)} decisions, "
            f"{sum(each.ran for each in outcomes)} ran, "
            f"{sum(each.recorded for each in outcomes)} answered from the record"
        )
        if broken:
            sys.exit(EXIT_FAILURE)

    def forwarding(self, seeds: str = "1..200") -> None:
        """Forward requests to failing back ends; exit non-zero on a violation.

        Args:
            seeds: `A..B`, both included.
        """
        outcomes = [run_forwarding(seed) for seed in parse_seeds(seeds)]
        broken = [outcome for outcome in outcomes if outcome.problems]
        for outcome in broken:
            print(f"seed {outcome.seed}: {'; '.join(outcome.problems)}")
        endings = sum((outcome.endings for outcome in outcomes), Counter())
        endings_text = ", ".join(f"{count} {ending}" for ending, count in endings.most_common())
        print(f"{len(outcomes)} seeds, {len(broken)} failed a check; {endings_text}")
        if broken:
            sys.exit(EXIT_FAILURE)

    def serving(self, seeds: str = "1..5", pool: str = "large", leader_changes: int = 1) -> None:
        """Place models for a day of shifting demand; exit non-zero if too much is never served.

        Args:
            seeds: `A..B`, both included.
            pool: size of the pool, `large` or `medium`.
            leader_changes: how often the placement leader is cut off.
        """
        if pool not in POOLS:
            raise InvalidInputError(f"no pool {pool!r}", f"one of {', '.join(POOLS)}")
        changes = changes_of_day(leader_changes)
        is_failed = False
        for seed in parse_seeds(seeds):
            outcome = run_day(seed, POOLS[pool], changes)
            never_served = outcome.never_served()
            is_failed |= len(never_served) > outcome.tolerated() or bool(outcome.problems)
            print(f"seed {seed}: {outcome.summary()}", flush=True)
            for name in never_served:
                print(f"    {name}: {'; '.join(outcome.decisions(name))}")
            for problem in outcome.problems:
                print(f"    {problem}")
        if is_failed:
            sys.exit(EXIT_FAILURE)

    def replay(
        self,
        file: str,
        shrink: bool = False,
        save: str = "",
        readiness: str = ReadinessRule.LEASE_OR_EVIDENCE.value,
    ) -> None:
        """Run a saved schedule, or the schedule of a seed; exit non-zero on a violation.

        Args:
            file: a file that `explore --save` wrote, or a seed.
            shrink: search for a smaller schedule that violates the same invariant.
            save: folder for the shrunk schedule.
            readiness: the rule with which the schedule was explored.
        """
        rule = _readiness_rule(readiness)
        is_seed = str(file).isdigit()
        schedule = draw_schedule(int(file), rule) if is_seed else read_schedule(Path(str(file)))
        print("\n".join(describe(schedule)))
        outcome = run_schedule(schedule, rule)
        print(f"{outcome.problem or 'every invariant held'} (at {outcome.at_s} s)")
        if not outcome.invariant:
            return
        if shrink:
            smaller, runs = shrink_failure(
                schedule, outcome.invariant, partial(run_schedule, readiness=rule)
            )
            print(f"smallest found in {runs} runs:")
            print("\n".join(describe(smaller)))
            if save:
                _save_schedule(smaller, outcome, save)
        sys.exit(EXIT_FAILURE)

    def mutations(self, seeds: str = "1..100", only: str = "") -> None:
        """Apply mutations (deliberate defects) one by one; exit non-zero if one is not detected.

        Args:
            seeds: seeds to run after the register exploration and the directed scenarios.
            only: name of a single mutation to apply.
        """
        seed_range = parse_seeds(seeds)
        names = [only] if only else list(MUTATIONS)
        missed = 0
        for name in names:
            if name not in MUTATIONS:
                raise InvalidInputError(f"no mutation {name!r}", f"one of {', '.join(MUTATIONS)}")
            detection = _detect(MUTATIONS[name], seed_range)
            missed += not detection
            print(f"{name:24} {detection or 'NOT DETECTED'}", flush=True)
        if missed:
            sys.exit(EXIT_FAILURE)

    @property
    def what_if(self) -> Any:
        """Compare a deployment's intent with and without a change, in virtual time."""
        from zincvale.simulator.what_if.commands import what_if

        return what_if

    def exhaustive(self, states: int = 300_000, starts: str = "1,1") -> None:
        """Visit every order of deliveries and restarts of a register: 3 replicas, 2 proposers.

        Args:
            states: maximum number of distinct states.
            starts: number of times that each proposer may try to become the owner of the key.
        """
        start_counts = (
            starts if isinstance(starts, tuple) else tuple(map(int, str(starts).split(",")))
        )
        found = explore_register(tuple(int(each) for each in start_counts), states)
        extent = "complete" if found.is_complete else "stopped at the limit"
        print(f"{found.states} distinct states ({extent}), {found.transitions} steps")
        print(f"deepest {found.depth}; versions chosen: {found.chosen}")
        if found.problem:
            print(found.problem)
            sys.exit(EXIT_FAILURE)


def _detect(mutation: Mutation, seeds: range) -> str:
    """Return a description of how a mutation was detected; empty if it was not."""
    with mutation.apply():
        found = walk_register(WALK_STARTS, WALK_COUNT, WALK_SEED)
    if found.problem:
        return f"exploration of the register: {found.problem[:120]}"
    detecting_outcome = first_catch(mutation, schedules_to_try(seeds, mutation.readiness))
    return (
        f"seed {detecting_outcome.seed}: {detecting_outcome.problem[:120]}"
        if detecting_outcome
        else ""
    )


def _readiness_rule(name: str) -> ReadinessRule:
    try:
        return ReadinessRule(name)
    except ValueError as error:
        known = ", ".join(rule.value for rule in ReadinessRule)
        raise InvalidInputError(f"no rule of readiness {name!r}", f"one of {known}") from error


def _report_failure(outcome: Outcome, rule: ReadinessRule, shrink: bool, save: str) -> None:
    print(f"seed {outcome.seed}: {outcome.problem}", flush=True)
    schedule = draw_schedule(outcome.seed, rule)
    if shrink:
        schedule, runs = shrink_failure(
            schedule, outcome.invariant, partial(run_schedule, readiness=rule)
        )
        print(f"smallest schedule found in {runs} runs:")
        print("\n".join(describe(schedule)), flush=True)
    if save:
        _save_schedule(schedule, outcome, save)


def _save_schedule(schedule: Schedule, outcome: Outcome, folder: str) -> None:
    path = Path(folder) / f"{outcome.invariant}-{outcome.seed}.json"
    path.parent.mkdir(parents=True, exist_ok=True)
    write_schedule(schedule, path)
    print(f"saved as {path}")


def _print_summary(outcomes: list[Outcome], processor_s: float, jobs: int) -> None:
    broken = Counter(outcome.invariant for outcome in outcomes if outcome.invariant)
    recovered = sorted(each.recovery_s for each in outcomes if each.recovery_s is not None)
    print(
        f"{len(outcomes)} seeds, {sum(broken.values())} broke an invariant"
        f"{' ' + str(dict(broken)) if broken else ''}; "
        f"{sum(each.attempts for each in outcomes)} requests of operators, "
        f"{sum(each.steps for each in outcomes)} steps"
        + (f", {processor_s:.1f} s of processor time" if jobs == 1 else "")
    )
    if recovered:
        print(
            f"recovery after healing: median {recovered[len(recovered) // 2]:.2f} s, "
            f"longest {recovered[-1]:.2f} s, in {len(recovered)} runs; "
            f"{len(outcomes) - len(recovered)} runs had lost too many disks or failed"
        )
