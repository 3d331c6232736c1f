"""Delivery of outcomes and releases to the voters of a claim, resent until each voter confirms."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.events import Confirmed
from zincvale.dataplane.claims.messages import CloseCall, RecordCall
from zincvale.dataplane.claims.outbox import ClaimOutbox, PendingDelivery
from zincvale.model.identifiers import MemberId

RESEND_INTERVAL_S = 0.1


@attrs.define
class Delivery:
    """One message to several members, and who has confirmed it.

    Attributes
    ----------
    required_confirmations : a majority of the voters, after which the message is not lost again;
        0 if nobody waits for the confirmation.
    token : of the `Confirmed` effect that follows the required confirmations or the end of the
        delivery; empty if there is none, or after it was sent.
    ends_at : when resending to members that have not confirmed stops.
    resend_at : the earliest time of the next resend.
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
        """Count a confirmation; return whether it completed the required number."""
        self.in_flight.discard(member)
        if member not in self.unconfirmed:
            return False
        self.unconfirmed.discard(member)
        self.confirmed.add(member)
        return len(self.confirmed) == self.required_confirmations

    def is_over(self, now: float) -> bool:
        """Whether every member confirmed or the time for resends has ended."""
        return not self.unconfirmed or now >= self.ends_at


class Deliveries:
    """The deliveries in progress."""

    def __init__(self, outbox: ClaimOutbox) -> None:
        self._outbox = outbox
        self._deliveries: dict[int, Delivery] = {}

    def add(self, delivery: Delivery, now: float) -> None:
        """Send to all members, and every `RESEND_INTERVAL_S` to those that have not confirmed."""
        number = self._outbox.next_number()
        self._deliveries[number] = delivery
        self._send_due(number, delivery, now)

    def on_confirmation(self, pending: PendingDelivery) -> None:
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
        """Send the resends that are due, and remove the deliveries that are over."""
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
