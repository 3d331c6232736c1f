"""Bringing records and releases to the holders of a claim, again until each confirmed it."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.events import Confirmed
from zincvale.dataplane.claims.messages import CloseCall, RecordCall
from zincvale.dataplane.claims.outbox import ClaimOutbox, PendingDelivery
from zincvale.model.identifiers import MemberId

RESEND_S = 0.1


@attrs.define
class Delivery:
    """One message on its way to several members.

    Attributes
    ----------
    needed : confirmations that make it safe, a majority of the holders.
    token : whom to tell when that many confirmed, or empty.
    ends_at : when members that still did not confirm are given up.
    """

    message: CloseCall | RecordCall
    needed: int
    token: str
    ends_at: float
    waiting: set[MemberId]
    in_flight: set[MemberId] = attrs.field(factory=set)
    confirmed: set[MemberId] = attrs.field(factory=set)
    resend_at: float = 0.0

    def due(self, now: float) -> list[MemberId]:
        """Return the members to send to now, and note them as sent to."""
        if now < self.resend_at:
            return []
        self.resend_at = now + RESEND_S
        members = sorted(self.waiting - self.in_flight)
        self.in_flight.update(members)
        return members

    def confirm(self, member: MemberId) -> bool:
        """Note a confirmation; returns whether it was the one that made it safe."""
        self.in_flight.discard(member)
        if member not in self.waiting:
            return False
        self.waiting.discard(member)
        self.confirmed.add(member)
        return len(self.confirmed) == self.needed

    def is_over(self, now: float) -> bool:
        """Whether nothing is left to do."""
        return not self.waiting or now >= self.ends_at


class Deliveries:
    """All deliveries under way."""

    def __init__(self, outbox: ClaimOutbox) -> None:
        self._outbox = outbox
        self._deliveries: dict[int, Delivery] = {}

    def add(self, delivery: Delivery, now: float) -> None:
        """Send to all members, and again every `RESEND_S` to those that do not confirm."""
        number = self._outbox.next_number()
        self._deliveries[number] = delivery
        self._send_due(number, delivery, now)

    def confirmed(self, pending: PendingDelivery) -> None:
        """Note that a member keeps the message."""
        delivery = self._deliveries.get(pending.number)
        if delivery is not None and delivery.confirm(pending.member) and delivery.token:
            self._outbox.add(Confirmed(delivery.token, True))
            delivery.token = ""

    def failed(self, pending: PendingDelivery) -> None:
        """Note that a member did not confirm."""
        delivery = self._deliveries.get(pending.number)
        if delivery is not None:
            delivery.in_flight.discard(pending.member)

    def tick(self, now: float) -> None:
        """Send again what is due, and end what is over."""
        for number, delivery in list(self._deliveries.items()):
            if not delivery.is_over(now):
                self._send_due(number, delivery, now)
                continue
            if delivery.token:
                self._outbox.add(Confirmed(delivery.token, False))
            del self._deliveries[number]

    def _send_due(self, number: int, delivery: Delivery, now: float) -> None:
        for member in delivery.due(now):
            self._outbox.call(member, delivery.message, PendingDelivery(number, member))
