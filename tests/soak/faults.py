"""A seeded plan of faults that overlap, and what carries it out."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
from collections.abc import Callable

import attrs

from tests.soak.history import History
from tests.soak.layout import MachineSpec
from tests.soak.machines import Fleet

FAULT_WEIGHTS = {
    "kill-core": 8,
    "kill-nodes": 5,
    "kill-all-cores": 2,
    "freeze-core": 9,
    "freeze-nodes": 5,
    "roll": 6,
    "stop-core": 8,
    "stop-some": 6,
    "hang-up": 8,
    "hang-up-after-start": 4,
    "turn-seeds": 4,
    "replace-core": 3,
    "wipe-core": 3,
    "busy": 3,
}
CUT_WEIGHTS = {
    "cut-core": 8,
    "cut-zone": 5,
    "cut-nodes": 4,
    "cut-after-replacement": 4,
    "replace-inside-cut": 4,
}
"""Weights of the faults that cut machines off, which only some runs have."""
NODE_LOSS_WEIGHTS = {"lose-nodes": 8, "freeze-most-nodes": 5}
"""Weights of the faults that take most machines without a disk, which only some runs have."""
REPLACEMENT_S = (0.5, 3.0)
"""How long after the loss of machines without a disk new ones start."""
LOSS_TO_CUT_S = (0.05, 0.9)
"""How long after the loss of a core machine its zone is cut off, or before it."""
CATCH_UP_S = 4.05
"""How long a machine counts as lost after its return: `catchUpS` of the settings, and a moment."""


@attrs.frozen
class Fault:
    """One fault of the plan; `at` in seconds from the start of the load."""

    at: float
    kind: str
    strength: float
    """Drawn from 0 to 1; each kind reads it in its own way."""
    seconds: float


def draw_plan(
    random_source: random.Random, length_s: float, mean_gap_s: float, kinds: dict[str, int]
) -> list[Fault]:
    """Return faults with random gaps; several may strike at nearly the same time."""
    plan: list[Fault] = []
    at = random_source.uniform(2.0, 4.0)
    while kinds and at < length_s - 2.0:
        kind = random_source.choices(list(kinds), list(kinds.values()))[0]
        plan.append(
            Fault(
                round(at, 2),
                kind,
                random_source.random(),
                round(random_source.uniform(0.4, 6.0), 2),
            )
        )
        at += random_source.expovariate(1.0 / mean_gap_s)
    return plan


class FaultRunner:
    """Carries out a plan.

    Parameters
    ----------
    new_machine : returns the specification of a further machine, in the zone of the given one.
    on_added : called with each machine that was added.
    catch_up_s : how long after the return of a core machine the disk of another one may be lost.
    """

    def __init__(
        self,
        fleet: Fleet,
        history: History,
        random_source: random.Random,
        clock: Callable[[], float],
        new_machine: Callable[[MachineSpec], MachineSpec],
        on_added: Callable[[MachineSpec], None],
        catch_up_s: float,
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._random = random_source
        self._clock = clock
        self._new_machine = new_machine
        self._on_added = on_added
        self._catch_up_s = catch_up_s
        self._core_count = len(fleet.cores())
        self._frozen: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, plan: list[Fault], started_at: float) -> None:
        """Strike each fault when it is due, whether or not earlier ones are over."""
        for fault in plan:
            await asyncio.sleep(max(0.0, started_at + fault.at - self._clock()))
            self._history.note(
                self._clock(),
                "fault",
                fault=fault.kind,
                strength=round(fault.strength, 2),
                seconds=fault.seconds,
            )
            task = asyncio.create_task(self._strike(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.gather(*self._tasks)

    async def _strike(self, fault: Fault) -> None:
        match fault.kind:
            case "kill-core":
                self._fleet.kill(self._core(fault))
            case "kill-nodes":
                for name in self._some(fault, 0.4):
                    self._fleet.kill(name, ("node",))
            case "kill-all-cores":
                for spec in self._fleet.cores():
                    self._fleet.kill(spec.name, ("core",))
            case "freeze-core":
                await self._freeze([self._core(fault)], fault.seconds)
            case "freeze-nodes":
                await self._freeze(self._some(fault, 0.3, without_cores=True), fault.seconds)
            case "roll":
                await self._roll(self._some(fault, 1.0), 0.3 + fault.strength)
            case "stop-core":
                self._fleet.terminate(self._core(fault))
            case "stop-some":
                for name in self._some(fault, 0.3):
                    self._fleet.terminate(name)
            case "hang-up":
                await self._hang_up(self._some(fault, 0.6), fault.seconds / 10)
            case "hang-up-after-start":
                await self._hang_up_after_start(fault)
            case "turn-seeds":
                await self._turn_seeds(fault)
            case "replace-core":
                spec = self._fleet.specs[self._core(fault)]
                if self._may_lose_disk(spec.name):
                    await self.replace_core(spec)
            case "wipe-core":
                await self._wipe_core(fault)
            case "busy":
                await self._busy(fault.seconds)
            case "lose-nodes":
                await self._lose_nodes(self._most_nodes(fault))
            case "freeze-most-nodes":
                await self._freeze(self._most_nodes(fault), fault.seconds)
            case _:
                await self._strike_with_cut(fault)

    async def _strike_with_cut(self, fault: Fault) -> None:
        core = self._fleet.specs[self._core(fault)]
        match fault.kind:
            case "cut-core":
                await self._cut([core], fault.seconds)
            case "cut-zone":
                await self._cut_zone(core.zone, fault.seconds)
            case "cut-nodes":
                names = self._some(fault, 0.4, without_cores=True)
                await self._cut([self._fleet.specs[name] for name in names], fault.seconds)
            case "cut-after-replacement" if self._may_lose_disk(core.name):
                replacement = asyncio.create_task(self.replace_core(core))
                await asyncio.sleep(self._random.uniform(*LOSS_TO_CUT_S))
                await self._cut_zone(core.zone, fault.seconds)
                await replacement
            case "replace-inside-cut" if self._may_lose_disk(core.name):
                cut = asyncio.create_task(self._cut_zone(core.zone, fault.seconds))
                await asyncio.sleep(self._random.uniform(*LOSS_TO_CUT_S))
                if core.name in self._fleet.specs:
                    await self.replace_core(core)
                await cut

    async def _cut_zone(self, zone: str, seconds: float) -> None:
        inside = [spec for spec in self._fleet.specs.values() if spec.zone == zone]
        await self._cut(inside, seconds, zone)

    async def _cut(self, machines: list[MachineSpec], seconds: float, zone: str = "") -> None:
        """Cut machines off from all others for a while."""
        assert self._fleet.cuts is not None
        cut = self._fleet.cuts.begin(machines, zone)
        await asyncio.sleep(seconds)
        self._fleet.cuts.end(cut)

    def _core(self, fault: Fault) -> str:
        cores = [spec.name for spec in self._fleet.cores()]
        return cores[int(fault.strength * len(cores))]

    def _some(self, fault: Fault, share: float, *, without_cores: bool = False) -> list[str]:
        names = [
            spec.name
            for spec in self._fleet.specs.values()
            if not (without_cores and spec.has_disk)
        ]
        count = max(1, round(fault.strength * share * len(names)))
        return self._random.sample(names, min(count, len(names)))

    def _most_nodes(self, fault: Fault) -> list[str]:
        """Return more than half of the machines without a disk, up to all of them."""
        names = [spec.name for spec in self._fleet.specs.values() if not spec.has_disk]
        count = round((0.5 + fault.strength / 2) * len(names))
        return self._random.sample(names, count)

    async def _lose_nodes(self, names: list[str]) -> None:
        """Remove machines without a disk for good, and add new ones at other addresses."""
        lost = [self._fleet.specs[name] for name in names]
        for spec in lost:
            self._fleet.remove(spec.name)
        await asyncio.sleep(self._random.uniform(*REPLACEMENT_S))
        for old in lost:
            spec = self._new_machine(old)
            self._fleet.add(spec)
            self._on_added(spec)

    async def _freeze(self, names: list[str], seconds: float) -> None:
        names = [name for name in names if name not in self._frozen and name in self._fleet.specs]
        self._frozen.update(names)
        for name in names:
            self._fleet.freeze(name)
        await asyncio.sleep(seconds)
        for name in names:
            self._frozen.discard(name)
            if name in self._fleet.specs:
                self._fleet.thaw(name)

    async def _roll(self, names: list[str], gap_s: float) -> None:
        for name in names:
            if name in self._fleet.specs:
                self._fleet.terminate(name)
            await asyncio.sleep(gap_s)

    async def _hang_up(self, names: list[str], gap_s: float) -> None:
        self._fleet.write_all_settings()
        for name in names:
            if name in self._fleet.specs:
                self._fleet.signal_hangup(name)
            await asyncio.sleep(gap_s)

    async def _hang_up_after_start(self, fault: Fault) -> None:
        """Kill a machine and send signals in series while it starts again."""
        name = self._core(fault)
        self._fleet.kill(name)
        for _ in range(12):
            await asyncio.sleep(0.15)
            if name in self._fleet.specs:
                self._fleet.signal_hangup(name)

    async def _turn_seeds(self, fault: Fault) -> None:
        cores = [f"{spec.ip}:8146" for spec in self._fleet.cores()]
        self._random.shuffle(cores)
        self._fleet.seeds = cores[: 1 + int(fault.strength * len(cores))]
        await self._hang_up(self._fleet.names(), 0.02)

    def _may_lose_disk(self, name: str) -> bool:
        is_missing = len(self._fleet.cores()) < self._core_count
        return not is_missing and self._fleet.may_lose_disk(name, self._catch_up_s)

    async def replace_core(self, old: MachineSpec) -> None:
        """Remove a core machine for good and add an empty one at another address."""
        self._fleet.remove(old.name)
        await asyncio.sleep(self._random.uniform(0.5, 1.5))
        spec = self._new_machine(old)
        self._fleet.add(spec)
        self._fleet.seeds = [f"{each.ip}:8146" for each in self._fleet.cores()][-3:]
        self._on_added(spec)
        await self._hang_up(self._fleet.names(), 0.01)

    async def _wipe_core(self, fault: Fault) -> None:
        name = self._core(fault)
        if not self._may_lose_disk(name):
            return
        self._fleet.set_dark(name, dark=True)
        self._fleet.kill(name)
        self._fleet.empty_disk(name)
        await asyncio.sleep(0.2 + fault.strength)
        self._history.up(name, self._clock())
        self._fleet.set_dark(name, dark=False)

    async def _busy(self, seconds: float) -> None:
        """Keep a few processors busy for a while."""
        hogs = [
            subprocess.Popen([sys.executable, "-S", "-c", _HOG, str(seconds)]) for _ in range(6)
        ]
        await asyncio.sleep(seconds + 0.5)
        for hog in hogs:
            hog.wait()


_HOG = "import sys,time\nend=time.monotonic()+float(sys.argv[1])\nwhile time.monotonic()<end: pass"
