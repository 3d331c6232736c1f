"""Verdicts of the scheduler on a request: placed, queued or rejected."""

from __future__ import annotations

import attrs

from zincvale.dataplane.inference.routing import PolicyReason
from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Blocked
from zincvale.model.outcomes import RefusalReason

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0
"""Bounds of the retry time that a rejection gives to the caller."""


@attrs.frozen
class Placed:
    """The request is to be dispatched to `server`, where a slot is reserved for it."""

    token: int
    server: ServerState
    reasons: tuple[PolicyReason, ...]
    waited_s: float = 0.0


@attrs.frozen
class Queued:
    """The request waits in the queue; another verdict for its token follows."""

    token: int
    blocked: Blocked
    reasons: tuple[PolicyReason, ...]


@attrs.frozen
class Rejected:
    """The request is refused; `retry_after_s` is the time after which a resend may be served."""

    token: int
    reason: RefusalReason
    retry_after_s: float
    problem: str


Verdict = Placed | Queued | Rejected


def bounded_rejection(
    token: int, reason: RefusalReason, problem: str, retry_after_s: float = MIN_RETRY_AFTER_S
) -> Rejected:
    """Return a rejection with its retry time limited to the permitted range."""
    bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
    return Rejected(token, reason, bounded_s, problem)
