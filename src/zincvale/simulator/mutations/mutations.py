"""Deliberate mistakes in the machines, applied from outside, to prove that the checks can fail.

Each is a context manager that patches one decision. `simulate mutations` and the tests hold that
every one of them breaks an invariant: under a seed's schedule, in a directed scenario, or in the
exploration of the register.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from zincvale.simulator.mutations import leases as mutations_of_leases
from zincvale.simulator.mutations import registers as mutations_of_registers
from zincvale.simulator.mutations.registry import MUTATIONS, Mutation
from zincvale.simulator.schedules.directed import SCENARIOS, directed_schedules
from zincvale.simulator.schedules.drawing import draw_schedule
from zincvale.simulator.schedules.run import Outcome, run_schedule
from zincvale.simulator.schedules.schedule import Schedule


def first_catch(mutation: Mutation, schedules: Iterable[Schedule]) -> Outcome | None:
    """Return the first outcome that breaks an invariant under a mutation."""
    with mutation.apply():
        for schedule in schedules:
            outcome = run_schedule(schedule)
            if outcome.invariant:
                return outcome
    return None


def schedules_to_try(seeds: Iterable[int]) -> Iterator[Schedule]:
    """Return every directed schedule, then those of the seeds."""
    for name in SCENARIOS:
        yield from directed_schedules(name)
    for seed in seeds:
        yield draw_schedule(seed)


__all__ = ["MUTATIONS", "Mutation", "first_catch", "mutations_of_leases", "mutations_of_registers"]
