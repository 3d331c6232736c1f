"""Broken rules, and whether a machine was in touch: the words that all checks share."""

from __future__ import annotations

from bisect import bisect_right

import attrs

from tests.soak.history import History
from tests.soak.settings_file import CONTACT_S


@attrs.frozen
class Problem:
    """A broken rule."""

    rule: str
    at: float
    text: str


class InTouch:
    """Tells from a history which machines were in touch, and when.

    A machine is in touch at a moment if nothing was done to it, and the core was stable, for the
    whole contact time before.
    """

    def __init__(self, history: History) -> None:
        self._history = history
        self._core_times = sorted(history.core_disturbances)

    def is_core_stable(self, start: float, end: float) -> bool:
        """Whether nothing was done to a core from the contact time before `start` until `end`."""
        index = bisect_right(self._core_times, end)
        return index == 0 or self._core_times[index - 1] < start - CONTACT_S

    def is_undisturbed(self, machine: str, start: float, end: float) -> bool:
        """Whether nothing was done to a machine in this time and the contact time before."""
        history = self._history.machine(machine)
        if any(start - CONTACT_S <= at <= end for at in history.disturbances):
            return False
        return not any(
            interval[0] <= end and (len(interval) == 1 or interval[1] >= start - CONTACT_S)
            for interval in (*history.down, *history.cut_off)
        )
