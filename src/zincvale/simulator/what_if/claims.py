"""Claims and stream journal of all nodes as one table: what they decide when all is well.

The protocol between the voters is not modelled (the explorer does that); its delay is, and its
decisions: one attempt runs, a resend gets the recorded outcome or waits for it.
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
"""Claims and streams are forgotten this long after they began."""


@attrs.define(eq=False)
class _ClaimRow:
    digest: str
    recorded: RecordedOutcome | None = None
    waiting: list[Callable[[ClaimDecision], None]] = attrs.field(factory=list)


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
        decide: Callable[[ClaimDecision], None],
    ) -> None:
        """Decide a claim, now or when the attempt that was granted it has its outcome."""
        row = self._claims.get(request_id)
        if row is None:
            self._claims[request_id] = _ClaimRow(digest)
            self._clock.call_later(RETENTION_S, lambda: self._forget(request_id))
            decide(ClaimGranted())
        elif row.digest != digest:
            decide(ClaimRefused(ClaimRefusal.OTHER_REQUEST))
        elif row.recorded is not None:
            decide(row.recorded)
        else:
            row.waiting.append(decide)
            self._clock.call_at(deadline_at, lambda: self._stop_waiting(row, decide))

    def record(self, request_id: RequestId, outcome: RecordedOutcome) -> None:
        """Store an outcome and report it to the attempts that wait for it."""
        row = self._claims.get(request_id)
        if row is None:
            return
        row.recorded = outcome
        waiting, row.waiting = row.waiting, []
        for decide in waiting:
            decide(outcome)

    def release(self, request_id: RequestId) -> None:
        """Give a claim back: the next attempt that waits runs."""
        row = self._claims.pop(request_id, None)
        if row is None or not row.waiting:
            return
        first, *others = row.waiting
        self._claims[request_id] = _ClaimRow(row.digest, None, others)
        first(ClaimGranted())

    def record_stream(
        self, request_id: RequestId, digest: str, count: int, is_complete: bool
    ) -> None:
        """Store the length of a broken stream."""
        self._streams[request_id] = _StreamRow(digest, count, is_complete)
        self._clock.call_later(RETENTION_S, lambda: self._forget_stream(request_id))

    def stream(self, request_id: RequestId) -> JournalState | None:
        """Return what is journaled of a stream."""
        row = self._streams.get(request_id)
        if row is None:
            return None
        return JournalState(row.digest, ("",) * row.count, row.is_complete)

    def _stop_waiting(self, row: _ClaimRow, decide: Callable[[ClaimDecision], None]) -> None:
        if decide in row.waiting:
            row.waiting.remove(decide)
            decide(OutcomePending())

    def _forget_stream(self, request_id: RequestId) -> None:
        self._streams.pop(request_id, None)

    def _forget(self, request_id: RequestId) -> None:
        row = self._claims.get(request_id)
        if row is not None and not row.waiting:
            del self._claims[request_id]
