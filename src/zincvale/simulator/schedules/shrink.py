"""Finds a smaller schedule that fails the same way: delta debugging over the list of steps."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.simulator.schedules.schedule import Schedule, Step

Fails = Callable[[Schedule], bool]
RUNS_LIMIT = 400


class Shrinker:
    """Shortens one failing schedule.

    Parameters
    ----------
    fails : whether a schedule fails in the way that matters.
    runs_limit : how many schedules may be tried.
    """

    def __init__(self, fails: Fails, runs_limit: int = RUNS_LIMIT) -> None:
        self.runs = 0
        self._fails = fails
        self._runs_limit = runs_limit

    def shrink(self, schedule: Schedule) -> Schedule:
        """Return a schedule that still fails and from which no single step can be left out."""
        schedule = self._without_steps(schedule)
        schedule = self._with_fewer_members(schedule)
        return self._without_steps(schedule)

    def _try(self, candidate: Schedule) -> bool:
        if self.runs >= self._runs_limit:
            return False
        self.runs += 1
        return self._fails(candidate)

    def _without_steps(self, schedule: Schedule) -> Schedule:
        """Leave out ever smaller subsets (ddmin; Zeller and Hildebrandt 2002)."""
        granularity = 2
        while schedule.steps and granularity <= 2 * len(schedule.steps):
            granularity = min(granularity, len(schedule.steps))
            shorter = self._without_one_subset(schedule, granularity)
            if shorter is not None:
                schedule = shorter
                granularity = max(granularity - 1, 2)
            elif granularity == len(schedule.steps):
                break
            else:
                granularity *= 2
        return schedule

    def _without_one_subset(self, schedule: Schedule, granularity: int) -> Schedule | None:
        steps = schedule.steps
        bounds = [len(steps) * subset // granularity for subset in range(granularity + 1)]
        for first, last in zip(bounds, bounds[1:], strict=False):
            candidate = schedule.with_steps((*steps[:first], *steps[last:]))
            if self._try(candidate):
                return candidate
        return None

    def _with_fewer_members(self, schedule: Schedule) -> Schedule:
        """Leave out members of faults that concern several."""
        for index in range(len(schedule.steps)):
            for member in schedule.steps[index].members:
                step = schedule.steps[index]
                rest = tuple(each for each in step.members if each != member)
                if not rest:
                    break
                candidate = _with_step(schedule, index, attrs.evolve(step, members=rest))
                if self._try(candidate):
                    schedule = candidate
        return schedule


def _with_step(schedule: Schedule, index: int, step: Step) -> Schedule:
    return schedule.with_steps((*schedule.steps[:index], step, *schedule.steps[index + 1 :]))
