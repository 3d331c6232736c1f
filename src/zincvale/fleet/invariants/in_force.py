"""Invariant 6: an acknowledged change is in force everywhere in about 2 s, never rolled back.

The check observes behaviour: the rig changes the path of a marker route, and requests the newest
acknowledged path from every ready node. A node without the change responds with `no-route`. Reads
of the intent from any daemon must not return a version below the newest acknowledged one either.
"""

from __future__ import annotations

import math

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.markers import marker_of
from zincvale.fleet.invariants.operations import (
    HTTP_OK,
    AcknowledgedOrder,
    OperatorOrder,
    acknowledged_orders,
    newest_acknowledged_version,
    operator_orders,
)
from zincvale.fleet.invariants.rows import IntentRead, MarkerProbed
from zincvale.model.outcomes import HTTP_STATUS_BY_REASON, RefusalReason

NUMBER = 6
TITLE = "an acknowledged change is in force everywhere and never rolled back"

IN_FORCE_WITHIN_S = 2.0
NO_ROUTE_STATUS = HTTP_STATUS_BY_REASON[RefusalReason.NO_ROUTE]


def check(evidence: Evidence) -> CheckResult:
    """Check the marker probes of nodes and the intent reads against the acknowledged changes."""
    result = CheckResult(NUMBER, TITLE)
    orders = operator_orders(evidence)
    acked = acknowledged_orders(orders)
    _check_probes(evidence, result, orders, acked)
    _check_reads(evidence, result, acked)
    return result


def _check_probes(
    evidence: Evidence,
    result: CheckResult,
    orders: list[OperatorOrder],
    acked: list[AcknowledgedOrder],
) -> None:
    acked_t_by_marker = _acknowledged_t_by_marker(acked)
    not_ready = 0
    for probe in evidence.rows_of(MarkerProbed):
        acked_t = acked_t_by_marker.get(probe.marker)
        if acked_t is None or probe.asked_t < acked_t + IN_FORCE_WITHIN_S:
            continue
        if probe.t >= _next_change_t(orders, probe.marker, acked_t):
            continue
        if not probe.ready or probe.status == 0:
            not_ready += 1
            continue
        result.facts += 1
        if probe.status == NO_ROUTE_STATUS:
            result.add_breach(
                probe.member,
                probe.t,
                f"has no marker {probe.marker}, "
                f"{probe.asked_t - acked_t:.1f} s after it was acknowledged",
            )
    if not_ready:
        result.not_checked.append(f"{not_ready} probes met nodes that were not ready")


def _check_reads(evidence: Evidence, result: CheckResult, acked: list[AcknowledgedOrder]) -> None:
    for read in evidence.rows_of(IntentRead):
        if read.status != HTTP_OK or read.version is None:
            continue
        expected = newest_acknowledged_version(acked, read.asked_t - IN_FORCE_WITHIN_S)
        result.facts += 1
        if read.version < expected:
            result.add_breach(
                read.member, read.t, f"shows version {read.version} after {expected} was in force"
            )


def _acknowledged_t_by_marker(acked: list[AcknowledgedOrder]) -> dict[int, float]:
    found: dict[int, float] = {}
    for item in acked:
        marker = marker_of(item.order.resources)
        if marker is not None:
            found[marker] = item.t
    return found


def _next_change_t(orders: list[OperatorOrder], marker: int, acked_t: float) -> float:
    """Return the earliest time at which a later change of the marker may be in force."""
    later = [
        order.first_sent_t
        for order in orders
        if marker_of(order.resources) not in (None, marker)
        and not order.is_rejected
        and (order.first_sent_t > acked_t or order.is_uncertain)
    ]
    return min(later, default=math.inf)
