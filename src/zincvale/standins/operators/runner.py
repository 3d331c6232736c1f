"""Runs the operators: sends scripted changes to the cores and journals every response."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from zincvale.standins.journal import JournalWriter
from zincvale.standins.operators.core_client import CoreClient, CoreResponse
from zincvale.standins.operators.retry import (
    NO_RESPONSE,
    OK_STATUS,
    RESEND_DELAY_S,
    UNAVAILABLE_STATUS,
    OrderRetry,
    Verdict,
)
from zincvale.standins.operators.script import Base, OperatorScript, Order, orders
from zincvale.standins.settings import OperatorsSettings


class Operators:
    """All operators of one run.

    Parameters
    ----------
    settings : addresses of the cores, and the seed.
    script : the changes to send.
    client : sends requests to the cores.
    journal : records what was sent and received.
    clock : seconds on `CLOCK_BOOTTIME`.
    sleep : waits for the given number of seconds.
    """

    def __init__(
        self,
        settings: OperatorsSettings,
        script: OperatorScript,
        client: CoreClient,
        journal: JournalWriter,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._settings = settings
        self._script = script
        self._journal = journal
        self._clock = clock
        self._random = random.Random(f"{settings.seed}/operators")
        self._client = client
        self._sleep = sleep
        self._race_bases: dict[str, asyncio.Future[int | None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._verdicts: Counter[str] = Counter()
        self._changed_responses = 0
        self._version_by_core: dict[str, int] = {}
        self._version_regressions = 0

    async def run(self, stop: asyncio.Event) -> None:
        """Send every order when it is due; return when all have a final result or `stop` is set."""
        observe_task = asyncio.ensure_future(self._observe_versions())
        started_at = self._clock()
        for order in orders(self._script, self._settings.seed):
            await _sleep_until_stopped(stop, started_at + order.at_s - self._clock())
            if stop.is_set():
                break
            task = asyncio.ensure_future(self.execute(order))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await self._drain(stop)
        observe_task.cancel()

    def summary(self) -> dict[str, Any]:
        """Return the number of orders by result, and the versions that the cores reported."""
        return {
            "verdicts": dict(self._verdicts),
            "changed_answers": self._changed_responses,
            "versions_lowered": self._version_regressions,
            "version_by_core": self._version_by_core,
        }

    async def _drain(self, stop: asyncio.Event) -> None:
        stop_task = asyncio.ensure_future(stop.wait())
        while self._tasks and not stop.is_set():
            await asyncio.wait([stop_task, *self._tasks], return_when=asyncio.FIRST_COMPLETED)
        stop_task.cancel()
        for task in self._tasks:
            task.cancel()

    async def execute(self, order: Order) -> None:
        """Send one order until its result is final, then resend it as the script requires."""
        base = await self._base_version(order)
        verdict, response = await self._send_until_final(order, base)
        if verdict is Verdict.CONFLICT and order.rebuild_on_conflict:
            self._verdicts["rebuilt"] += 1
            order = attrs.evolve(order, order_id=f"{order.order_id}-rebuilt", base=Base.CURRENT)
            base = await self._base_version(order)
            verdict, response = await self._send_until_final(order, base)
        self._verdicts[verdict.value] += 1
        for delay_s in order.resend_after_s:
            await self._sleep(delay_s)
            again = attrs.evolve(order, lost_acknowledgements=0)
            _, second = await self._send_until_final(again, base)
            self._compare(order, response, second)

    async def _send_until_final(
        self, order: Order, base: int | None
    ) -> tuple[Verdict, CoreResponse]:
        retry = OrderRetry(order.lost_acknowledgements, self._clock() + self._script.give_up_s)
        attempt = 0
        first_success: CoreResponse | None = None
        while True:
            attempt += 1
            response = await self._send(order, base, attempt)
            if first_success is not None:
                self._compare(order, first_success, response)
            elif response.status == OK_STATUS:
                first_success = response
            verdict = retry.after(response.status, self._clock())
            if verdict is not Verdict.RESEND:
                return verdict, response
            await self._sleep(RESEND_DELAY_S)

    async def _send(self, order: Order, base: int | None, attempt: int) -> CoreResponse:
        core = self._core_for(order, attempt)
        body = {"baseVersion": base, "mode": order.mode, "resources": order.resources}
        self._journal.write(
            "apply",
            order_id=order.order_id,
            name=order.name,
            race=order.race or None,
            base_version=base,
            change=body,
            core=core,
            attempt=attempt,
        )
        response = await self._client.apply(core, order.order_id, body)
        self._journal.write(
            "applied",
            order_id=order.order_id,
            name=order.name,
            core=core,
            attempt=attempt,
            status=response.status,
            version=response.body.get("version") if response.status == OK_STATUS else None,
            body=response.body,
            error=response.error,
        )
        return response

    def _core_for(self, order: Order, attempt: int) -> str:
        """Return the core for an attempt; contenders of a race start at different cores."""
        cores = self._settings.cores
        if order.race:
            return cores[(order.contender + attempt - 1) % len(cores)]
        return self._random.choice(cores)

    async def _base_version(self, order: Order) -> int | None:
        if order.base is Base.NONE:
            return None
        if order.race:
            return await self._shared_base(order.race)
        version = await self._current_version()
        if version is not None and order.base is Base.STALE:
            return version - 1
        return version

    async def _shared_base(self, race: str) -> int | None:
        """Return the version on which all contenders of a race build; it is read only once."""
        version_task = self._race_bases.get(race)
        if version_task is None:
            version_task = asyncio.ensure_future(self._current_version())
            self._race_bases[race] = version_task
        return await asyncio.shield(version_task)

    async def _current_version(self) -> int | None:
        """Return the highest version that any core reports; None when no core responds."""
        cores = self._settings.cores
        versions = await asyncio.gather(*(self._client.version(core) for core in cores))
        known = [version for version in versions if version is not None]
        return max(known) if known else None

    async def _observe_versions(self) -> None:
        """Journal the version of each core whenever it changes, and count the decreases."""
        while self._script.observe_interval_s > 0:
            for core in self._settings.cores:
                version = await self._client.version(core)
                previous = self._version_by_core.get(core)
                if version is None or version == previous:
                    continue
                self._version_by_core[core] = version
                lowered = previous is not None and version < previous
                self._version_regressions += int(lowered)
                self._journal.write("observed", core=core, version=version, lowered=lowered)
            await self._sleep(self._script.observe_interval_s)

    def _compare(self, order: Order, first: CoreResponse, second: CoreResponse) -> None:
        """Count and journal a resend whose response differs from the first one."""
        if first.status != OK_STATUS:
            return
        same_version = first.body.get("version") == second.body.get("version")
        if second.status == OK_STATUS and same_version:
            return
        if second.status in (NO_RESPONSE, UNAVAILABLE_STATUS):
            return
        self._changed_responses += 1
        self._journal.write("answer-changed", order_id=order.order_id, status=second.status)


async def _sleep_until_stopped(stop: asyncio.Event, seconds: float) -> None:
    if seconds <= 0:
        return
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait([stop_task], timeout=seconds)
    stop_task.cancel()
