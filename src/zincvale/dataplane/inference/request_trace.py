"""The trace of a request: its spans, events and attributes."""

from __future__ import annotations

import attrs

from zincvale.dataplane.inference.dependencies import (
    ClaimDecision,
    ClaimGranted,
    ClaimRefused,
    OutcomePending,
    RecordedOutcome,
    Span,
    Spans,
)
from zincvale.dataplane.inference.events import (
    ClaimDecided,
    Input,
    ServerFailed,
    ServerRefused,
    StreamEnded,
    StreamFound,
)
from zincvale.dataplane.inference.routing import PolicyReason
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.control_tables import ServerRow
from zincvale.model.outcomes import TRACE_ID_HEADER, Outcome, RefusalReason

MS_PER_S = 1000.0
CLAIM_DECISION_TEXTS: dict[type[ClaimDecision], str] = {
    ClaimGranted: "ClaimGranted",
    ClaimRefused: "ClaimRefused",
    RecordedOutcome: "RecordedOutcome",
    OutcomePending: "OutcomePending",
}
"""Texts for claim decisions in traces; stored traces and `tracing.api.explain` contain them."""
FAILED_ENDS = frozenset({ExchangeEnd.NOT_CONNECTED, ExchangeEnd.FAILED, ExchangeEnd.TIMED_OUT})
"""Ends of an exchange that mark its span as an ERROR."""


@attrs.define(eq=False)
class RequestTrace:
    """The root span of a request and the span of its current dispatch."""

    spans: Spans
    root: Span
    _dispatch: Span | None = None
    _attempts: int = 0
    _last_chunk: int = 0
    _waited_ms: float = 0.0

    def record_policies(self, reasons: tuple[PolicyReason, ...]) -> None:
        """Record each policy's reason, which explains the choice of the server."""
        for policy_reason in reasons:
            self.root.event(
                "policy",
                policy=policy_reason.policy,
                kind=policy_reason.kind,
                reason=policy_reason.reason,
                kept=policy_reason.kept,
            )

    def record_wait(self, reason: str) -> None:
        """Record that the request is queued, and why."""
        self.root.event("hold", reason=reason)

    def record_wait_end(self, waited_s: float) -> None:
        """Record how long the request was queued until a server was found."""
        if waited_s <= 0.0:
            return
        self._waited_ms += waited_s * MS_PER_S
        self.root.event("release", waited_ms=waited_s * MS_PER_S)

    def start_dispatch(self, row: ServerRow, attempt: int, prefix: int) -> None:
        """Start the span of one attempt."""
        self._attempts = attempt
        attributes: dict[str, str | int | float | bool] = {
            "server": row.server,
            "zone": row.zone,
            "attempt": attempt,
        }
        if prefix:
            attributes["resumed_at"] = prefix
            self.root.event("resume", after=prefix, server=row.server)
        self._dispatch = self.spans.start("dispatch", self.root.context, attributes=attributes)
        self.root.set("server", row.server)

    def record_input(self, event: Input) -> None:
        """Record the inputs that explain the outcome of the request."""
        match event:
            case ClaimDecided(decision):
                self.root.event("claim", decision=CLAIM_DECISION_TEXTS[type(decision)])
            case ServerRefused(_, error):
                self._record_failed_attempt(f"refused: {error}", error=False)
            case ServerFailed(reason, sent):
                self._record_failed_attempt(
                    f"{reason} ({'sent' if sent else 'not sent'})", error=True
                )
            case StreamFound(state):
                chunk_count = -1 if state is None else len(state.chunks)
                self.root.event("journal", pieces=chunk_count)
            case StreamEnded(count):
                self.root.event("last-event", number=count)

    def record_chunks(self, first_index: int, count: int) -> None:
        """Record the first event of a stream; later calls only update the last event number."""
        if self._last_chunk == 0:
            self.root.event("first-event", number=first_index)
        self._last_chunk = first_index + count - 1

    def end_dispatch(self, end: ExchangeEnd, units: int) -> None:
        """End the span of the current attempt."""
        span, self._dispatch = self._dispatch, None
        if span is None:
            return
        span.set("end", end.value)
        if units:
            span.set("units", units)
        if end in FAILED_ENDS:
            span.error(end.value)
        span.end()

    def add_trace_header(self, headers: dict[str, str]) -> None:
        """Add the trace identifier to the headers of a response."""
        headers[TRACE_ID_HEADER] = self.root.context.trace_id

    def finish(self, outcome: Outcome, reason: str) -> None:
        """Set the outcome on the root span and end it."""
        root = self.root
        root.set("outcome", outcome.value)
        if reason:
            root.set("reason", reason)
        if self._attempts > 1:
            root.set("retries", self._attempts - 1)
        if self._waited_ms:
            root.set("held_ms", self._waited_ms)
        if outcome in (Outcome.UNKNOWN, Outcome.INTERRUPTED):
            root.error(reason or outcome.value)
        elif outcome is Outcome.REFUSED and reason != RefusalReason.OVERLOADED.value:
            root.error(reason)
        root.end()

    def _record_failed_attempt(self, cause: str, error: bool) -> None:
        self.root.event("retry", cause=cause)
        if error and self._dispatch is not None:
            self._dispatch.error(cause)
