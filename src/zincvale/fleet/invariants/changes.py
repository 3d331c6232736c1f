"""Invariant 5: of two changes on one base version one wins; a resent order is accepted again."""

from __future__ import annotations

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.operations import (
    HTTP_CONFLICT,
    HTTP_OK,
    REJECTED_STATUSES,
    AcknowledgedOrder,
    OperatorOrder,
    acknowledged_orders,
    operator_orders,
)

NUMBER = 5
TITLE = "of two changes on one version one wins; a resent order is accepted again"


def check(evidence: Evidence) -> CheckResult:
    """Check the responses to all operators' orders against each other."""
    result = CheckResult(NUMBER, TITLE)
    orders = operator_orders(evidence)
    result.facts = len(orders)
    acked = acknowledged_orders(orders)
    _check_one_winner(result, acked)
    _check_versions_increase(result, acked)
    for order in orders:
        _check_resends(result, order)
        _check_conflict_has_winner(result, order, acked)
    uncertain = sum(order.is_uncertain for order in orders)
    if uncertain:
        result.not_checked.append(f"{uncertain} orders never got a definite answer")
    return result


def _check_one_winner(result: CheckResult, acked: list[AcknowledgedOrder]) -> None:
    winner_by_base: dict[int, AcknowledgedOrder] = {}
    owner_by_version: dict[int, AcknowledgedOrder] = {}
    for item in acked:
        base = item.order.base_version
        if base is not None and base in winner_by_base:
            result.add_breach(
                item.order.order_id,
                item.t,
                f"won on version {base}, as {winner_by_base[base].order.order_id} did",
            )
        elif base is not None:
            winner_by_base[base] = item
        if item.version in owner_by_version:
            result.add_breach(
                item.order.order_id,
                item.t,
                f"was given version {item.version}, "
                f"as {owner_by_version[item.version].order.order_id} was",
            )
        owner_by_version[item.version] = item


def _check_versions_increase(result: CheckResult, acked: list[AcknowledgedOrder]) -> None:
    """Check that an order sent after another was acknowledged has a higher version."""
    for item in acked:
        base = item.order.base_version
        if base is not None and item.version <= base:
            result.add_breach(item.order.order_id, item.t, f"version {item.version} on base {base}")
        for later in acked:
            if later.order.first_sent_t > item.t and later.version < item.version:
                result.add_breach(
                    later.order.order_id,
                    later.t,
                    f"version {later.version} was given after {item.version} was acknowledged",
                )


def _check_resends(result: CheckResult, order: OperatorOrder) -> None:
    first = order.acknowledgement
    if first is None:
        return
    for response in order.responses:
        if response.t < first.t and response.status in REJECTED_STATUSES:
            result.add_breach(
                order.order_id, first.t, f"is in force though it was refused ({response.status})"
            )
        if response.t <= first.t:
            continue
        if response.status in REJECTED_STATUSES:
            result.add_breach(
                order.order_id, response.t, f"was refused ({response.status}) when resent"
            )
        elif response.status == HTTP_OK and response.version != first.version:
            result.add_breach(
                order.order_id,
                response.t,
                f"got version {response.version} when resent, not {first.version}",
            )


def _check_conflict_has_winner(
    result: CheckResult, order: OperatorOrder, acked: list[AcknowledgedOrder]
) -> None:
    """List a resent order that may have been refused as in conflict with its own first attempt.

    No other acknowledged change can have been the one that it conflicted with.
    """
    conflict = next(
        (response for response in order.responses if response.status == HTTP_CONFLICT), None
    )
    if conflict is None or order.base_version is None or not order.was_resent:
        return
    newer = [item for item in acked if item.version > order.base_version]
    if any(item.order.first_sent_t <= conflict.t for item in newer):
        return
    result.not_checked.append(
        f"order {order.order_id} was refused as a conflict on version {order.base_version} when "
        "resent, and no other acknowledged change explains it"
    )
