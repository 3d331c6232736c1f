"""State and dependencies that all requests of one node share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from zincvale.dataplane import log_events
from zincvale.dataplane.inference.dependencies import Claims, Spans, StreamJournal
from zincvale.dataplane.inference.events import Input, NoServer, Refusal, ServerChosen
from zincvale.dataplane.inference.requests import CallerRequest
from zincvale.dataplane.inference.routing import PolicyReason
from zincvale.dataplane.inference.routing_state import RoutingState, ServerState
from zincvale.dataplane.inference.scheduler import Scheduler
from zincvale.dataplane.inference.verdicts import Placed, Queued, Rejected, Verdict
from zincvale.dataplane.metrics import Metrics
from zincvale.dataplane.resilience.exchange_evidence import ExchangeReport, HealthChange
from zincvale.model.resources import RouteSpec
from zincvale.transport.curl_client import CurlClient

QUEUE_CHECK_INTERVAL_S = 0.02
"""Interval between checks of the queues while requests wait: rate limits refill, deadlines pass."""

LogFunction = Callable[..., None]


class VerdictReceiver:
    """Receives the scheduler's verdicts on one request."""

    def feed(self, event: Input) -> None:
        """Pass an input to the request machine."""
        raise NotImplementedError

    def on_policy_reasons(self, reasons: tuple[PolicyReason, ...]) -> None:
        """Record why the routing policies kept or excluded servers."""
        raise NotImplementedError

    def on_queued(self, verdict: Queued) -> None:
        """Record that the request is queued."""
        raise NotImplementedError

    def on_placed(self, server: ServerState, waited_s: float) -> None:
        """Record that a server's slot is reserved for the request."""
        raise NotImplementedError


@attrs.define(eq=False)
class NodeContext:
    """Tables, dependencies and the HTTP client, shared by the requests of one node."""

    routing_state: RoutingState
    scheduler: Scheduler
    client: CurlClient
    claims: Claims
    journal: StreamJournal
    spans: Spans
    metrics: Metrics
    clock: Callable[[], float]
    ready: Callable[[], bool]
    log: LogFunction
    on_urgent_demand: Callable[[], None] | None = None
    verdict_receivers: dict[int, VerdictReceiver] = attrs.field(factory=dict)
    _next_token: int = 0
    _is_queue_check_scheduled: bool = False
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def next_token(self) -> int:
        """Return a fresh token for a request."""
        self._next_token += 1
        return self._next_token

    def deliver(self, verdicts: list[Verdict]) -> None:
        """Pass each verdict to the receiver of its request."""
        for verdict in verdicts:
            receiver = self.verdict_receivers.get(verdict.token)
            if receiver is None:
                continue
            match verdict:
                case Placed(_, server, reasons, waited_s):
                    receiver.on_policy_reasons(reasons)
                    receiver.on_placed(server, waited_s)
                    receiver.feed(ServerChosen(server.row.server))
                case Queued(_, _, reasons):
                    receiver.on_policy_reasons(reasons)
                    receiver.on_queued(verdict)
                case Rejected(_, reason, retry_after_s, problem):
                    receiver.feed(NoServer(Refusal(reason, problem, retry_after_s=retry_after_s)))
        self.schedule_queue_check()
        if self.scheduler.demand.urgent and self.on_urgent_demand is not None:
            self.scheduler.demand.urgent = False
            self.on_urgent_demand()

    def place(
        self,
        request: CallerRequest,
        route: RouteSpec,
        token: int,
        excluded: frozenset[str],
    ) -> None:
        """Request a server from the scheduler; the verdicts are delivered to their receivers."""
        self.scheduler.may_place = self.ready()
        self.deliver(self.scheduler.place(request, route, token, self.clock(), excluded))

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task that no request waits for."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def finish_exchange(
        self, request: CallerRequest, server: ServerState, report: ExchangeReport
    ) -> None:
        """Free a server's slot and deliver the verdicts of queued requests that it unblocks."""
        self.scheduler.may_place = self.ready()
        change, verdicts = self.scheduler.finish_exchange(request, server, report)
        if change is HealthChange.EJECTED:
            self.metrics.record_ejection(server.row.server)
            self.log(log_events.SERVER_EJECTED, server=server.row.server)
        elif change is HealthChange.READMITTED:
            self.log(log_events.SERVER_READMITTED, server=server.row.server)
        if verdicts:
            self.deliver(verdicts)

    def process_queues(self) -> None:
        """Place or reject queued requests now, and deliver the verdicts."""
        self.scheduler.may_place = self.ready()
        self.deliver(self.scheduler.process_queues(self.clock()))

    def schedule_queue_check(self) -> None:
        """Schedule the next check of the queues if any request waits."""
        if self._is_queue_check_scheduled or not self.scheduler.any_waiting():
            return
        self._is_queue_check_scheduled = True
        asyncio.get_running_loop().call_later(QUEUE_CHECK_INTERVAL_S, self._on_queue_check_due)

    def _on_queue_check_due(self) -> None:
        self._is_queue_check_scheduled = False
        self.process_queues()
