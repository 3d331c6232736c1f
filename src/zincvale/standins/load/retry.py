"""Decides what a caller does after an attempt: finish, send the request again, or give up.

A lost or unknown response is requested again with the same request id, on another node. A refusal
means that the request did not run and will not, so the caller starts over with a new id after the
time in `Retry-After`. A broken stream is resumed with the same id from its last chunk.
"""

from __future__ import annotations

import enum

import attrs

from zincvale.model.outcomes import RefusalReason

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
IN_PROGRESS_DELAY_S = 0.5
FINAL_REASONS = frozenset({RefusalReason.INVALID.value, RefusalReason.NO_ROUTE.value})


class AttemptOutcome(enum.Enum):
    """Outcome of one attempt, as the caller observes it."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    INTERRUPTED = "interrupted"
    LOST = "lost"
    """The connection broke or timed out without an outcome."""
    NOT_CONNECTED = "not-connected"
    HUNG_UP = "hung-up"
    """The caller itself closed the connection and does not retry."""
    NO_NODE = "no-node"
    """No node was available to which the request could be sent."""


@attrs.frozen
class AttemptResult:
    """The result of one attempt."""

    outcome: AttemptOutcome
    reason: str = ""
    retry_after_s: float = 0.0
    resumable: bool = True


@attrs.frozen
class Resend:
    """Send the request again after `delay_s`, with a new request id if `new_id` is set."""

    delay_s: float
    new_id: bool


@attrs.frozen
class RequestDone:
    """The request has ended; `gave_up` means that attempts or time ran out."""

    gave_up: bool = False


class CallerRetry:
    """Decides whether and when one request is sent again.

    Parameters
    ----------
    max_attempts : limit on the attempts, including the first.
    deadline_at : time from which the caller no longer retries.
    """

    def __init__(self, max_attempts: int, deadline_at: float) -> None:
        self._max_attempts = max_attempts
        self._deadline_at = deadline_at
        self._attempts = 0

    def after(self, result: AttemptResult, has_chunks: bool, now: float) -> Resend | RequestDone:
        """Return the next step; `has_chunks` means that part of the stream has arrived."""
        self._attempts += 1
        if result.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.HUNG_UP):
            return RequestDone()
        if result.reason in FINAL_REASONS or not result.resumable:
            return RequestDone()
        resend = self._resend(result, has_chunks)
        if self._attempts >= self._max_attempts or now + resend.delay_s >= self._deadline_at:
            return RequestDone(gave_up=True)
        return resend

    def _resend(self, result: AttemptResult, has_chunks: bool) -> Resend:
        delay_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (self._attempts - 1))
        if result.outcome is not AttemptOutcome.REFUSED:
            return Resend(delay_s, new_id=False)
        if result.reason == RefusalReason.IN_PROGRESS.value:
            return Resend(max(result.retry_after_s, IN_PROGRESS_DELAY_S), new_id=False)
        return Resend(max(result.retry_after_s, delay_s), new_id=not has_chunks)
