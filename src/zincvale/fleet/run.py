"""One fleet run: starts all processes, drives load and faults, ends all, checks the journals."""

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
from zincvale.fleet.progress import OutcomeCounter, Progress
from zincvale.fleet.relay_control import RelayControl
from zincvale.fleet.rig_journal import RigJournal, boot_time_s
from zincvale.fleet.run_folder import RunFolder
from zincvale.fleet.run_inputs import RunInputs
from zincvale.fleet.startup import Startup
from zincvale.fleet.timeline import Timeline

MAX_OPEN_REQUESTS_S = 30.0
STAND_IN_MARGIN_S = 180.0
TICK_S = 1.0


@attrs.define
class RunOutcome:
    """The result of a finished run."""

    inputs: RunInputs
    invariants: InvariantReport
    unexpected_ends: list[UnexpectedEnd]
    remaining_processes: list[str]
    caller_figures: list[Any]
    usage: dict[str, Usage]

    @property
    def passed(self) -> bool:
        """Whether all invariants held, no process ended unexpectedly, and none is still running."""
        broken = any(check.breaches for check in self.invariants.checks)
        return not (broken or self.unexpected_ends or self.remaining_processes)


async def run_fleet(inputs: RunInputs, root: Path, progress: Progress) -> RunOutcome:
    """Run a fleet in the folder `root`, and end all its processes even when the run fails."""
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
        progress.print_line("ending all processes")
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
            max_seconds=inputs.options.seconds + STAND_IN_MARGIN_S,
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
        """Start every process but the callers, apply the first intent, and wait for ready nodes."""
        deployment = self.inputs.deployment
        print_line = self.progress.print_line
        print_line(
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
        print_line("cores serve; applying the first intent")
        await self.startup.apply_first_intent(self.operators, self.inputs.documents)
        await self.operators.apply_marker()
        await self.startup.wait_for_nodes()
        print_line(
            f"intent version {self.operators.newest_version} is in force; all nodes are ready"
        )

    async def drive(self) -> None:
        """Run the callers for the requested time, and perform the steps of faults when due."""
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
        timeline = Timeline(self.inputs.steps, injector.perform, self.progress.print_line)
        outcome_counter = OutcomeCounter(self.folder.journals)
        next_tick_s = TICK_S
        while (elapsed_s := boot_time_s() - self.load_started_t) < options.seconds:
            timeline.advance(elapsed_s)
            self._record_unexpected_ends()
            if elapsed_s >= next_tick_s:
                next_tick_s += TICK_S
                self._print_status(elapsed_s, outcome_counter)
            await asyncio.sleep(0.02)
        await timeline.finish()
        self._print_status(options.seconds, outcome_counter)

    async def finish_open_requests(self) -> None:
        """Wait for the callers' open requests, then read the complete intent of every core."""
        self.progress.print_line("no new requests; waiting for open ones")
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
        """Close the rig's journals.

        The HTTP client stays open, as some connections may be in use; they end with the process.
        """
        if self._polling is not None:
            self._polling.cancel()
            await asyncio.gather(self._polling, return_exceptions=True)
        self.journal.close()
        self.operators.close()

    def check_invariants(self) -> RunOutcome:
        """Check the journals and return the result; every process must have ended."""
        invariants = check_journals(
            self.folder.journals, self.inputs.deployment, self.inputs.documents
        )
        return RunOutcome(
            inputs=self.inputs,
            invariants=invariants,
            unexpected_ends=self.unexpected,
            remaining_processes=self.table.remaining_processes(),
            caller_figures=self.callers.figures(),
            usage=self.usage,
        )

    def _record_unexpected_ends(self) -> None:
        for ended in self.table.unexpected_ends():
            self.unexpected.append(ended)
            self.journal.write("unexpected-end", process=ended.name, exit_code=ended.exit_code)
            self.progress.print_line(f"{ended.name} ended by itself with code {ended.exit_code}")

    def _print_status(self, elapsed_s: float, outcome_counter: OutcomeCounter) -> None:
        nodes = len(self.fleet.deployment.nodes())
        self.progress.print_status(
            elapsed_s,
            self.inputs.options.seconds,
            outcome_counter.update(),
            f"{len(self.observer.ready_nodes)}/{nodes}",
            self.operators.newest_version,
        )


def _end_on_signals() -> None:
    """Cancel the run on SIGINT and SIGTERM, even if SIGINT was ignored at the start."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
