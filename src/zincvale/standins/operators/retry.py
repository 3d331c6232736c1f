"""Decides after each response, or a missing one, whether an operator sends the order again."""

from __future__ import annotations

import enum

import attrs

RESEND_DELAY_S = 0.3
OK_STATUS = 200
CONFLICT_STATUS = 409
UNAVAILABLE_STATUS = 503
NO_RESPONSE = 0
"""Status that stands for a missing response, also in the journal."""
RETRIED_STATUSES = frozenset({NO_RESPONSE, UNAVAILABLE_STATUS, 500, 502, 504})


class Verdict(enum.Enum):
    """What to do with an order after an attempt: resend it, or stop with a final result."""

    RESEND = "resend"
    ACKNOWLEDGED = "acknowledged"
    CONFLICT = "conflict"
    REFUSED = "refused"
    GAVE_UP = "gave-up"


@attrs.define
class OrderRetry:
    """Decides whether one order is sent again.

    Attributes
    ----------
    lost_acknowledgements : how many further successful responses are treated as lost.
    give_up_at : time from which the operator no longer resends the order.
    """

    lost_acknowledgements: int
    give_up_at: float

    def after(self, status: int, now: float) -> Verdict:
        """Return what to do after a response with `status` (`NO_RESPONSE` for none)."""
        if status == OK_STATUS and self.lost_acknowledgements > 0:
            self.lost_acknowledgements -= 1
            return Verdict.RESEND
        if status == OK_STATUS:
            return Verdict.ACKNOWLEDGED
        if status == CONFLICT_STATUS:
            return Verdict.CONFLICT
        if status not in RETRIED_STATUSES:
            return Verdict.REFUSED
        return Verdict.RESEND if now < self.give_up_at else Verdict.GAVE_UP
