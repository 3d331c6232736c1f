"""What the scheduler says about a request."""

from __future__ import annotations

import attrs

from zincvale.dataplane.inference.routing import PolicyReason
from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.policies.base import Blocked
from zincvale.model.outcomes import RefusalReason

LEAST_RETRY_AFTER_S = 1.0
LONGEST_RETRY_AFTER_S = 30.0


@attrs.frozen
class Placed:
    """Dispatch to `server`, whose slot is reserved."""

    token: int
    server: ServerState
    reasons: tuple[PolicyReason, ...]
    waited_s: float = 0.0


@attrs.frozen
class Queued:
    """Wait; another verdict for the token follows."""

    token: int
    blocked: Blocked
    reasons: tuple[PolicyReason, ...]


@attrs.frozen
class Rejected:
    """Refuse at once; `retry_after_s` says when it is worth coming back."""

    token: int
    reason: RefusalReason
    retry_after_s: float
    problem: str


Verdict = Placed | Queued | Rejected


def rejected(
    token: int, reason: RefusalReason, problem: str, retry_after_s: float = LEAST_RETRY_AFTER_S
) -> Rejected:
    """Return a refusal whose retry time is within its bounds."""
    bounded_s = min(LONGEST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, retry_after_s))
    return Rejected(token, reason, bounded_s, problem)
