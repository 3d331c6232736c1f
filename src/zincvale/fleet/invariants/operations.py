"""Operators' orders put together from the changes sent and their responses."""

from __future__ import annotations

import math
from typing import Any

import attrs

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.rows import ChangeResponse, ChangeSent

HTTP_OK = 200
HTTP_CONFLICT = 409
REJECTED_STATUSES = frozenset({400, 404, 409, 413, 422})
"""Responses that promise that nothing was changed."""


@attrs.define
class OperatorOrder:
    """One order with all its attempts."""

    order_id: str
    base_version: int | None
    change: dict[str, Any]
    sent_ts: list[float] = attrs.field(factory=list)
    responses: list[ChangeResponse] = attrs.field(factory=list)

    @property
    def first_sent_t(self) -> float:
        """When the order first left the operator."""
        return self.sent_ts[0] if self.sent_ts else math.inf

    @property
    def was_resent(self) -> bool:
        """Whether the operator sent the order more than once."""
        return len(self.sent_ts) > 1

    @property
    def acknowledgement(self) -> ChangeResponse | None:
        """The first response that said the change is in force."""
        return next((response for response in self.responses if response.status == HTTP_OK), None)

    @property
    def rejected(self) -> bool:
        """Whether each attempt got a response, and all said that nothing was changed."""
        if not self.responses or len(self.responses) < len(self.sent_ts):
            return False
        return all(response.status in REJECTED_STATUSES for response in self.responses)

    @property
    def uncertain(self) -> bool:
        """Whether the change may or may not be in force."""
        return self.acknowledgement is None and not self.rejected

    @property
    def resources(self) -> list[dict[str, Any]]:
        """The documents of the change."""
        return list(self.change.get("resources") or [])

    @property
    def replaces_all(self) -> bool:
        """Whether resources not listed are deleted."""
        return self.change.get("mode") == "replace"


@attrs.frozen
class Acknowledged:
    """One acknowledged order, as most checks need it."""

    t: float
    version: int
    order: OperatorOrder


def operator_orders(evidence: Evidence) -> list[OperatorOrder]:
    """Return the orders by the time they were first sent."""
    orders: dict[str, OperatorOrder] = {}
    for sent in evidence.of(ChangeSent):
        order = orders.get(sent.order_id)
        if order is None:
            order = OperatorOrder(sent.order_id, sent.base_version, sent.change)
            orders[sent.order_id] = order
        order.sent_ts.append(sent.t)
    for response in evidence.of(ChangeResponse):
        if response.order_id in orders:
            orders[response.order_id].responses.append(response)
    return sorted(orders.values(), key=lambda order: order.first_sent_t)


def acknowledged(orders: list[OperatorOrder]) -> list[Acknowledged]:
    """Return the acknowledged orders by version."""
    found = []
    for order in orders:
        response = order.acknowledgement
        if response is not None and response.version is not None:
            found.append(Acknowledged(response.t, response.version, order))
    return sorted(found, key=lambda acked: acked.version)


def newest_acknowledged_version(acked: list[Acknowledged], until_t: float) -> int:
    """Return the highest version acknowledged by `until_t`; 0 when there is none."""
    return max((item.version for item in acked if item.t <= until_t), default=0)
