"""One run of the soak, from the first start to the checks of its history."""

from __future__ import annotations

import asyncio
import logging
import random
import shutil
import time
from collections.abc import Sequence
from pathlib import Path

import attrs

from tests.soak.callers import Callers
from tests.soak.checks import Staleness, check
from tests.soak.cuts import CutTable
from tests.soak.directed_plans import DIRECTED_PLANS, plan_length_s
from tests.soak.evacuations import EvacuationOperator
from tests.soak.event_loop import run_to_end
from tests.soak.faults import (
    CATCH_UP_S,
    CUT_WEIGHTS,
    FAULT_WEIGHTS,
    NODE_LOSS_WEIGHTS,
    Fault,
    FaultRunner,
    draw_plan,
)
from tests.soak.history import Answer, History
from tests.soak.in_touch import Problem
from tests.soak.layout import MachineSpec, Network, machines
from tests.soak.logs import count_events
from tests.soak.machines import Fleet
from tests.soak.operator import Operators
from tests.soak.servers import Servers

START_TIMEOUT_S = 40.0
READ_BACK_S = 8.0
"""How long the operator asks for the configuration after the final fault."""
AFTER_RECOVERY_S = 14.0
PROBE_GAP_S, LOOKUP_GAP_S, STREAM_GAP_S = 0.08, 0.2, 0.5
POLL_S = 0.02
RESTART_DELAY_S = (0.05, 0.6)
FINAL_FAULTS = ("kill-all", "wipe-and-kill-all", "replace-and-wipe", "kill-cores", "none")


@attrs.frozen
class RunOptions:
    """What one run plays."""

    seed: int
    seconds: float = 60.0
    machines: int = 11
    disks: int = 3
    fault_gap_s: float = 1.6
    change_gap_s: float = 0.25
    """Mean pause between two changes of the configuration."""
    load: float = 1.0
    """Factor on the callers' rates."""
    only: tuple[str, ...] = ()
    """Kinds of faults; all without any."""
    final_fault: str = ""
    """One of `FINAL_FAULTS`; drawn if empty."""
    catch_up_s: float = CATCH_UP_S
    hangs_up_early: bool = True
    keep: bool = False
    """Whether the logs stay, whatever the run shows."""
    cuts: bool = False
    """Whether machines are cut off from each other as well."""
    node_losses: bool = False
    """Whether most machines without a disk may be lost for good or frozen as well."""
    plan: str = ""
    """One of `DIRECTED_PLANS`, played in place of drawn faults."""


@attrs.define
class RunResult:
    """What one run showed."""

    options: RunOptions
    problems: list[Problem]
    staleness: Staleness
    counts: dict[str, int]
    folder: str


class SoakRun:
    """One run from the first start to the read-back."""

    def __init__(self, options: RunOptions, folder: Path) -> None:
        self.options = options
        self.history = History()
        self._folder = folder
        self._random = random.Random(options.seed)
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._network = Network()
        specs = machines(self._network, options.machines, options.disks)
        self._machine_count = len(specs)
        self._fleet = Fleet(
            specs,
            folder,
            self._network.list_address,
            self.history,
            time.monotonic,
            lambda: self._random.uniform(*RESTART_DELAY_S),
            hangs_up_early=options.hangs_up_early,
            cuts=self._make_cuts(),
        )
        self._servers = Servers(self._network, self.history, self._random, time.monotonic)
        self._operators = Operators(self._fleet.cores, self.history, self._random, time.monotonic)
        self._evacuations = EvacuationOperator(
            self._fleet.cores, self.history, self._random, time.monotonic
        )
        self._callers = Callers(
            lambda: self._operators.recent_routes, self.history, self._random, time.monotonic
        )

    def _make_cuts(self) -> CutTable | None:
        if not self.options.cuts:
            return None
        return CutTable(self._folder / "cuts", self.history, time.monotonic)

    async def play(self) -> None:
        """Play the run."""
        try:
            self._servers.listen()
            self._spawn(self._fleet.watch(self._stop))
            await asyncio.wait_for(self._operators.send_first_document(), START_TIMEOUT_S)
            self._fleet.forget_bootstrap()
            for spec in self._fleet.specs.values():
                self._begin_load(spec)
            await self._play_faults()
            await self._play_end()
        finally:
            self._stop.set()
            self._fleet.end_all()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            # Their exceptions refer to the connections that they had.
            self._tasks.clear()
            self._evacuations.close()
            self._servers.close()
            self._network.close()

    async def _play_faults(self) -> None:
        options = self.options
        seconds = plan_length_s(options.plan) if options.plan else options.seconds
        kinds = {
            kind: weight
            for kind, weight in self._weights().items()
            if not options.only or kind in options.only
        }
        plan: Sequence[Fault] = DIRECTED_PLANS.get(options.plan, ())
        if not options.plan:
            plan = draw_plan(self._random, options.seconds, options.fault_gap_s, kinds)
        self._spawn(self._operators.read_until(self._stop))
        changing = asyncio.Event()
        changes = [
            asyncio.create_task(self._operators.change_until(changing, self.options.change_gap_s)),
            asyncio.create_task(self._evacuations.order_until(changing)),
        ]
        self._runner = FaultRunner(
            self._fleet,
            self.history,
            self._random,
            time.monotonic,
            self._further_machine,
            self._begin_load,
            options.catch_up_s,
        )
        started_at = time.monotonic()
        self.history.note(started_at, "load-started", wall_clock=time.time())
        await self._runner.run([*plan, Fault(seconds, "none", 0.0, 0.0)], started_at)
        changing.set()
        await asyncio.gather(*changes)

    def _weights(self) -> dict[str, int]:
        weights = FAULT_WEIGHTS | CUT_WEIGHTS if self.options.cuts else FAULT_WEIGHTS
        return weights | NODE_LOSS_WEIGHTS if self.options.node_losses else weights

    async def _play_end(self) -> None:
        """Strike the final fault right after an acknowledgement, and read back."""
        kind = self.options.final_fault or self._random.choice(FINAL_FAULTS)
        if kind == "replace-and-wipe":
            await self._wait_until_disk_may_be_lost(self._fleet.cores()[0])
            await self._runner.replace_core(self._random.choice(self._fleet.cores()))
        lost = self._random.choice(self._fleet.cores()[:2]).name
        if "wipe" in kind:
            await self._wait_until_disk_may_be_lost(self._fleet.specs[lost])
        await self._operators.change_now()
        self.history.note(time.monotonic(), "final-fault", fault=kind)
        self._strike_final_fault(kind, lost)
        await asyncio.sleep(1.0)
        await self._wait_until_cores_listen()
        self.history.recovered_at = time.monotonic()
        await self._read_back()
        remaining_s = self.history.recovered_at + AFTER_RECOVERY_S - time.monotonic()
        await asyncio.sleep(max(0.0, remaining_s))

    async def _wait_until_disk_may_be_lost(self, spec: MachineSpec) -> None:
        while not self._fleet.may_lose_disk(spec.name, self.options.catch_up_s):
            await asyncio.sleep(POLL_S)

    def _strike_final_fault(self, kind: str, lost: str) -> None:
        if kind == "kill-cores":
            for core in self._fleet.cores():
                self._fleet.kill(core.name, ("core",))
        if "all" in kind or "wipe" in kind:
            for name in self._fleet.names():
                self._fleet.kill(name)
        if "wipe" in kind:
            self._fleet.empty_disk(lost)

    async def _wait_until_cores_listen(self) -> None:
        until = time.monotonic() + READ_BACK_S
        while time.monotonic() < until:
            for core in self._fleet.cores():
                if await self._operators.read_once(core) is not None:
                    return
            await asyncio.sleep(0.1)

    async def _read_back(self) -> None:
        until = time.monotonic() + READ_BACK_S
        while time.monotonic() < until:
            for core in self._fleet.cores():
                read = await self._operators.read_once(core, at_end=True)
                if read is not None:
                    self.history.final_read_number = max(
                        read.number, self.history.final_read_number or 0
                    )
            await asyncio.sleep(0.1)

    def _further_machine(self, old: MachineSpec) -> MachineSpec:
        number, self._machine_count = self._machine_count, self._machine_count + 1
        return self._network.machine(number, old.zone, has_disk=old.has_disk)

    def _begin_load(self, spec: MachineSpec) -> None:
        rate = max(0.01, self.options.load)
        self._spawn(self._callers.poll_readiness(spec, self._stop))
        self._spawn(self._callers.look_up(spec, self._stop, LOOKUP_GAP_S / rate))
        self._spawn(self._callers.probe(spec, self._stop, PROBE_GAP_S / rate))
        self._spawn(self._callers.stream(spec, self._stop, STREAM_GAP_S / rate))

    def _spawn(self, coroutine: object) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))  # type: ignore[arg-type]


def play_one(options: RunOptions, folder: Path) -> RunResult:
    """Play one run; its folder stays if a rule broke."""
    logging.disable(logging.CRITICAL)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)

    async def play() -> SoakRun:
        run = SoakRun(options, folder)
        await run.play()
        return run

    run = run_to_end(play())
    history = run.history
    verdict = check(history)
    events, defects = count_events(folder)
    verdict.problems.extend(Problem(rule, 0.0, text) for rule, text in defects)
    for problem in verdict.problems:
        history.note(problem.at, "problem", rule=problem.rule, text=problem.text)
    history.write(folder / "history.jsonl")
    counts = {
        "changes": sum(bool(change.acknowledged_at) for change in history.changes),
        "reads": len(history.reads),
        "evacuations": sum(order.acknowledged_at is not None for order in history.evacuations),
        "evacuations-given-up": sum(order.acknowledged_at is None for order in history.evacuations),
        "requests": len(history.requests),
        "ran": sum(request.answer is Answer.RAN for request in history.requests),
        "own-ends": sum(not end.by_rig for end in history.ends),
        "ends": len(history.ends),
        **events,
    }
    if not verdict.problems and not options.keep:
        shutil.rmtree(folder, ignore_errors=True)
    return RunResult(options, verdict.problems, verdict.staleness, counts, str(folder))
