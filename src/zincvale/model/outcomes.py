"""The possible outcomes of a request, and their HTTP status codes and headers."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """Outcome of a request, with the guarantee that its caller gets (docs/outcomes.md)."""

    ANSWERED = "answered"
    """The complete response was delivered."""
    REFUSED = "refused"
    """The request was not executed and never will be."""
    UNKNOWN = "unknown"
    """The request may have been executed; nothing is guaranteed, but a resend with the same id may
    return its outcome."""
    INTERRUPTED = "interrupted"
    """A stream ended early, is marked as interrupted, and may be resumed."""


class RefusalReason(enum.Enum):
    """Why a request was refused."""

    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_SERVER = "no-server"
    NOT_READY = "not-ready"
    NOT_RESIDENT = "not-resident"
    NO_ROUTE = "no-route"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    CANCELLED = "cancelled"
    INVALID = "invalid"
    SERVER_REFUSED = "server-refused"
    IN_PROGRESS = "in-progress"


HTTP_STATUS_BY_REASON = {
    RefusalReason.OVERLOADED: 503,
    RefusalReason.DEADLINE: 503,
    RefusalReason.NO_SERVER: 503,
    RefusalReason.NOT_READY: 503,
    RefusalReason.NOT_RESIDENT: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.CANCELLED: 503,
    RefusalReason.INVALID: 422,
    RefusalReason.SERVER_REFUSED: 503,
    RefusalReason.IN_PROGRESS: 409,
}
"""HTTP status by refusal reason. `IN_PROGRESS` refuses only a duplicate attempt; the first one
continues."""

UNKNOWN_HTTP_STATUS = 504
OUTCOME_HEADER = "Zincvale-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
TRACE_ID_HEADER = "Zincvale-Trace-Id"
LAST_EVENT_ID_HEADER = "Last-Event-ID"
RETRY_AFTER_HEADER = "Retry-After"
