"""Invariant 8: a core that was unresponsive for 20 s gives no orders when it resumes.

Two rules. No order of an older epoch reaches a server once a newer epoch has given one; and a
daemon that was unresponsive for 20 s gives no order under an epoch that it led before.
"""

from __future__ import annotations

import math

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.outages import unresponsive_periods
from zincvale.fleet.invariants.rows import OrderRefused, OrderTaken

NUMBER = 8
TITLE = "a control machine silent for 20 s gives no orders on waking"

UNRESPONSIVE_S = 20.0
"""Shortest outage that the second rule covers; shorter ones are checked by the first rule only."""
IN_FLIGHT_S = 1.0
"""Time after a newer leader's first order in which an order sent before it may still arrive."""


def check(evidence: Evidence) -> CheckResult:
    """Check the epochs and senders of all orders that reached servers."""
    result = CheckResult(NUMBER, TITLE)
    orders = sorted(
        [*evidence.rows_of(OrderTaken), *evidence.rows_of(OrderRefused)], key=lambda order: order.t
    )
    result.facts = len(orders)
    _check_epochs(result, orders)
    _check_resumptions(evidence, result, orders)
    return result


def _check_epochs(result: CheckResult, orders: list[OrderTaken]) -> None:
    newest_epoch = -1
    newest_since = -math.inf
    for order in orders:
        if order.epoch > newest_epoch:
            newest_epoch = order.epoch
            newest_since = order.t
        elif order.epoch < newest_epoch and order.t > newest_since + IN_FLIGHT_S:
            result.add_breach(
                order.server_id,
                order.t,
                f"order {order.order_id} of epoch {order.epoch} came "
                f"{order.t - newest_since:.1f} s after the first of epoch {newest_epoch}",
            )


def _check_resumptions(evidence: Evidence, result: CheckResult, orders: list[OrderTaken]) -> None:
    member_by_host = evidence.expectations.member_by_host
    long_periods = [
        period for period in unresponsive_periods(evidence) if period.duration_s >= UNRESPONSIVE_S
    ]
    if long_periods and not any(order.sender for order in orders):
        result.not_checked.append("the servers' journals do not tell who sent an order")
    for period in long_periods:
        if math.isinf(period.end):
            continue
        own = [
            order
            for order in orders
            if member_by_host.get(order.sender, order.sender) == period.target
        ]
        epochs_before = {order.epoch for order in own if order.t <= period.start + IN_FLIGHT_S}
        for order in own:
            if order.t >= period.end and order.epoch in epochs_before:
                result.add_breach(
                    period.target,
                    order.t,
                    f"gave order {order.order_id} under epoch {order.epoch}, "
                    f"held before {period.duration_s:.0f} s of silence",
                )
    if not long_periods:
        result.not_checked.append(f"no daemon was silent for {UNRESPONSIVE_S:.0f} s in this run")
