"""One run of a fleet: start everything, drive load, apply faults, end everything, check."""

from __future__ import annotations

import asyncio
import signal
import uuid
from pathlib import Path
from typing import Any

import attrs

from zincvale.fleet.callers_processes import CallersProcesses
from zincvale.fleet.clients import RigClient
from zincvale.fleet.fault_context import FaultContext
from zincvale.fleet.injector import Injector
from zincvale.fleet.invariant_checker import InvariantReport, check_journals
from zincvale.fleet.link_plan import needed_pairs, plan_links
from zincvale.fleet.machines import Fleet
from zincvale.fleet.network_state import NetworkState
from zincvale.fleet.observer import Observer
from zincvale.fleet.operators import Operators
from zincvale.fleet.processes import ProcessTable, UnexpectedEnd, Usage
from zincvale.fleet.progress import OutcomeTail, Progress
from zincvale.fleet.relay_control import RelayControl
from zincvale.fleet.rig_journal import RigJournal, boot_time_s
from zincvale.fleet.run_folder import RunFolder
from zincvale.fleet.run_inputs import RunInputs
from zincvale.fleet.startup import Startup
from zincvale.fleet.timeline import Timeline

MAX_OPEN_REQUESTS_S = 30.0
STAND_INS_OUTLIVE_S = 180.0
TICK_S = 1.0


@attrs.define
class RunOutcome:
    """What a run left behind."""

    inputs: RunInputs
    invariants: InvariantReport
    unexpected_ends: list[UnexpectedEnd]
    residue: list[str]
    caller_figures: list[Any]
    usage: dict[str, Usage]

    @property
    def passed(self) -> bool:
        """Whether every invariant held, and no process ended by itself or was left behind."""
        broken = any(check.breaches for check in self.invariants.checks)
        return not (broken or self.unexpected_ends or self.residue)


async def run_fleet(inputs: RunInputs, root: Path, progress: Progress) -> RunOutcome:
    """Run a fleet in the folder `root`; whatever happens, its processes are ended."""
    folder = RunFolder(root)
    folder.create()
    table = ProcessTable(f"fleet-{uuid.uuid4().hex}", folder.logs)
    run = _Run(inputs, folder, table, progress)
    _end_on_signals()
    try:
        await run.start()
        await run.drive()
        await run.finish_open_requests()
    finally:
        progress.say("ending all processes")
        try:
            await run.close()
        finally:
            table.end_all()
    return run.check_invariants()


class _Run:
    def __init__(
        self, inputs: RunInputs, folder: RunFolder, table: ProcessTable, progress: Progress
    ) -> None:
        deployment = inputs.deployment
        self.inputs = inputs
        self.folder = folder
        self.table = table
        self.progress = progress
        self.unexpected: list[UnexpectedEnd] = []
        self.load_started_t = 0.0
        self.usage: dict[str, Usage] = {}
        self.client = RigClient()
        self.journal = RigJournal(folder.journals)
        self.fleet = Fleet(
            deployment=deployment,
            documents=inputs.documents,
            folder=folder,
            table=table,
            links=plan_links(deployment, needed_pairs(inputs.steps)),
            seed=inputs.options.seed,
            max_seconds=inputs.options.seconds + STAND_INS_OUTLIVE_S,
        )
        cores = {core.name: deployment.api_address(core) for core in deployment.cores()}
        self.operators = Operators(self.client, cores, folder.journals, deployment.name)
        self.operators.marker_pool = deployment.servers[-1].pool
        self.observer = Observer(self.fleet, self.operators, self.client, self.journal)
        self.startup = Startup(self.fleet, self.client)
        self.relays = RelayControl(self.client, [], self.fleet.links)
        self.callers = CallersProcesses(inputs, folder, self.fleet)
        self._polling: asyncio.Future[list[None]] | None = None

    async def start(self) -> None:
        """Start every process and wait until callers can come."""
        deployment = self.inputs.deployment
        say = self.progress.say
        say(
            f"starting {deployment.name} on {deployment.network}.*: "
            f"{len(deployment.machines)} machines, {len(deployment.servers)} servers, "
            f"{len(self.fleet.links)} relayed links"
        )
        controls = self.fleet.start_relays()
        self.fleet.start_stand_ins()
        self.fleet.start_daemons(bootstrap=True)
        self.relays.addresses = controls
        await self.startup.wait_for_relays(controls)
        await self.startup.wait_for_stand_ins()
        await self.startup.wait_for_cores()
        say("cores serve; applying the first intent")
        await self.startup.apply_first_intent(self.operators, self.inputs.documents)
        await self.operators.apply_marker()
        await self.startup.wait_for_nodes()
        say(f"intent version {self.operators.newest_version} is in force; all nodes are ready")

    async def drive(self) -> None:
        """Let callers come for the requested time, with the faults at their moments."""
        options = self.inputs.options
        self.callers.start()
        self.load_started_t = boot_time_s()
        self.journal.write("load-start", seconds=options.seconds, seed=options.seed)
        self._polling = asyncio.gather(*self.observer.start())
        injector = Injector(
            FaultContext(
                fleet=self.fleet,
                network=NetworkState(self.fleet.links),
                relays=self.relays,
                operators=self.operators,
                client=self.client,
                journal=self.journal,
            )
        )
        timeline = Timeline(self.inputs.steps, injector.perform, self.progress.say)
        tail = OutcomeTail(self.folder.journals)
        next_tick_s = TICK_S
        while (elapsed_s := boot_time_s() - self.load_started_t) < options.seconds:
            timeline.advance(elapsed_s)
            self._record_unexpected_ends()
            if elapsed_s >= next_tick_s:
                next_tick_s += TICK_S
                self._tick(elapsed_s, tail)
            await asyncio.sleep(0.02)
        await timeline.finish()
        self._tick(options.seconds, tail)

    async def finish_open_requests(self) -> None:
        """Let callers finish what they began, then look at the fleet once more."""
        self.progress.say("no new requests; waiting for open ones")
        deadline = boot_time_s() + MAX_OPEN_REQUESTS_S
        while boot_time_s() < deadline and self.callers.running():
            self._record_unexpected_ends()
            await asyncio.sleep(0.1)
        self.observer.stop()
        if self._polling is not None:
            await self._polling
            self._polling = None
        await self.observer.read_complete_intents()
        self.journal.write("run-end")
        self.usage = self.table.usage()
        self._record_unexpected_ends()

    async def close(self) -> None:
        """Close the rig's files; its connections end with the process, as some may be in use."""
        if self._polling is not None:
            self._polling.cancel()
            await asyncio.gather(self._polling, return_exceptions=True)
        self.journal.close()
        self.operators.close()

    def check_invariants(self) -> RunOutcome:
        """Check the journals; call it once every process has ended."""
        invariants = check_journals(
            self.folder.journals, self.inputs.deployment, self.inputs.documents
        )
        return RunOutcome(
            inputs=self.inputs,
            invariants=invariants,
            unexpected_ends=self.unexpected,
            residue=self.table.residue(),
            caller_figures=self.callers.figures(),
            usage=self.usage,
        )

    def _record_unexpected_ends(self) -> None:
        for ended in self.table.unexpected_ends():
            self.unexpected.append(ended)
            self.journal.write("unexpected-end", process=ended.name, exit_code=ended.exit_code)
            self.progress.say(f"{ended.name} ended by itself with code {ended.exit_code}")

    def _tick(self, elapsed_s: float, tail: OutcomeTail) -> None:
        nodes = len(self.fleet.deployment.nodes())
        self.progress.tick(
            elapsed_s,
            self.inputs.options.seconds,
            tail.update(),
            f"{len(self.observer.ready_nodes)}/{nodes}",
            self.operators.newest_version,
        )


def _end_on_signals() -> None:
    """Ctrl-C and SIGTERM end the run by cancelling it, also where SIGINT was ignored before."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
