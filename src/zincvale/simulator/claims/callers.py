"""Callers that send a request through several nodes, and back ends that count its runs."""

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
"""Time from a claim to the deadline of its request."""
MAX_DISPATCH_DELAY_S = 0.005
"""Longest usual time from the grant of a claim to the dispatch of its request."""
MAX_LATE_DISPATCH_DELAY_S = 3.0
"""Longest time from the grant of a claim to a late dispatch."""
LATE_DISPATCH_SHARE = 0.2
"""Fraction of the granted requests that are dispatched late."""
REFUSAL_SHARE = 0.15
"""Fraction of the dispatched requests that the back end refuses without running them."""
UNKNOWN_OUTCOME_SHARE = 0.15
"""Fraction of the runs that end with an unknown outcome."""
RUN_DURATION_RANGE_S = (0.01, 1.5)
"""Shortest and longest duration of a run."""


class ClaimCallers:
    """Sends requests to the nodes' claim services, dispatches granted requests and counts runs."""

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
        """Check the control-state invariants and act on the results of the claim service."""
        self._checker.after_input(process)
        if process.kind is not ProcessKind.NODE:
            return
        results, process.machine.results = process.machine.results, []
        for result in results:
            callback = self._callback_by_token.pop((process.run, result.token), None)
            if callback is not None:
                self._simulation.schedule(
                    self._simulation.now, self._run_in_process, process, callback, result
                )
        wake_times, process.machine.wake_times = process.machine.wake_times, []
        for at in wake_times:
            wait_s = max(0.0, (at - process.local(self._simulation.now)) / process.clock.rate)
            self._simulation.schedule(
                self._simulation.now + wait_s, self._simulation.feed, process, Tick()
            )

    def on_resumed(self, process: Process) -> None:
        """Check the control-state invariants of a resumed process."""
        self._checker.on_resumed(process)

    def on_log(self, process: Process, entry: Log) -> None:
        """Do nothing: no invariant concerns log events."""

    # --- requests -------------------------------------------------------------------------

    def send(self, request: str, member: str) -> None:
        """Send one attempt of a request to a node, if the node is running."""
        process = self._cluster.running_process(member)
        if process is not None:
            self._run_in_process(process, self._claim, process, RequestId(request))

    def _run_in_process(
        self, process: Process, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Run `callback` as part of a process: after a freeze, and not at all once it has ended."""
        if not process.is_alive:
            return
        if process.is_frozen:
            process.add_to_backlog(self._run_in_process, (process, callback, *arguments))
            return
        callback(*arguments)

    def _call_claims(self, process: Process, event: Any, on_result: Callable[[Any], None]) -> None:
        self._callback_by_token[(process.run, event.token)] = on_result
        self._simulation.feed(process, event)

    def _next_token(self) -> str:
        return f"local-{next(self._tokens)}"

    def _claim(self, process: Process, request: RequestId) -> None:
        deadline_at = process.local(self._simulation.now) + DEADLINE_S

        def on_decided(result: Decided) -> None:
            self.decided += 1
            match result.decision:
                case ClaimGranted():
                    self.granted += 1
                    self._dispatch_later(process, request, deadline_at)
                case RecordedOutcome(Outcome.ANSWERED, _, _, body):
                    self._check_recorded_body(request, bytes(body))

        self._call_claims(
            process, ClaimRequested(self._next_token(), request, "digest", deadline_at), on_decided
        )

    def _dispatch_later(self, process: Process, request: RequestId, deadline_at: float) -> None:
        is_late = self._random.random() < LATE_DISPATCH_SHARE
        delay_s = (
            MAX_LATE_DISPATCH_DELAY_S if is_late else MAX_DISPATCH_DELAY_S
        ) * self._random.random()
        self._simulation.schedule(
            self._simulation.now + delay_s,
            self._run_in_process,
            process,
            self._dispatch,
            process,
            request,
            deadline_at,
        )

    def _dispatch(self, process: Process, request: RequestId, deadline_at: float) -> None:
        local_now = process.local(self._simulation.now)
        if not process.machine.claims.may_dispatch(request, local_now):
            self._renew(process, request, deadline_at)
            return
        if self._random.random() < REFUSAL_SHARE:
            self._release(process, request)
            return
        self.runs[request] += 1
        if self.runs[request] > 1:
            text = f"{request} ran a second time, dispatched by {process.member}"
            raise InvariantViolationError("ran-twice", text)
        duration_s = self._random.uniform(*RUN_DURATION_RANGE_S)
        self._simulation.schedule(
            self._simulation.now + duration_s,
            self._run_in_process,
            process,
            self._finish_run,
            process,
            request,
        )

    def _renew(self, process: Process, request: RequestId, deadline_at: float) -> None:
        def on_renewed(result: Confirmed) -> None:
            if result.is_confirmed:
                self._dispatch_later(process, request, deadline_at)
            else:
                self._release(process, request)

        until = max(deadline_at, process.local(self._simulation.now) + 1.0)
        self._call_claims(process, RenewalRequested(self._next_token(), request, until), on_renewed)

    def _release(self, process: Process, request: RequestId) -> None:
        self._call_claims(
            process, ReleaseRequested(self._next_token(), request), lambda _result: None
        )

    def _finish_run(self, process: Process, request: RequestId) -> None:
        is_unknown = self._random.random() < UNKNOWN_OUTCOME_SHARE
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.ANSWERED
        body = f"{request} by {process.member}/{process.run}".encode()
        if not is_unknown:
            self._body_by_request[request] = body
        event = OutcomeReached(self._next_token(), request, outcome, 200, {}, body)
        self._call_claims(process, event, lambda _result: None)

    def _check_recorded_body(self, request: str, body: bytes) -> None:
        self.recorded += 1
        if self._body_by_request.get(request) != body:
            ran = self._body_by_request.get(request)
            text = f"{request} was answered {body!r}, its run gave {ran!r}"
            raise InvariantViolationError("other-answer", text)
