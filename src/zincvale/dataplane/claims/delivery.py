"""Delivery of records and releases to the voters of a claim, resent until each confirmed it."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.events import Confirmed
from zincvale.dataplane.claims.messages import CloseCall, RecordCall
from zincvale.dataplane.claims.outbox import ClaimOutbox, PendingDelivery
from zincvale.model.identifiers import MemberId

RESEND_INTERVAL_S = 0.1


@attrs.define
class Delivery:
    """One message for several members.

    Attributes
    ----------
    required_confirmations : those that make it safe, a majority of the voters.
    token : of the `Confirmed` effect when that many confirmed, or empty.
    ends_at : when members that still did not confirm are given up.
    """

    message: CloseCall | RecordCall
    required_confirmations: int
    token: str
    ends_at: float
    unconfirmed: set[MemberId]
    in_flight: set[MemberId] = attrs.field(factory=set)
    confirmed: set[MemberId] = attrs.field(factory=set)
    resend_at: float = 0.0

    def start_resend(self, now: float) -> list[MemberId]:
        """Return the members to send to now, and mark them as in flight."""
        if now < self.resend_at:
            return []
        self.resend_at = now + RESEND_INTERVAL_S
        members = sorted(self.unconfirmed - self.in_flight)
        self.in_flight.update(members)
        return members

    def confirm(self, member: MemberId) -> bool:
        """Count a confirmation; returns whether it was the one that made it safe."""
        self.in_flight.discard(member)
        if member not in self.unconfirmed:
            return False
        self.unconfirmed.discard(member)
        self.confirmed.add(member)
        return len(self.confirmed) == self.required_confirmations

    def is_over(self, now: float) -> bool:
        """Whether nothing is left to do."""
        return not self.unconfirmed or now >= self.ends_at


class Deliveries:
    """All deliveries that are not over."""

    def __init__(self, outbox: ClaimOutbox) -> None:
        self._outbox = outbox
        self._deliveries: dict[int, Delivery] = {}

    def add(self, delivery: Delivery, now: float) -> None:
        """Send to all members, and again every `RESEND_INTERVAL_S` to those that do not confirm."""
        number = self._outbox.next_number()
        self._deliveries[number] = delivery
        self._send_due(number, delivery, now)

    def confirmed(self, pending: PendingDelivery) -> None:
        """Count the confirmation of a member that stored the message."""
        delivery = self._deliveries.get(pending.number)
        if delivery is not None and delivery.confirm(pending.member) and delivery.token:
            self._outbox.add(Confirmed(delivery.token, True))
            delivery.token = ""

    def on_failure(self, pending: PendingDelivery) -> None:
        """Allow a resend to a member that did not confirm."""
        delivery = self._deliveries.get(pending.number)
        if delivery is not None:
            delivery.in_flight.discard(pending.member)

    def tick(self, now: float) -> None:
        """Resend what is due, and end what is over."""
        for number, delivery in list(self._deliveries.items()):
            if not delivery.is_over(now):
                self._send_due(number, delivery, now)
                continue
            if delivery.token:
                self._outbox.add(Confirmed(delivery.token, False))
            del self._deliveries[number]

    def _send_due(self, number: int, delivery: Delivery, now: float) -> None:
        for member in delivery.start_resend(now):
            self._outbox.call(member, delivery.message, PendingDelivery(number, member))
