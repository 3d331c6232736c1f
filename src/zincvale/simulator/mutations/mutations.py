"""Runs schedules under mutations, which prove that the invariant checks can fail.

A mutation is a context manager that patches one decision of a state machine. `simulate mutations`
and the tests check that each mutation violates an invariant: with the schedule of a seed, in a
directed scenario, or in the exploration of a register.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from zincvale.coordination.config import ReadinessRule
from zincvale.simulator.mutations import leases as mutations_of_leases
from zincvale.simulator.mutations import registers as mutations_of_registers
from zincvale.simulator.mutations.registry import MUTATIONS, Mutation
from zincvale.simulator.schedules.directed import (
    LEASE_SCENARIOS,
    SCENARIOS,
    directed_schedules,
)
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.run import Outcome, run_schedule
from zincvale.simulator.schedules.schedule import Schedule


def first_catch(mutation: Mutation, schedules: Iterable[Schedule]) -> Outcome | None:
    """Return the outcome of the first schedule that violates an invariant under a mutation."""
    with mutation.apply():
        for schedule in schedules:
            outcome = run_schedule(schedule, mutation.readiness)
            if outcome.invariant:
                return outcome
    return None


def schedules_to_try(seeds: Iterable[int], readiness: ReadinessRule) -> Iterator[Schedule]:
    """Yield the schedules of all directed scenarios of a rule, then those of the seeds."""
    for name in LEASE_SCENARIOS if readiness is ReadinessRule.LEASE else SCENARIOS:
        yield from directed_schedules(name)
    for seed in seeds:
        yield draw_schedule(seed, readiness)


__all__ = ["MUTATIONS", "Mutation", "first_catch", "mutations_of_leases", "mutations_of_registers"]
