"""What an operator does after a response, or none: send the same order again, or stop. Pure."""

from __future__ import annotations

import enum

import attrs

RESEND_DELAY_S = 0.3
OK_STATUS = 200
CONFLICT_STATUS = 409
UNAVAILABLE_STATUS = 503
NO_RESPONSE = 0
"""Stands for the status when no response arrived; journalled as such."""
RETRIED_STATUSES = frozenset({NO_RESPONSE, UNAVAILABLE_STATUS, 500, 502, 504})


class Verdict(enum.Enum):
    """What to do with an order now."""

    RESEND = "resend"
    ACKNOWLEDGED = "acknowledged"
    CONFLICT = "conflict"
    REFUSED = "refused"
    GAVE_UP = "gave-up"


@attrs.define
class OrderRetry:
    """Decides the sends of one order.

    Attributes
    ----------
    lost_acknowledgements : so many successful responses are treated as lost.
    give_up_at : when the operator stops sending.
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
