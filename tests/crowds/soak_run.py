"""One soak: crowds that overlap, signals, restarts and changes in series, and ordinary callers.

Ordinary callers use their connections until the process is gone. What is checked does not depend on
speed: no process ends by itself, each stays within its memory and descriptors, no request that was
refused with a promise has run, no answer belongs to another request, and when the crowds have left
each node answers an ordinary request.
"""

from __future__ import annotations

import asyncio
import logging
import random
import shutil
import time
from collections import Counter
from pathlib import Path

import attrs

from tests.crowds.crowd_run import PORTS, RESERVED_DESCRIPTORS, start_crowd
from tests.crowds.crowds import CROWDS
from tests.crowds.usage import BYTES_PER_MB, UsageMonitor
from tests.soak.callers import Callers
from tests.soak.documents import BASE_ROUTES, HOST
from tests.soak.event_loop import run_to_end
from tests.soak.history import Answer, History
from tests.soak.http_calls import CutError, NotSentError, call_once
from tests.soak.layout import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    MachineSpec,
    Network,
    machines,
)
from tests.soak.machines import Fleet
from tests.soak.operator import Operators
from tests.soak.servers import Servers
from tests.soak.settings_file import ProcessLimits

PEER_CROWD = "compressed-for-peers"
CROWD_LASTS_S = (1.0, 8.0)
MAX_CROWDS = 3
LISTENER_WEIGHTS = {FRONT_PORT: 6, READY_PORT: 1, CONTROL_PORT: 1}
FAULT_WEIGHTS = {"hangup": 4, "terminate": 3, "kill": 1, "freeze": 2}
FREEZE_S = (0.3, 3.0)
RESTART_DELAY_S = (0.1, 0.6)
LOOKUP_GAP_S, STREAM_GAP_S = 0.1, 0.4
POLL_S = 0.05
SAMPLE_INTERVAL_S = 0.1
START_TIMEOUT_S, ANSWERED_WITHIN_S, CALL_TIMEOUT_S = 60.0, 60.0, 5.0


@attrs.frozen
class SoakOptions:
    """What is played.

    Attributes
    ----------
    scale : factor on the number of connections of each crowd.
    crowd_gap_s, fault_gap_s, change_gap_s : mean time between two crowds, faults and changes.
    """

    seed: int
    seconds: float = 60.0
    machines: int = 3
    limits: ProcessLimits = ProcessLimits(memory_mb=160, file_descriptors=500)
    scale: float = 1.0
    crowd_gap_s: float = 2.0
    fault_gap_s: float = 4.0
    change_gap_s: float = 1.0


@attrs.frozen
class SoakResult:
    """What one soak showed."""

    options: SoakOptions
    problems: list[str]
    counts: dict[str, int]


class CrowdSoak:
    """One soak from the first start to the last ordinary request."""

    def __init__(self, options: SoakOptions, folder: Path) -> None:
        self._options = options
        self._random = random.Random(options.seed)
        self._network = Network()
        self._history = History()
        self._specs = machines(self._network, options.machines, min(3, options.machines))
        self._fleet = Fleet(
            self._specs,
            folder,
            self._network.list_address,
            self._history,
            time.monotonic,
            lambda: self._random.uniform(*RESTART_DELAY_S),
            hangs_up_early=False,
            limits=options.limits,
        )
        self._servers = Servers(self._network, self._history, self._random, time.monotonic)
        self._operators = Operators(self._fleet.cores, self._history, self._random, time.monotonic)
        self._callers = Callers(list, self._history, self._random, time.monotonic)
        self._monitors: dict[int, tuple[str, UsageMonitor]] = {}
        self._counts: Counter[str] = Counter()
        self._problems: list[str] = []
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._crowds: set[asyncio.Task[None]] = set()

    async def play(self) -> SoakResult:
        """Play the soak."""
        try:
            self._servers.listen()
            self._spawn(self._fleet.watch(self._stop))
            self._spawn(self._watch_usage())
            await asyncio.wait_for(self._operators.send_first_document(), START_TIMEOUT_S)
            self._fleet.forget_bootstrap()
            await self._play_load()
            await self._check_answers()
        finally:
            self._stop.set()
            for crowd in self._crowds:
                crowd.cancel()
            await asyncio.gather(*self._crowds, *self._tasks, return_exceptions=True)
            # Their exceptions refer to the connections that they had.
            self._crowds.clear()
            self._tasks.clear()
            self._fleet.end_all()
            self._servers.close()
            self._network.close()
        self._check_usage()
        self._check_history()
        return SoakResult(self._options, self._problems, dict(self._counts))

    async def _play_load(self) -> None:
        options = self._options
        for spec in self._specs:
            self._spawn(self._callers.poll_readiness(spec, self._stop))
            self._spawn(self._callers.look_up(spec, self._stop, LOOKUP_GAP_S))
            self._spawn(self._callers.stream(spec, self._stop, STREAM_GAP_S))
        ending = asyncio.Event()
        series = [
            asyncio.create_task(self._operators.change_until(ending, options.change_gap_s)),
            asyncio.create_task(self._repeat(self._begin_crowd, options.crowd_gap_s, ending)),
            asyncio.create_task(self._repeat(self._strike, options.fault_gap_s, ending)),
        ]
        await asyncio.sleep(options.seconds)
        ending.set()
        await asyncio.gather(*series)
        await asyncio.gather(*self._crowds)

    async def _repeat(self, action: object, gap_s: float, ending: asyncio.Event) -> None:
        while not ending.is_set():
            await action()  # type: ignore[operator]
            await asyncio.sleep(gap_s * self._random.uniform(0.3, 1.7))

    # --- crowds and faults ------------------------------------------------------------------

    async def _begin_crowd(self) -> None:
        """Start a crowd at one listener unless there are enough; it leaves after a while."""
        if len(self._crowds) >= MAX_CROWDS:
            return
        name = self._random.choice([*CROWDS])
        spec = self._random.choice(self._specs)
        ports, weights = [*LISTENER_WEIGHTS], [*LISTENER_WEIGHTS.values()]
        port = self._random.choices(ports, weights)[0]
        if name == PEER_CROWD:
            port = self._random.choice([PORTS[role][-1] for role in PORTS])
        lasts_s = self._random.uniform(*CROWD_LASTS_S)
        crowd = asyncio.create_task(self._play_crowd(name, f"{spec.ip}:{port}", lasts_s))
        self._crowds.add(crowd)
        crowd.add_done_callback(self._crowds.discard)

    async def _play_crowd(self, name: str, address: str, lasts_s: float) -> None:
        self._counts["crowds"] += 1
        sender = await start_crowd(name, address, self._options.scale)
        try:
            await asyncio.sleep(lasts_s)
            await sender.communicate(b"")
        finally:
            if sender.returncode is None:
                sender.kill()
                await sender.wait()

    async def _strike(self) -> None:
        """Disturb one machine; up to a second later perhaps another one."""
        name = self._random.choice(self._fleet.names())
        kind = self._random.choices([*FAULT_WEIGHTS], [*FAULT_WEIGHTS.values()])[0]
        self._counts[kind] += 1
        if kind == "hangup":
            self._fleet.write_all_settings()
            self._fleet.signal_hangup(name)
        elif kind == "terminate":
            self._fleet.terminate(name)
        elif kind == "kill":
            self._fleet.kill(name)
        else:
            self._fleet.freeze(name)
            await asyncio.sleep(self._random.uniform(*FREEZE_S))
            self._fleet.thaw(name)

    # --- checks -----------------------------------------------------------------------------

    async def _watch_usage(self) -> None:
        """Measure every process from its start on."""
        while not self._stop.is_set():
            for processes in self._fleet.processes.values():
                for process in processes:
                    popen = process.popen
                    if popen is not None and popen.pid not in self._monitors:
                        monitor = UsageMonitor(
                            popen.pid, process.machine.ip, PORTS[process.role], SAMPLE_INTERVAL_S
                        )
                        self._monitors[popen.pid] = (process.name, monitor)
            await asyncio.sleep(POLL_S)

    def _check_usage(self) -> None:
        limits = self._options.limits
        for name, monitor in self._monitors.values():
            usage = monitor.stop()
            most = max(usage.resident_bytes, usage.resident_and_unread_bytes)
            self._counts["most MB"] = max(self._counts["most MB"], most // BYTES_PER_MB)
            self._counts["most descriptors"] = max(
                self._counts["most descriptors"], usage.descriptors
            )
            if most > limits.memory_mb * BYTES_PER_MB:
                self._problems.append(f"memory: {name}: {usage.in_words()}")
            if usage.descriptors > limits.file_descriptors - RESERVED_DESCRIPTORS:
                self._problems.append(f"descriptors: {name}: {usage.in_words()}")

    def _check_history(self) -> None:
        history = self._history
        for end in history.ends:
            if not end.by_rig:
                text = f"own end: {end.role}-{end.machine} with {end.exit_code}"
                self._problems.append(text)
        ran = Counter(run.request_id for run in history.runs)
        for request in history.requests:
            self._counts[request.answer.value] += 1
            if request.answer is Answer.REFUSED and ran[request.request_id]:
                self._problems.append(f"refused but run: {request.request_id}")
            if request.answer is Answer.RAN and request.service == "answer-of-another-request":
                self._problems.append(f"answer of another request: {request.request_id}")
        changes = history.changes
        self._counts["changes"] = sum(bool(change.acknowledged_at) for change in changes)

    async def _check_answers(self) -> None:
        for spec in self._specs:
            if not await self._is_answered(spec):
                self._problems.append(f"no ordinary request was answered at {spec.name}")

    async def _is_answered(self, spec: MachineSpec) -> bool:
        until = time.monotonic() + ANSWERED_WITHIN_S
        headers = {"Host": HOST, "Request-Id": f"last-{spec.name}", "Deadline-Ms": "4000"}
        while time.monotonic() < until:
            try:
                answer = await call_once(
                    f"{spec.ip}:{FRONT_PORT}",
                    "POST",
                    f"/{BASE_ROUTES[0]}/last",
                    headers,
                    b"{}",
                    CALL_TIMEOUT_S,
                )
                if answer.status == 200:
                    return True
            except (NotSentError, CutError):
                pass
            await asyncio.sleep(POLL_S)
        return False

    def _spawn(self, coroutine: object) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))  # type: ignore[arg-type]


def play_soak(options: SoakOptions, folder: Path) -> SoakResult:
    """Play one soak; its folder stays if a check failed."""
    logging.disable(logging.CRITICAL)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)

    async def play() -> SoakResult:
        return await CrowdSoak(options, folder).play()

    result = run_to_end(play())
    if not result.problems:
        shutil.rmtree(folder, ignore_errors=True)
    return result
