"""Callers that race and resend through several nodes, and back ends that count what really ran."""

from __future__ import annotations

import itertools
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from zincvale.dataplane.claims.events import (
    ClaimRequested,
    Confirmed,
    Decided,
    OutcomeReached,
    ReleaseRequested,
    RenewalRequested,
)
from zincvale.dataplane.inference.dependencies import ClaimGranted, RecordedOutcome
from zincvale.model.identifiers import RequestId
from zincvale.model.machine import Log, Tick
from zincvale.model.outcomes import Outcome
from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.invariant_checker import InvariantChecker, InvariantViolationError
from zincvale.simulator.cluster.process import Process, ProcessKind

DEADLINE_S = 6.0
SOON_S = 0.005
LATE_S = 3.0
LATE_DISPATCHES = 0.2
"""Share of the granted requests that wait long before they are dispatched."""
REFUSALS = 0.15
UNKNOWN_OUTCOMES = 0.15
RUN_S = (0.01, 1.5)


class ClaimCallers:
    """Watches the nodes' claim services, dispatches what they grant and counts what ran."""

    def __init__(
        self, cluster: Cluster, checker: InvariantChecker, random_source: random.Random
    ) -> None:
        self.runs: Counter[str] = Counter()
        self.granted = 0
        self.decided = 0
        self.recorded = 0
        self._cluster = cluster
        self._simulation = cluster.simulation
        self._checker = checker
        self._random = random_source
        self._tokens = itertools.count(1)
        self._callback_by_token: dict[tuple[int, str], Callable[[Any], None]] = {}
        self._body_by_request: dict[str, bytes] = {}

    # --- observer -------------------------------------------------------------------------

    def after_input(self, process: Process) -> None:
        """Check the invariants of control state; continue what the claim service decided."""
        self._checker.after_input(process)
        if process.kind is not ProcessKind.NODE:
            return
        results, process.machine.results = process.machine.results, []
        for result in results:
            action = self._callback_by_token.pop((process.run, result.token), None)
            if action is not None:
                self._simulation.schedule(
                    self._simulation.now, self._run_within, process, action, result
                )
        wakes, process.machine.wake_at = process.machine.wake_at, []
        for at in wakes:
            wait_s = max(0.0, (at - process.local(self._simulation.now)) / process.clock.rate)
            self._simulation.schedule(
                self._simulation.now + wait_s, self._simulation.feed, process, Tick()
            )

    def on_resumed(self, process: Process) -> None:
        """See `Checks`."""
        self._checker.on_resumed(process)

    def on_log(self, process: Process, entry: Log) -> None:
        """See `Checks`."""

    # --- requests -------------------------------------------------------------------------

    def send(self, request: str, member: str) -> None:
        """Send one attempt of a request through a node."""
        process = self._cluster.running_process(member)
        if process is not None:
            self._run_within(process, self._claim, process, RequestId(request))

    def _run_within(self, process: Process, action: Callable[..., None], *arguments: Any) -> None:
        """Run `action` within a process: not while it is frozen, never when it has ended."""
        if not process.is_alive:
            return
        if process.is_frozen:
            process.add_to_backlog(self._run_within, (process, action, *arguments))
            return
        action(*arguments)

    def _call_claims(self, process: Process, event: Any, then: Callable[[Any], None]) -> None:
        self._callback_by_token[(process.run, event.token)] = then
        self._simulation.feed(process, event)

    def _token(self) -> str:
        return f"local-{next(self._tokens)}"

    def _claim(self, process: Process, request: RequestId) -> None:
        deadline_at = process.local(self._simulation.now) + DEADLINE_S

        def decided(result: Decided) -> None:
            self.decided += 1
            match result.decision:
                case ClaimGranted():
                    self.granted += 1
                    self._dispatch_later(process, request, deadline_at)
                case RecordedOutcome(Outcome.ANSWERED, _, _, body):
                    self._check_recorded_body(request, bytes(body))

        self._call_claims(
            process, ClaimRequested(self._token(), request, "digest", deadline_at), decided
        )

    def _dispatch_later(self, process: Process, request: RequestId, deadline_at: float) -> None:
        is_late = self._random.random() < LATE_DISPATCHES
        delay_s = (LATE_S if is_late else SOON_S) * self._random.random()
        self._simulation.schedule(
            self._simulation.now + delay_s,
            self._run_within,
            process,
            self._dispatch,
            process,
            request,
            deadline_at,
        )

    def _dispatch(self, process: Process, request: RequestId, deadline_at: float) -> None:
        local = process.local(self._simulation.now)
        if not process.machine.claims.may_dispatch(request, local):
            self._renew(process, request, deadline_at)
            return
        if self._random.random() < REFUSALS:
            self._release(process, request)
            return
        self.runs[request] += 1
        if self.runs[request] > 1:
            text = f"{request} ran a second time, dispatched by {process.member}"
            raise InvariantViolationError("ran-twice", text)
        took_s = self._random.uniform(*RUN_S)
        self._simulation.schedule(
            self._simulation.now + took_s, self._run_within, process, self._ended, process, request
        )

    def _renew(self, process: Process, request: RequestId, deadline_at: float) -> None:
        def renewed(result: Confirmed) -> None:
            if result.is_confirmed:
                self._dispatch_later(process, request, deadline_at)
            else:
                self._release(process, request)

        until = max(deadline_at, process.local(self._simulation.now) + 1.0)
        self._call_claims(process, RenewalRequested(self._token(), request, until), renewed)

    def _release(self, process: Process, request: RequestId) -> None:
        self._call_claims(process, ReleaseRequested(self._token(), request), lambda _result: None)

    def _ended(self, process: Process, request: RequestId) -> None:
        is_unknown = self._random.random() < UNKNOWN_OUTCOMES
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.ANSWERED
        body = f"{request} by {process.member}/{process.run}".encode()
        if not is_unknown:
            self._body_by_request[request] = body
        event = OutcomeReached(self._token(), request, outcome, 200, {}, body)
        self._call_claims(process, event, lambda _result: None)

    def _check_recorded_body(self, request: str, body: bytes) -> None:
        self.recorded += 1
        if self._body_by_request.get(request) != body:
            ran = self._body_by_request.get(request)
            text = f"{request} was answered {body!r}, its run gave {ran!r}"
            raise InvariantViolationError("other-answer", text)
