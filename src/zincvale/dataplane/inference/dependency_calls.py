"""Calls of a request to its dependencies: claims and the stream journal."""

from __future__ import annotations

from collections.abc import Awaitable

import attrs

from zincvale.dataplane import log_events
from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.context import NodeContext
from zincvale.dataplane.inference.dependencies import (
    ClaimDecision,
    ClaimGranted,
    ClaimRefusal,
    ClaimRefused,
    JournalState,
)
from zincvale.dataplane.inference.events import (
    ClaimDecided,
    ClaimRenewed,
    Input,
    RecordOutcome,
    StreamFound,
)
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.model.outcomes import Outcome

MARK_TIMEOUT_S = 1.0
"""Timeout of the claim that tells the voters that a request sent without a claim may have run."""


@attrs.define(eq=False)
class DependencyCalls:
    """Calls the dependencies for one request; no call raises.

    A call whose result the machine waits for returns it as an input. A dependency that raises
    counts as one that did not respond.
    """

    context: NodeContext
    machine: RequestMachine

    async def claim(self, within_s: float | None) -> Input:
        """Claim the request identifier."""
        request = self.machine.request
        deadline_at = request.deadline_at
        if within_s is not None:
            deadline_at = self.context.clock() + within_s
        decision: ClaimDecision = ClaimRefused(ClaimRefusal.UNAVAILABLE)
        try:
            decision = await self.context.claims.claim(
                request.request_id, request.digest, request.route, deadline_at
            )
        except Exception as error:  # a bug in the dependency must not leave the request waiting
            self._log_defect("claim", error)
        return ClaimDecided(decision)

    async def renew(self) -> Input:
        """Renew the granted claim."""
        request = self.machine.request
        renewed = False
        try:
            renewed = await self.context.claims.renew(request.request_id, request.deadline_at)
        except Exception as error:  # a bug in the dependency must not leave the request waiting
            self._log_defect("renew", error)
        return ClaimRenewed(renewed)

    async def look_up(self, after: int) -> Input:
        """Read from the journal the stream that the caller resumes."""
        state: JournalState | None = None
        try:
            state = await self.context.journal.resume(self.machine.request.request_id, after)
        except Exception as error:  # a bug in the dependency must not leave the request waiting
            self._log_defect("resume", error)
        return StreamFound(state)

    async def record(self, effect: RecordOutcome) -> None:
        """Record an outcome for resends."""
        await self._await_confirmation(
            "record",
            self.context.claims.record(
                self.machine.request.request_id,
                effect.outcome,
                effect.status,
                effect.headers,
                effect.body,
            ),
        )

    async def record_stream(self) -> None:
        """Record a complete stream as the outcome for resends."""
        request_id = self.machine.request.request_id
        headers = responses.stream_headers(request_id)
        body = responses.encode_stream(self.machine.chunks)
        await self._await_confirmation(
            "record",
            self.context.claims.record(request_id, Outcome.ANSWERED, 200, headers, body),
        )

    async def mark_may_have_run(self) -> None:
        """Claim a request that ran without a claim, and record its outcome as `unknown`."""
        claim_input = await self.claim(MARK_TIMEOUT_S)
        if isinstance(claim_input, ClaimDecided) and isinstance(claim_input.decision, ClaimGranted):
            request_id = self.machine.request.request_id
            response = responses.unknown(request_id, "an earlier attempt may have run")
            await self.record(
                RecordOutcome(Outcome.UNKNOWN, response.status, response.headers, response.body)
            )

    async def release(self) -> None:
        """Release the claim."""
        await self._await_confirmation(
            "release", self.context.claims.release(self.machine.request.request_id)
        )

    async def _await_confirmation(self, operation: str, confirmation: Awaitable[bool]) -> None:
        try:
            await confirmation
        except Exception as error:  # a bug in the dependency must not leave the request waiting
            self._log_defect(operation, error)

    def _log_defect(self, operation: str, error: Exception) -> None:
        self.context.log(
            log_events.REQUEST_DEFECT,
            request_id=self.machine.request.request_id,
            where=operation,
            error=repr(error),
        )
