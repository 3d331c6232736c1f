"""One crowd against one process of a small fleet, with ordinary callers beside it."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter
from pathlib import Path

import attrs

from tests.crowds.usage import BYTES_PER_MB, Usage, UsageMonitor
from tests.soak.documents import BASE_ROUTES, HOST
from tests.soak.history import History
from tests.soak.http_calls import CutError, HttpAnswer, NotSentError, call_once
from tests.soak.layout import (
    CONTROL_PORT,
    FRONT_PORT,
    INTERNAL_PORTS,
    READY_PORT,
    Network,
    machines,
)
from tests.soak.machines import REPOSITORY, Fleet, RoleProcess
from tests.soak.operator import Operators
from tests.soak.servers import Servers
from tests.soak.settings_file import ProcessLimits

LIMITS = ProcessLimits(memory_mb=160, file_descriptors=500)
RESERVED_DESCRIPTORS = 200
"""How many descriptors are for files outside the disk folder, and so not for connections."""
MACHINES, DISKS = 3, 3
CROWD_S = 6.0
STOP_AFTER_S = 2.0
START_TIMEOUT_S = 60.0
ORDINARY_TIMEOUT_S = 5.0
ORDINARY_GAP_S = 0.2
ANSWERED_WITHIN_S = 60.0
"""When an ordinary request counts as never answered."""
ORDINARY_BODY = b"o" * 20_000
NODE_PORT, CORE_PORT = INTERNAL_PORTS[0], INTERNAL_PORTS[0] + 1
PORTS = {
    "node": (FRONT_PORT, READY_PORT, NODE_PORT),
    "core": (CONTROL_PORT, CORE_PORT),
}
"""Where the process of each role listens."""


@attrs.define
class CrowdResult:
    """What one run showed of the process that the crowd met.

    Attributes
    ----------
    has_ended : whether the process ended or was started again.
    is_answered : whether each kind of ordinary call was answered while the crowd was connected.
    beside : how ordinary requests ended while the crowd was sending; for the record only.
    """

    usage: Usage
    has_ended: bool
    is_answered: dict[str, bool]
    beside: Counter[str]
    outcomes: dict[str, int]

    def problems(self) -> list[str]:
        """Return each bound that was missed; the bounds are those of the settings."""
        problems = [
            f"no {call} was answered" for call, is_met in self.is_answered.items() if not is_met
        ]
        if self.has_ended:
            problems.append("the process ended")
        most_bytes = max(self.usage.resident_bytes, self.usage.resident_and_unread_bytes)
        if most_bytes > LIMITS.memory_mb * BYTES_PER_MB:
            problems.append(f"memory over {LIMITS.memory_mb} MB: {self.usage.in_words()}")
        if self.usage.descriptors > LIMITS.file_descriptors - RESERVED_DESCRIPTORS:
            problems.append(f"too many descriptors: {self.usage.in_words()}")
        return problems


async def start_crowd(crowd: str, address: str, scale: float = 1.0) -> asyncio.subprocess.Process:
    """Start a process that plays a crowd until its input is closed."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.crowds.crowd_process",
        crowd,
        address,
        str(scale),
        cwd=REPOSITORY,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )


class CrowdRun:
    """A fleet with servers, and one crowd at one address of its first machine."""

    def __init__(self, folder: Path) -> None:
        self._network = Network()
        self.history = History()
        self._random = random.Random(50)
        self.specs = machines(self._network, MACHINES, DISKS)
        self.fleet = Fleet(
            self.specs,
            folder,
            self._network.list_address,
            self.history,
            time.monotonic,
            lambda: 0.1,
            limits=LIMITS,
        )
        self._servers = Servers(self._network, self.history, self._random, time.monotonic)
        self.operators = Operators(self.fleet.cores, self.history, self._random, time.monotonic)
        self._stop = asyncio.Event()
        self._watching: asyncio.Task[None] | None = None
        self._request_number = 0

    async def start(self) -> None:
        """Start the fleet, and wait until its first node answers an ordinary request."""
        await self.start_without_configuration()
        await self.configure()

    async def start_without_configuration(self) -> None:
        """Start the fleet, and wait until its first node listens."""
        self._servers.listen()
        self._watching = asyncio.create_task(self.fleet.watch(self._stop))
        until = time.monotonic() + START_TIMEOUT_S
        while await self._outcome(self.call_readiness) not in ("200", "503"):
            if time.monotonic() > until:
                raise TimeoutError("the node never listened")
            await asyncio.sleep(ORDINARY_GAP_S)

    async def configure(self) -> None:
        """Send the first configuration, and wait until an ordinary request is answered."""
        await asyncio.wait_for(self.operators.send_first_document(), START_TIMEOUT_S)
        if not await self.is_answered(self.call_ordinary):
            raise TimeoutError("the node never answered before there was a crowd")

    async def close(self) -> None:
        """End every process that this run started."""
        self._stop.set()
        if self._watching is not None:
            await self._watching
        self.fleet.end_all()
        self._servers.close()
        self._network.close()

    def process(self, role: str) -> RoleProcess:
        """Return the process of a role on the first machine."""
        processes = self.fleet.processes[self.specs[0].name]
        return next(process for process in processes if process.role == role)

    async def meet(
        self, crowd: str, role: str, port: int, *, is_configured: bool = True
    ) -> CrowdResult:
        """Play a crowd against `port` of the first machine.

        Unless `is_configured`, the first configuration is sent after the crowd.
        """
        process = self.process(role)
        assert process.popen is not None
        popen = process.popen
        monitor = UsageMonitor(popen.pid, self.specs[0].ip, PORTS[role])
        sender = await start_crowd(crowd, f"{self.specs[0].ip}:{port}")
        beside = await self._call_beside()
        if not is_configured:
            await self.configure()
        is_answered = {
            "request": await self.is_answered(self.call_ordinary),
            "probe": await self.is_answered(self.call_readiness),
            "operator's read": await self.is_answered(self.call_control),
        }
        output, _ = await sender.communicate(b"")
        usage = monitor.stop()
        has_ended = popen.poll() is not None or process.popen is not popen
        return CrowdResult(usage, has_ended, is_answered, beside, json.loads(output or b"{}"))

    async def is_answered(self, call: object) -> bool:
        """Whether a call gets a success sooner or later."""
        until = time.monotonic() + ANSWERED_WITHIN_S
        while time.monotonic() < until:
            if await self._outcome(call) == "200":
                return True
            await asyncio.sleep(ORDINARY_GAP_S)
        return False

    async def call_ordinary(self) -> HttpAnswer:
        """Send an ordinary request to the first machine."""
        self._request_number += 1
        headers = {
            "Host": HOST,
            "Request-Id": f"ordinary-{self._request_number}",
            "Deadline-Ms": str(int(ORDINARY_TIMEOUT_S * 1000)),
        }
        return await self._call(
            FRONT_PORT, "POST", f"/{BASE_ROUTES[1]}/ordinary", headers, ORDINARY_BODY
        )

    async def call_readiness(self) -> HttpAnswer:
        """Probe the first machine as the platform does."""
        return await self._call(READY_PORT, "GET", "/v1/ready", {"Host": HOST}, b"")

    async def call_control(self) -> HttpAnswer:
        """Read the configuration at the first machine."""
        return await self._call(CONTROL_PORT, "GET", "/v1/configuration", {"Host": HOST}, b"")

    async def _call(
        self, port: int, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> HttpAnswer:
        address = f"{self.specs[0].ip}:{port}"
        return await call_once(address, method, path, headers, body, ORDINARY_TIMEOUT_S)

    async def stop_beside(self, crowd: str, role: str, port: int) -> int:
        """Ask a process to stop while a crowd is connected; return its exit status."""
        popen = self.process(role).popen
        assert popen is not None
        sender = await start_crowd(crowd, f"{self.specs[0].ip}:{port}")
        await asyncio.sleep(STOP_AFTER_S)
        self.fleet.terminate(self.specs[0].name)
        while popen.poll() is None:
            await asyncio.sleep(ORDINARY_GAP_S)
        await sender.communicate(b"")
        return popen.returncode

    async def send_raw(self, port: int, request: bytes) -> int:
        """Send the bytes of one request on a connection of its own; return the status, or 0."""
        reader, writer = await asyncio.open_connection(self.specs[0].ip, port)
        try:
            writer.write(request)
            line = await asyncio.wait_for(reader.readline(), ANSWERED_WITHIN_S)
            return int(line.split()[1]) if line else 0
        except ConnectionError:
            return 0
        finally:
            writer.close()

    async def _call_beside(self) -> Counter[str]:
        beside: Counter[str] = Counter()
        until = time.monotonic() + CROWD_S
        while time.monotonic() < until:
            beside[await self._outcome(self.call_ordinary)] += 1
            await asyncio.sleep(ORDINARY_GAP_S)
        return beside

    async def _outcome(self, call: object) -> str:
        try:
            answer = await call()  # type: ignore[operator]
        except (NotSentError, CutError) as error:
            return type(error).__name__
        return str(answer.status)
