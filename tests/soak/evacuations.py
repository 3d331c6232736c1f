"""The operator who empties zones: takes an evacuation back, asks for it again, and then rests.

The series come while a core is disturbed, and most orders go to that core first. An attempt without
an answer in a second is sent again to another core; its connection stays open in some cases.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

from tests.soak.core_caller import CoreCaller, backoffs_s
from tests.soak.history import EvacuationRecord, History
from tests.soak.http_calls import CutError, KeptConnection, NotSentError
from tests.soak.layout import ZONES, MachineSpec, control_address
from tests.soak.settings_file import EVACUATION_S, OUTER_S

CALL_TIMEOUT_S = 1.0
GIVE_UP_S = 25.0
REST_S = (EVACUATION_S + 2.0, EVACUATION_S + OUTER_S + 2.0)
"""How long a zone stays evacuated: long enough to judge what reaches it."""
IN_SERVICE_S = (0.0, 0.8)
"""How long a zone is in service between two evacuations of one series."""
SERIES = (1, 3)
WAIT_FOR_DISTURBANCE_S = 4.0
DISTURBED_LATELY_S = 0.4
DISTURBED_CORE_SHARE = 0.75
LEFT_OPEN_SHARE = 0.25
"""Share of the attempts without an answer whose connection stays open."""
POLL_S = 0.02


class EvacuationOperator(CoreCaller):
    """Evacuates one zone after another."""

    def __init__(
        self,
        cores: Callable[[], Sequence[MachineSpec]],
        history: History,
        random_source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(cores, history, random_source, clock)
        self._connections: dict[str, KeptConnection] = {}
        self._left_open: list[KeptConnection] = []

    async def order_until(self, stop: asyncio.Event) -> None:
        """Empty zones until `stop`; the last one stays as it is then."""
        while not stop.is_set():
            zone = self._random.choice(ZONES)
            await self._wait_for_disturbance(stop)
            for _ in range(self._random.randint(*SERIES)):
                await self.order(zone, evacuated=True)
                await asyncio.sleep(self._random.uniform(*IN_SERVICE_S))
                await self._wait_for_disturbance(stop)
                await self.order(zone, evacuated=False)
                await asyncio.sleep(self._random.uniform(*IN_SERVICE_S))
            await self.order(zone, evacuated=True)
            await self._rest(stop)
            if not stop.is_set():
                await self.order(zone, evacuated=False)

    async def order(self, zone: str, *, evacuated: bool) -> EvacuationRecord:
        """Send one order, again and again, until it is acknowledged or given up."""
        record = EvacuationRecord(zone, evacuated, self._clock())
        self._history.evacuations.append(record)
        give_up_at = self._clock() + GIVE_UP_S
        core = self._first_core()
        pauses = backoffs_s()
        while self._clock() < give_up_at:
            status = await self._attempt(core, record)
            if 200 <= status < 300:
                record.acknowledged_at = self._clock()
                record.acknowledged_by = core.name
                return record
            if 400 <= status < 500:
                record.refused_with.append(status)
            core = self._choose_core(core.name)
            await asyncio.sleep(next(pauses))
        return record

    def close(self) -> None:
        """Close every connection."""
        for connection in [*self._connections.values(), *self._left_open]:
            connection.close()

    async def _attempt(self, core: MachineSpec, record: EvacuationRecord) -> int:
        """Return the status of one attempt, 0 without an answer."""
        address = control_address(core)
        connection = self._connections.setdefault(core.name, KeptConnection(address))
        method = "POST" if record.evacuated else "DELETE"
        stays_open = self._random.random() < LEFT_OPEN_SHARE
        sent_at = self._clock()
        status = 0
        try:
            await connection.open(CALL_TIMEOUT_S)
            path = f"/v1/evacuate/{record.zone}"
            answer = await connection.call(
                method, path, {"Host": address}, b"", CALL_TIMEOUT_S, closes_late=not stays_open
            )
            status = answer.status
        except NotSentError:
            pass
        except CutError as error:
            if error.timed_out and stays_open:
                self._left_open.append(connection)
            del self._connections[core.name]
        now = self._clock()
        record.attempts.append((core.name, sent_at, now, status))
        self._history.note(
            sent_at,
            "evacuation-attempt",
            method=method,
            zone=record.zone,
            core=core.name,
            status=status,
            ended=round(now, 3),
        )
        return status

    def _first_core(self) -> MachineSpec:
        if self._random.random() < DISTURBED_CORE_SHARE:
            return max(self._cores(), key=self._last_disturbance)
        return self._choose_core()

    def _last_disturbance(self, core: MachineSpec) -> float:
        return max(self._history.machine(core.name).disturbances, default=0.0)

    async def _wait_for_disturbance(self, stop: asyncio.Event) -> None:
        until = self._clock() + self._random.uniform(0.0, WAIT_FOR_DISTURBANCE_S)
        while self._clock() < until and not stop.is_set():
            last = max(map(self._last_disturbance, self._cores()), default=0.0)
            if self._clock() - last < DISTURBED_LATELY_S:
                return
            await asyncio.sleep(POLL_S)

    async def _rest(self, stop: asyncio.Event) -> None:
        until = self._clock() + self._random.uniform(*REST_S)
        while self._clock() < until and not stop.is_set():
            await asyncio.sleep(POLL_S)
