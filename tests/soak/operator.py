"""Operators: changes in series and in pairs, resends, lost answers, invalid changes, and reads.

An operator sends one call to the cores of a list that lags, follows redirects, and goes on to
another core after a failure, a 5xx or a second without an answer, with the same bytes.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs
import orjson

from tests.soak.core_caller import CoreCaller, backoffs_s
from tests.soak.documents import (
    Document,
    DraftedChange,
    document_of,
    draft_change,
    first_document,
    invalid_bodies,
)
from tests.soak.history import ChangeRecord, History, ReadRecord
from tests.soak.http_calls import CutError, HttpAnswer, NotSentError, call_once
from tests.soak.layout import MachineSpec, control_address

PATH = "/v1/configuration"
CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
DEFINITE_REFUSALS = frozenset({400, 409, 412, 413, 422})
RACE_SHARE, LOST_ANSWER_SHARE, RESEND_SHARE, INVALID_SHARE = 0.25, 0.15, 0.3, 0.15
READ_INTERVAL_S = 0.15
READ_TIMEOUT_S = 5.0


@attrs.frozen
class CallResult:
    """A call without an answer has status 0."""

    status: int
    body: bytes = b""


class Operators(CoreCaller):
    """All operators of a run; `recent_routes` tells callers which routes to try."""

    def __init__(
        self,
        cores: Callable[[], Sequence[MachineSpec]],
        history: History,
        random_source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(cores, history, random_source, clock)
        self._change_count = 0
        self.current = Document(0, {})
        self.recent_routes: list[str] = []
        """Names of routes that were added, removed or moved lately, the newest last."""
        self.last_acknowledged: ChangeRecord | None = None

    # --- changes --------------------------------------------------------------------------

    async def send_first_document(self) -> None:
        """Send the first configuration until it is taken."""
        record = self._record(first_document(1), base=0)
        await self._send_until_clear(record, give_up_at=float("inf"))

    async def change_until(self, stop: asyncio.Event, gap_s: float) -> None:
        """Send changes one after another, sometimes two at once, until `stop`."""
        while not stop.is_set():
            await self._change_once()
            await asyncio.sleep(gap_s * self._random.uniform(0.3, 1.7))

    async def change_for(self, seconds: float, gap_s: float) -> None:
        """Send changes in quick succession for a while."""
        until = self._clock() + seconds
        while self._clock() < until:
            await self._change_once()
            await asyncio.sleep(gap_s)

    async def change_now(self) -> ChangeRecord | None:
        """Send one change until its answer is clear; return it if it was acknowledged."""
        record = self._draft("last")
        await self._send_until_clear(record, give_up_at=self._clock() + 20.0)
        return record if record.acknowledged_at else None

    async def _change_once(self) -> None:
        if self._random.random() < INVALID_SHARE:
            await self._send_invalid()
        if self._random.random() < RACE_SHARE:
            first, second = self._draft("x"), self._draft("y")
            while second.body == first.body:
                self._history.changes.remove(second)
                second = self._draft("y")
            first.rival, second.rival = second.name, first.name
            await asyncio.gather(self._send(first), self._send(second))
        else:
            await self._send(self._draft("s"))
        if self.last_acknowledged is not None and self._random.random() < RESEND_SHARE:
            await self._resend(self.last_acknowledged)

    async def _send(self, record: ChangeRecord) -> None:
        await self._send_until_clear(record, give_up_at=self._clock() + 25.0)
        if not record.acknowledged_at and not record.rival:
            await self._learn_current()

    def _draft(self, label: str) -> ChangeRecord:
        self._change_count += 1
        number = self.current.number + self._random.choice((1, 2, 3))
        name = f"{self._change_count}{label}"
        drafted = draft_change(self.current, number, name, self._random)
        self.recent_routes = [
            *self.recent_routes[-10:],
            *(route for route in (drafted.added, drafted.removed) if route),
        ]
        return self._record(drafted, base=self.current.number, name=name)

    def _record(self, drafted: DraftedChange, *, base: int, name: str = "first") -> ChangeRecord:
        record = ChangeRecord(
            name,
            drafted.document.number,
            base,
            drafted.body,
            drafted.is_patch,
            drafted.document,
            is_valid=True,
            first_sent_at=self._clock(),
        )
        self._history.changes.append(record)
        return record

    async def _send_until_clear(self, record: ChangeRecord, give_up_at: float) -> None:
        """Send one change until it is acknowledged or definitely refused."""
        pauses = backoffs_s()
        avoided = ""
        while self._clock() < give_up_at:
            core = self._choose_core(avoided)
            result = await self._call_change(core, record)
            if result.status == 200:
                record.acknowledged_at.append(self._clock())
                if self._random.random() < LOST_ANSWER_SHARE:
                    avoided = core.name
                    continue
                if record.number > self.current.number:
                    self.current = record.document
                    self.last_acknowledged = record
                return
            if result.status in DEFINITE_REFUSALS:
                record.refused_at.append((self._clock(), result.status))
                return
            avoided = core.name
            await asyncio.sleep(next(pauses))

    async def _resend(self, record: ChangeRecord) -> None:
        """Send an acknowledged change once more."""
        result = await self._call_change(self._choose_core(), record)
        now = self._clock()
        if result.status == 200:
            record.acknowledged_at.append(now)
        elif result.status in DEFINITE_REFUSALS:
            record.refused_at.append((now, result.status))

    async def _send_invalid(self) -> None:
        number = self.current.number + 1
        name, body, is_patch = self._random.choice(invalid_bodies(self.current, number))
        record = ChangeRecord(
            f"invalid-{name}",
            number,
            self.current.number,
            body,
            is_patch,
            self.current,
            is_valid=False,
            first_sent_at=self._clock(),
        )
        self._history.changes.append(record)
        result = await self._call_change(self._choose_core(), record)
        if result.status == 200:
            record.acknowledged_at.append(self._clock())

    async def _learn_current(self) -> None:
        """Read the configuration, because another change than known here may be in force."""
        result = await self.read_once(self._choose_core())
        if result is not None and result.number >= self.current.number:
            self.current = result.document

    # --- reads ----------------------------------------------------------------------------

    async def read_until(self, stop: asyncio.Event) -> None:
        """Read the configuration at random cores until `stop`."""
        while not stop.is_set():
            await self.read_once(self._choose_core())
            await asyncio.sleep(READ_INTERVAL_S)

    async def read_once(self, core: MachineSpec, *, at_end: bool = False) -> ReadRecord | None:
        """Read the configuration at one core; None without a success."""
        sent_at = self._clock()
        result = await self._call(core, "GET", {}, b"", READ_TIMEOUT_S)
        if result.status != 200:
            return None
        document = document_of(orjson.loads(result.body))
        record = ReadRecord(
            core.name, sent_at, self._clock(), document.number, document, at_end=at_end
        )
        self._history.reads.append(record)
        return record

    # --- calls ----------------------------------------------------------------------------

    async def _call_change(self, core: MachineSpec, record: ChangeRecord) -> CallResult:
        headers = {"If-Match": str(record.base), "Content-Type": "application/json"}
        method = "PATCH" if record.is_patch else "PUT"
        return await self._call(core, method, headers, record.body, CALL_TIMEOUT_S)

    async def _call(
        self,
        core: MachineSpec,
        method: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> CallResult:
        address, path = control_address(core), PATH
        for _ in range(MAX_REDIRECTS + 1):
            try:
                answer = await call_once(
                    address, method, path, {"Host": address, **headers}, body, timeout_s
                )
            except (NotSentError, CutError):
                return CallResult(0)
            if answer.status != 307:
                return CallResult(answer.status, answer.body)
            address, path = _location(answer)
        return CallResult(0)


def _location(answer: HttpAnswer) -> tuple[str, str]:
    rest = answer.headers["location"].removeprefix("http://")
    address, _, path = rest.partition("/")
    return address, f"/{path}"
