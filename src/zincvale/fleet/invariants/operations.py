"""Operators' orders, assembled from the journalled changes and their responses."""

from __future__ import annotations

import math
from typing import Any

import attrs

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.rows import ChangeResponse, ChangeSent

HTTP_OK = 200
HTTP_CONFLICT = 409
REJECTED_STATUSES = frozenset({400, 404, 409, 413, 422})
"""HTTP statuses which promise that nothing was changed."""


@attrs.define
class OperatorOrder:
    """One operator's order with the send times and responses of all its attempts."""

    order_id: str
    base_version: int | None
    change: dict[str, Any]
    send_times: list[float] = attrs.field(factory=list)
    responses: list[ChangeResponse] = attrs.field(factory=list)

    @property
    def first_sent_t(self) -> float:
        """When the operator first sent the order."""
        return self.send_times[0] if self.send_times else math.inf

    @property
    def was_resent(self) -> bool:
        """Whether the operator sent the order more than once."""
        return len(self.send_times) > 1

    @property
    def acknowledgement(self) -> ChangeResponse | None:
        """The first response that acknowledged the change, or None."""
        return next((response for response in self.responses if response.status == HTTP_OK), None)

    @property
    def is_rejected(self) -> bool:
        """Whether every attempt got a response, each of which promised that nothing was changed."""
        if not self.responses or len(self.responses) < len(self.send_times):
            return False
        return all(response.status in REJECTED_STATUSES for response in self.responses)

    @property
    def is_uncertain(self) -> bool:
        """Whether the order is neither acknowledged nor rejected, so that it may be in force."""
        return self.acknowledgement is None and not self.is_rejected

    @property
    def resources(self) -> list[dict[str, Any]]:
        """The resource documents in the change."""
        return list(self.change.get("resources") or [])

    @property
    def replaces_all(self) -> bool:
        """Whether the change deletes the resources that it does not list."""
        return self.change.get("mode") == "replace"


@attrs.frozen
class AcknowledgedOrder:
    """One acknowledged order, with the time and version of its acknowledgement."""

    t: float
    version: int
    order: OperatorOrder


def operator_orders(evidence: Evidence) -> list[OperatorOrder]:
    """Return all operators' orders, sorted by the time of their first attempt."""
    orders: dict[str, OperatorOrder] = {}
    for sent in evidence.rows_of(ChangeSent):
        order = orders.get(sent.order_id)
        if order is None:
            order = OperatorOrder(sent.order_id, sent.base_version, sent.change)
            orders[sent.order_id] = order
        order.send_times.append(sent.t)
    for response in evidence.rows_of(ChangeResponse):
        if response.order_id in orders:
            orders[response.order_id].responses.append(response)
    return sorted(orders.values(), key=lambda order: order.first_sent_t)


def acknowledged_orders(orders: list[OperatorOrder]) -> list[AcknowledgedOrder]:
    """Return the acknowledged orders, sorted by version."""
    found = []
    for order in orders:
        response = order.acknowledgement
        if response is not None and response.version is not None:
            found.append(AcknowledgedOrder(response.t, response.version, order))
    return sorted(found, key=lambda acked: acked.version)


def newest_acknowledged_version(acked: list[AcknowledgedOrder], until_t: float) -> int:
    """Return the highest version acknowledged by `until_t`; 0 when there is none."""
    return max((item.version for item in acked if item.t <= until_t), default=0)
