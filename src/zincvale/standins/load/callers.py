"""Runs the callers: sends each request when it is due, whether or not earlier ones have ended."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import attrs
from tornado.httpclient import HTTPClientError

from zincvale.standins.journal import JournalWriter
from zincvale.standins.load.arrivals import Arrival, arrivals
from zincvale.standins.load.http_client import Attempt
from zincvale.standins.load.journal_rows import CallerJournal
from zincvale.standins.load.progress import NodePicker, RequestProgress
from zincvale.standins.load.request_plan import Plan, Planner
from zincvale.standins.load.response_check import ResponseCheck
from zincvale.standins.load.retry import (
    AttemptOutcome,
    AttemptResult,
    CallerRetry,
    RequestDone,
    Resend,
)
from zincvale.standins.load.spec import LoadSpec
from zincvale.standins.load.summary import Summary
from zincvale.standins.settings import CallersSettings

NODE_LIST_INTERVAL_S = 0.5
PLATFORM_TIMEOUT_S = 1.0
DRAIN_TIMEOUT_S = 60.0
"""Time after the last arrival in which open requests may still end; later ones count as
`unfinished` in the summary."""
RESPONSE_DISCARDED_ERROR = "whole, but lost on its last metres"


class Client(Protocol):
    """Sends requests to nodes; `CallerClient` implements it over HTTP."""

    async def attempt(
        self, plan: Plan, request_id: str, address: str, check: ResponseCheck, deadline_at: float
    ) -> Attempt:
        """Send a request once to the node at `address`, and return what happened."""
        ...

    async def get_json(self, address: str, path: str, timeout_s: float) -> Any:
        """Return the JSON document at a path of an address."""
        ...


class Callers:
    """All callers of one process.

    Parameters
    ----------
    settings : run length, seed and share of the arrivals.
    spec : the load to generate.
    planner : creates the requests.
    client : sends the requests.
    journal : records what was sent and received.
    clock : seconds on `CLOCK_BOOTTIME`.
    sleep : waits for the given number of seconds.
    """

    def __init__(
        self,
        settings: CallersSettings,
        spec: LoadSpec,
        planner: Planner,
        client: Client,
        journal: JournalWriter,
        clock: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._sleep = sleep
        self._settings = settings
        self._spec = spec
        self._planner = planner
        self._client = client
        self._journal = journal
        self._caller_journal = CallerJournal(journal, clock)
        self._clock = clock
        self.nodes = NodePicker(random.Random(f"{settings.seed}/nodes"))
        self._tasks: set[asyncio.Task[None]] = set()
        self.summary = Summary()

    async def run(self, stop: asyncio.Event) -> None:
        """Send every request when it is due; return at the end of the run or once `stop` is set."""
        node_list_task = asyncio.ensure_future(self._poll_node_list())
        try:
            await self._send_all(stop)
            await self._drain(stop)
        finally:
            node_list_task.cancel()
            for task in self._tasks:
                task.cancel()

    async def _send_all(self, stop: asyncio.Event) -> None:
        settings = self._settings
        started_at = self._clock()
        self._journal.write("load-start", seed=settings.seed, seconds=settings.seconds)
        schedule = arrivals(self._spec, settings.seconds, settings.seed, settings.rate_factor)
        for position, arrival in enumerate(schedule):
            if position % settings.share_count != settings.share_index:
                continue
            await _sleep_until_stopped(stop, started_at + arrival.at_s - self._clock())
            if stop.is_set():
                return
            self._start_conversation(arrival)
        self._journal.write("load-end", seed=settings.seed)

    async def _drain(self, stop: asyncio.Event) -> None:
        if not self._tasks or stop.is_set():
            return
        stop_task = asyncio.ensure_future(stop.wait())
        drain_task = asyncio.ensure_future(asyncio.wait(self._tasks))
        await asyncio.wait(
            [stop_task, drain_task], timeout=DRAIN_TIMEOUT_S, return_when=asyncio.FIRST_COMPLETED
        )
        stop_task.cancel()
        drain_task.cancel()

    def _start_conversation(self, arrival: Arrival) -> None:
        self._track_task(asyncio.ensure_future(self.run_conversation(arrival)))

    def _track_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run_conversation(self, arrival: Arrival) -> None:
        """Send the requests of one arrival, each after the complete response to the last one."""
        conversation = self._planner.conversation(arrival)
        history = ""
        for turn in range(len(conversation.prompts)):
            if turn:
                await self._sleep(conversation.caller.think_s)
            plan = self._planner.plan(conversation, turn, history)
            check = await self._request(plan)
            if check is None or not check.is_correct():
                return
            history = plan.prompt + check.text

    async def _request(self, plan: Plan) -> ResponseCheck | None:
        """Send one request until it is done; return its checked response, or None without one."""
        now = self._clock()
        deadline_at = now + plan.deadline_s
        progress = RequestProgress(
            plan=plan,
            check=ResponseCheck(plan.expected),
            retry=CallerRetry(plan.caller.max_attempts, deadline_at),
            started_at=now,
            deadline_at=deadline_at,
            request_id=plan.base_id,
        )
        self.summary.caller(plan.caller.name).record_request()
        while True:
            attempt = await self._attempt(progress)
            self._discard_response(progress, attempt)
            step = progress.retry.after(attempt.result, progress.check.chunks > 0, self._clock())
            # A result after a hang-up is not final: the end of the response is unknown.
            has_hung_up = attempt.result.outcome is AttemptOutcome.HUNG_UP
            self._record_attempt(
                progress, attempt, not has_hung_up and isinstance(step, RequestDone)
            )
            if not isinstance(step, Resend):
                return self._finish_request(progress, attempt)
            if step.new_id:
                progress.id_changes += 1
                progress.request_id = f"{plan.base_id}.{progress.id_changes}"
            await self._sleep(step.delay_s)

    async def _attempt(self, progress: RequestProgress) -> Attempt:
        progress.attempts += 1
        picked = self.nodes.pick(progress.last_node)
        if picked is None:
            attempt = Attempt(progress.request_id, "")
            attempt.result = AttemptResult(AttemptOutcome.NO_NODE)
            return attempt
        progress.last_node, address = picked
        self._caller_journal.write_sent(progress)
        if progress.plan.is_duplicated and progress.attempts == 1:
            self._track_task(asyncio.ensure_future(self._duplicate(progress)))
        attempt = await self._client.attempt(
            progress.plan, progress.request_id, address, progress.check, progress.deadline_at
        )
        attempt.node = progress.last_node
        progress.record_attempt(attempt)
        return attempt

    async def _duplicate(self, first: RequestProgress) -> None:
        """Send a duplicate of a request in progress to another node, and journal its result."""
        duplicate = attrs.evolve(first, check=ResponseCheck(first.plan.expected), attempts=0)
        duplicate.plan = attrs.evolve(first.plan, is_duplicated=False)
        attempt = await self._attempt(duplicate)
        self._record_attempt(duplicate, attempt, final=False)

    def _discard_response(self, progress: RequestProgress, attempt: Attempt) -> None:
        """Treat the first complete response as lost, if the plan says so, to provoke a retry."""
        is_answered = attempt.result.outcome is AttemptOutcome.ANSWERED
        if (
            not is_answered
            or progress.has_discarded_response
            or not progress.plan.discards_response
        ):
            return
        progress.has_discarded_response = True
        attempt.result = AttemptResult(AttemptOutcome.LOST)
        attempt.error = RESPONSE_DISCARDED_ERROR

    def _record_attempt(self, progress: RequestProgress, attempt: Attempt, final: bool) -> None:
        self.summary.caller(progress.plan.caller.name).record_attempt(attempt)
        self._caller_journal.write_result(progress, attempt, final)

    def _finish_request(self, progress: RequestProgress, attempt: Attempt) -> ResponseCheck | None:
        is_answered = attempt.result.outcome is AttemptOutcome.ANSWERED
        first_s = None
        if progress.first_at is not None:
            first_s = progress.first_at - progress.started_at
        self.summary.caller(progress.plan.caller.name).record_outcome(
            progress.plan,
            attempt.result.outcome.value,
            progress.check,
            first_s,
            self._clock() - progress.started_at,
        )
        return progress.check if is_answered else None

    async def _poll_node_list(self) -> None:
        while True:
            try:
                response: Any = await self._client.get_json(
                    self._settings.platform_address, "/v1/nodes", PLATFORM_TIMEOUT_S
                )
                self.nodes.replace([(row["node"], row["address"]) for row in response["nodes"]])
            except (HTTPClientError, OSError, KeyError, ValueError):
                # The platform does not respond: callers continue with the last list of nodes.
                pass
            await self._sleep(NODE_LIST_INTERVAL_S)


async def _sleep_until_stopped(stop: asyncio.Event, seconds: float) -> None:
    if seconds <= 0:
        await asyncio.sleep(0)
        return
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait([stop_task], timeout=seconds)
    stop_task.cancel()
