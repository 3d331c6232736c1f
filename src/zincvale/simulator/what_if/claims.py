"""Claims and stream journal of all nodes as one table, which decides as if no node failed.

The protocol between the voters is not modelled here but in the explorer. Modelled are its delay and
its decisions: one attempt runs; a resend gets the recorded outcome or waits for it.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.dataplane.inference.dependencies import (
    ClaimDecision,
    ClaimGranted,
    ClaimRefusal,
    ClaimRefused,
    JournalState,
    OutcomePending,
    RecordedOutcome,
)
from zincvale.model.identifiers import RequestId
from zincvale.simulator.what_if.clock import VirtualClock

RETENTION_S = 120.0
"""Time from the creation of a claim or a stream record until it is deleted."""


@attrs.define(eq=False)
class _ClaimRow:
    digest: str
    recorded: RecordedOutcome | None = None
    waiters: list[Callable[[ClaimDecision], None]] = attrs.field(factory=list)


@attrs.define(eq=False)
class _StreamRow:
    digest: str
    count: int
    is_complete: bool


class ClaimTable:
    """Claims by request identifier, and the streams whose chunks a peer has journaled."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self._claims: dict[RequestId, _ClaimRow] = {}
        self._streams: dict[RequestId, _StreamRow] = {}

    def claim(
        self,
        request_id: RequestId,
        digest: str,
        deadline_at: float,
        on_decision: Callable[[ClaimDecision], None],
    ) -> None:
        """Decide a claim: now, or when the attempt that holds it has recorded its outcome."""
        row = self._claims.get(request_id)
        if row is None:
            self._claims[request_id] = _ClaimRow(digest)
            self._clock.call_later(RETENTION_S, lambda: self._forget_claim(request_id))
            on_decision(ClaimGranted())
        elif row.digest != digest:
            on_decision(ClaimRefused(ClaimRefusal.OTHER_REQUEST))
        elif row.recorded is not None:
            on_decision(row.recorded)
        else:
            row.waiters.append(on_decision)
            self._clock.call_at(deadline_at, lambda: self._stop_waiting(row, on_decision))

    def record(self, request_id: RequestId, outcome: RecordedOutcome) -> None:
        """Store an outcome and report it to the attempts that are waiting for it."""
        row = self._claims.get(request_id)
        if row is None:
            return
        row.recorded = outcome
        waiters, row.waiters = row.waiters, []
        for on_decision in waiters:
            on_decision(outcome)

    def release(self, request_id: RequestId) -> None:
        """Release a claim and grant it to the attempt that has waited longest."""
        row = self._claims.pop(request_id, None)
        if row is None or not row.waiters:
            return
        first, *later_waiters = row.waiters
        self._claims[request_id] = _ClaimRow(row.digest, None, later_waiters)
        first(ClaimGranted())

    def record_stream(
        self, request_id: RequestId, digest: str, count: int, is_complete: bool
    ) -> None:
        """Store how many chunks of a broken stream are journaled."""
        self._streams[request_id] = _StreamRow(digest, count, is_complete)
        self._clock.call_later(RETENTION_S, lambda: self._forget_stream(request_id))

    def stream(self, request_id: RequestId) -> JournalState | None:
        """Return the journaled state of a stream, None when there is none."""
        row = self._streams.get(request_id)
        if row is None:
            return None
        return JournalState(row.digest, ("",) * row.count, row.is_complete)

    def _stop_waiting(self, row: _ClaimRow, on_decision: Callable[[ClaimDecision], None]) -> None:
        if on_decision in row.waiters:
            row.waiters.remove(on_decision)
            on_decision(OutcomePending())

    def _forget_stream(self, request_id: RequestId) -> None:
        self._streams.pop(request_id, None)

    def _forget_claim(self, request_id: RequestId) -> None:
        row = self._claims.get(request_id)
        if row is not None and not row.waiters:
            del self._claims[request_id]
