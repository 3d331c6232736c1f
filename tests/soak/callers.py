"""Callers of the nodes: lookups, streams, and probes of routes that were changed lately.

Each caller keeps its connection for as long as the node keeps it, also while the node is stopping.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable

from tests.soak.documents import BASE_ROUTES, HOST, MOVING_ROUTE, STREAM_ROUTE
from tests.soak.history import Answer, History, RequestRecord
from tests.soak.http_calls import CutError, HttpAnswer, KeptConnection, NotSentError, call_once
from tests.soak.layout import FRONT_PORT, READY_PORT, MachineSpec

REFUSALS = frozenset({408, 421, 429, 503})
LOOKUP_DEADLINE_S, STREAM_DEADLINE_S = 4.0, 15.0
CONNECT_TIMEOUT_S = 1.0
READY_INTERVAL_S, READY_TIMEOUT_S = 1.0, 0.5
MISSES_UNTIL_OUT = 2
RECONNECT_DELAY_S = 0.08
UNKNOWN_ROUTE = "never-existed"


class Callers:
    """All callers of a run.

    Parameters
    ----------
    recent_routes : returns the routes that were added or removed lately.
    clock : seconds on the monotonic clock.
    """

    def __init__(
        self,
        recent_routes: Callable[[], list[str]],
        history: History,
        random_source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._recent_routes = recent_routes
        self._history = history
        self._random = random_source
        self._clock = clock
        self._numbers = itertools.count(1)
        self.ready: dict[str, bool] = {}

    async def poll_readiness(self, machine: MachineSpec, stop: asyncio.Event) -> None:
        """Ask one node each second whether it is ready; two misses take it out."""
        address = f"{machine.ip}:{READY_PORT}"
        misses = MISSES_UNTIL_OUT
        while not stop.is_set():
            asked_at = self._clock()
            try:
                answer = await call_once(
                    address, "GET", "/v1/ready", {"Host": address}, b"", READY_TIMEOUT_S
                )
                is_ready = answer.status == 200
            except (NotSentError, CutError):
                is_ready = False
            misses = 0 if is_ready else misses + 1
            self.ready[machine.name] = misses < MISSES_UNTIL_OUT
            await asyncio.sleep(max(0.0, READY_INTERVAL_S - (self._clock() - asked_at)))

    async def look_up(self, machine: MachineSpec, stop: asyncio.Event, gap_s: float) -> None:
        """Send lookups over one connection after another."""
        connection = self._connection(machine)
        while not stop.is_set():
            path = self._random.choice((*BASE_ROUTES, MOVING_ROUTE))
            await self._call(machine, connection, path, "lookup", LOOKUP_DEADLINE_S)
            await asyncio.sleep(gap_s * self._random.uniform(0.3, 1.7))

    async def stream(self, machine: MachineSpec, stop: asyncio.Event, gap_s: float) -> None:
        """Request streams over one connection after another."""
        connection = self._connection(machine)
        while not stop.is_set():
            await self._call(machine, connection, STREAM_ROUTE, "stream", STREAM_DEADLINE_S)
            await asyncio.sleep(gap_s * self._random.uniform(0.3, 1.7))

    async def probe(self, machine: MachineSpec, stop: asyncio.Event, gap_s: float) -> None:
        """Send requests on routes that were changed lately, or that never existed."""
        connection = self._connection(machine)
        while not stop.is_set():
            routes = self._recent_routes()[-4:]
            path = self._random.choice([*routes, *routes, MOVING_ROUTE, UNKNOWN_ROUTE])
            await self._call(machine, connection, path, "probe", LOOKUP_DEADLINE_S, is_direct=True)
            await asyncio.sleep(gap_s * self._random.uniform(0.3, 1.7))

    def _connection(self, machine: MachineSpec) -> KeptConnection:
        return KeptConnection(f"{machine.ip}:{FRONT_PORT}")

    async def _call(
        self,
        machine: MachineSpec,
        connection: KeptConnection,
        path: str,
        kind: str,
        deadline_s: float,
        *,
        is_direct: bool = False,
    ) -> None:
        """Make one call; a new connection is opened only to a ready node, unless `is_direct`."""
        if not connection.is_open:
            if not is_direct and not self.ready.get(machine.name, False):
                await asyncio.sleep(RECONNECT_DELAY_S)
                return
            try:
                await connection.open(CONNECT_TIMEOUT_S)
            except NotSentError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                return
        request_id = f"{next(self._numbers):016x}"
        record = RequestRecord(
            request_id,
            machine.name,
            len(self._history.machine(machine.name).starts.get("node", [])),
            path,
            kind,
            self._clock(),
        )
        self._history.requests.append(record)
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(int(deadline_s * 1000)),
        }
        try:
            answer = await connection.call("POST", f"/{path}/x", headers, b"{}", deadline_s + 2.0)
            self._read(record, answer)
        except NotSentError:
            record.answer = Answer.UNSENT
        except CutError as error:
            record.answer = Answer.TIMED_OUT if error.timed_out else Answer.CUT
        record.ended_at = self._clock()

    def _read(self, record: RequestRecord, answer: HttpAnswer) -> None:
        record.status = answer.status
        signature = answer.headers.get("server-signature", "")
        if answer.status == 200 and signature:
            record.answer = Answer.RAN
            record.service, _, signed_id = signature.partition(".")
            if signed_id != record.request_id:
                record.service = "answer-of-another-request"
        elif answer.status == 404:
            record.answer = Answer.NOT_FOUND
        elif answer.status in REFUSALS:
            record.answer = Answer.REFUSED
        else:
            record.answer = Answer.FAILED
