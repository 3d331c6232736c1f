"""Finds a smaller schedule that fails in the same way, by delta debugging of its steps."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.simulator.schedules.schedule import Schedule, Step

FailurePredicate = Callable[[Schedule], bool]
"""Returns whether a schedule still fails in the same way."""
MAX_RUNS = 400
"""Maximum number of candidate schedules that are run."""


class Shrinker:
    """Shrinks one failing schedule.

    Parameters
    ----------
    fails : returns whether a schedule fails in the same way as the original.
    max_runs : maximum number of candidate schedules that are run.
    """

    def __init__(self, fails: FailurePredicate, max_runs: int = MAX_RUNS) -> None:
        self.runs = 0
        self._fails = fails
        self._max_runs = max_runs

    def shrink(self, schedule: Schedule) -> Schedule:
        """Return a schedule that still fails; unless the run limit is reached, no single step of it
        can be removed.
        """
        schedule = self._remove_steps(schedule)
        schedule = self._remove_members(schedule)
        return self._remove_steps(schedule)

    def _still_fails(self, candidate: Schedule) -> bool:
        if self.runs >= self._max_runs:
            return False
        self.runs += 1
        return self._fails(candidate)

    def _remove_steps(self, schedule: Schedule) -> Schedule:
        """Remove ever smaller subsets of the steps (ddmin; Zeller and Hildebrandt 2002)."""
        granularity = 2
        while schedule.steps and granularity <= 2 * len(schedule.steps):
            granularity = min(granularity, len(schedule.steps))
            shorter = self._remove_one_subset(schedule, granularity)
            if shorter is not None:
                schedule = shorter
                granularity = max(granularity - 1, 2)
            elif granularity == len(schedule.steps):
                break
            else:
                granularity *= 2
        return schedule

    def _remove_one_subset(self, schedule: Schedule, granularity: int) -> Schedule | None:
        steps = schedule.steps
        bounds = [len(steps) * subset // granularity for subset in range(granularity + 1)]
        for start, end in zip(bounds, bounds[1:], strict=False):
            candidate = schedule.with_steps((*steps[:start], *steps[end:]))
            if self._still_fails(candidate):
                return candidate
        return None

    def _remove_members(self, schedule: Schedule) -> Schedule:
        """Remove single members from the steps that name several members."""
        for index in range(len(schedule.steps)):
            for member in schedule.steps[index].members:
                step = schedule.steps[index]
                remaining = tuple(each for each in step.members if each != member)
                if not remaining:
                    break
                candidate = _replace_step(schedule, index, attrs.evolve(step, members=remaining))
                if self._still_fails(candidate):
                    schedule = candidate
        return schedule


def _replace_step(schedule: Schedule, index: int, step: Step) -> Schedule:
    return schedule.with_steps((*schedule.steps[:index], step, *schedule.steps[index + 1 :]))
