"""The cuts between machines of a run: which are cut off now, for `cut_launcher` to read."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from pathlib import Path

import attrs

from tests.soak.history import History
from tests.soak.layout import MachineSpec


@attrs.define(eq=False)
class Cut:
    """Machines that are cut off from all others; they still reach each other.

    Attributes
    ----------
    zone : machines that are added in this zone are inside too; empty for none.
    intervals : the time since the start of the cut, by machine, until it ends.
    """

    zone: str
    inside: dict[str, MachineSpec] = attrs.field(factory=dict)
    intervals: list[list[float]] = attrs.field(factory=list)


class CutTable:
    """All cuts of a run.

    Parameters
    ----------
    path : the file that the processes read.
    clock : seconds on the monotonic clock.
    """

    def __init__(self, path: Path, history: History, clock: Callable[[], float]) -> None:
        self.path = path
        self._history = history
        self._clock = clock
        self._cuts: list[Cut] = []

    def begin(self, machines: Sequence[MachineSpec], zone: str = "") -> Cut:
        """Cut machines off from all others."""
        cut = Cut(zone)
        self._cuts.append(cut)
        for machine in machines:
            self._put_inside(cut, machine)
        self._write()
        return cut

    def end(self, cut: Cut) -> None:
        """Join the machines of a cut with the others again."""
        self._cuts.remove(cut)
        self._write()
        now = self._clock()
        for interval in cut.intervals:
            interval.append(now)
        for machine in cut.inside.values():
            self._history.disturbed(machine.name, now, is_core=machine.has_disk)
        self._history.note(now, "joined", machines=sorted(cut.inside))

    def added(self, machine: MachineSpec) -> None:
        """Put a new machine inside the cuts of its zone."""
        for cut in self._cuts:
            if cut.zone == machine.zone:
                self._put_inside(cut, machine)
        self._write()

    def is_cut_off(self, name: str) -> bool:
        """Whether a machine is inside a cut."""
        return any(name in cut.inside for cut in self._cuts)

    def _put_inside(self, cut: Cut, machine: MachineSpec) -> None:
        now = self._clock()
        cut.inside[machine.name] = machine
        interval = [now]
        cut.intervals.append(interval)
        self._history.machine(machine.name).cut_off.append(interval)
        self._history.disturbed(machine.name, now, is_core=machine.has_disk)
        self._history.note(now, "cut-off", machine=machine.name)

    def _write(self) -> None:
        lines = [" ".join(machine.ip for machine in cut.inside.values()) for cut in self._cuts]
        temporary = self.path.with_suffix(".new")
        temporary.write_text("\n".join(lines), encoding="ascii")
        temporary.replace(self.path)
