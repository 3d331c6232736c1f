"""The closed set of outcomes of one request, and how HTTP shows each."""

from __future__ import annotations

import enum


class Outcome(enum.Enum):
    """What became of a request, as its caller may rely on it (docs/outcomes.md)."""

    ANSWERED = "answered"
    """The complete response was delivered."""
    REFUSED = "refused"
    """The request never ran and never will."""
    UNKNOWN = "unknown"
    """The request may have run; nothing is promised. A resend with the same id may learn more."""
    INTERRUPTED = "interrupted"
    """A stream broke off, marked as such, and may be resumed."""


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
"""`IN_PROGRESS` refuses only the duplicate attempt: the first attempt goes on."""

UNKNOWN_HTTP_STATUS = 504
OUTCOME_HEADER = "Zincvale-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
TRACE_ID_HEADER = "Zincvale-Trace-Id"
LAST_EVENT_ID_HEADER = "Last-Event-ID"
RETRY_AFTER_HEADER = "Retry-After"
