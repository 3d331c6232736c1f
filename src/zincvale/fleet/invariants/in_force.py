"""Invariant 6: an acknowledged change is in force everywhere in about 2 s, never rolled back.

Evidence is behaviour: the rig moves the path of a marker route, and requests the newest
acknowledged path of every ready node. A node without the change responds with `no-route`. Reads of
the intent at any daemon must not show a version below the newest acknowledged one either.
"""

from __future__ import annotations

import math

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.markers import marker_of
from zincvale.fleet.invariants.operations import (
    HTTP_OK,
    Acknowledged,
    OperatorOrder,
    acknowledged,
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
    """Check marker probes at nodes and intent reads against the acknowledgements."""
    result = CheckResult(NUMBER, TITLE)
    orders = operator_orders(evidence)
    acked = acknowledged(orders)
    _check_probes(evidence, result, orders, acked)
    _check_reads(evidence, result, acked)
    return result


def _check_probes(
    evidence: Evidence,
    result: CheckResult,
    orders: list[OperatorOrder],
    acked: list[Acknowledged],
) -> None:
    acked_t_by_marker = _acknowledged_markers(acked)
    not_ready = 0
    for probe in evidence.of(MarkerProbed):
        acked_t = acked_t_by_marker.get(probe.marker)
        if acked_t is None or probe.asked_t < acked_t + IN_FORCE_WITHIN_S:
            continue
        if probe.t >= _moved_on_t(orders, probe.marker, acked_t):
            continue
        if not probe.ready or probe.status == 0:
            not_ready += 1
            continue
        result.facts += 1
        if probe.status == NO_ROUTE_STATUS:
            result.breach(
                probe.member,
                probe.t,
                f"has no marker {probe.marker}, "
                f"{probe.asked_t - acked_t:.1f} s after it was acknowledged",
            )
    if not_ready:
        result.not_checked.append(f"{not_ready} probes met nodes that were not ready")


def _check_reads(evidence: Evidence, result: CheckResult, acked: list[Acknowledged]) -> None:
    for read in evidence.of(IntentRead):
        if read.status != HTTP_OK or read.version is None:
            continue
        expected = newest_acknowledged_version(acked, read.asked_t - IN_FORCE_WITHIN_S)
        result.facts += 1
        if read.version < expected:
            result.breach(
                read.member, read.t, f"shows version {read.version} after {expected} was in force"
            )


def _acknowledged_markers(acked: list[Acknowledged]) -> dict[int, float]:
    found: dict[int, float] = {}
    for item in acked:
        marker = marker_of(item.order.resources)
        if marker is not None:
            found[marker] = item.t
    return found


def _moved_on_t(orders: list[OperatorOrder], marker: int, acked_t: float) -> float:
    """Return when the next change of the marker may have come into force."""
    later = [
        order.first_sent_t
        for order in orders
        if marker_of(order.resources) not in (None, marker)
        and not order.rejected
        and (order.first_sent_t > acked_t or order.uncertain)
    ]
    return min(later, default=math.inf)
