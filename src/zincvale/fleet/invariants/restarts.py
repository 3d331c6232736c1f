"""Invariant 10: a daemon restarted after hundreds of changes serves the newest one within 12 s."""

from __future__ import annotations

import math

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.operations import (
    HTTP_OK,
    AcknowledgedOrder,
    acknowledged_orders,
    newest_acknowledged_version,
    operator_orders,
)
from zincvale.fleet.invariants.outages import Outage, unresponsive_periods
from zincvale.fleet.invariants.rows import IntentRead, ReadinessPolled

NUMBER = 10
TITLE = "a restart serves the newest version within 12 s"

SERVES_WITHIN_S = 12.0
RESTARTING_KINDS = frozenset({"restart", "kill", "power-loss"})
"""Kinds of faults after which the same daemon restarts with the data that it had synced."""


def check(evidence: Evidence) -> CheckResult:
    """Check that restarted cores serve the newest acknowledged version and nodes become ready."""
    result = CheckResult(NUMBER, TITLE)
    acked = acknowledged_orders(operator_orders(evidence))
    unresponsive = unresponsive_periods(evidence)
    seats = evidence.expectations.seat_by_core
    daemons = {*seats, *evidence.expectations.zone_by_member}
    for outage in unresponsive:
        is_restart = outage.kind in RESTARTING_KINDS and not math.isinf(outage.end)
        if not is_restart or outage.target not in daemons:
            continue
        since = _majority_since(outage.end, unresponsive, seats)
        deadline = since + SERVES_WITHIN_S
        reason = _reason_not_checkable(outage, deadline, unresponsive, seats, evidence.end_t())
        if reason:
            result.not_checked.append(f"{outage.target} at {outage.end:.1f}: {reason}")
        elif outage.target in seats:
            _check_core(evidence, result, outage, since, acked)
        else:
            _check_node(evidence, result, outage, since)
    if result.facts:
        most = max(
            (sum(change.t <= outage.start for change in acked) for outage in unresponsive),
            default=0,
        )
        result.not_checked.append(f"at most {most} changes came before a restart in this run")
    return result


def _check_core(
    evidence: Evidence,
    result: CheckResult,
    outage: Outage,
    since: float,
    acked: list[AcknowledgedOrder],
) -> None:
    expected = newest_acknowledged_version(acked, outage.end)
    result.facts += 1
    reads = [
        read
        for read in evidence.rows_of(IntentRead)
        if read.member == outage.target
        and outage.end <= read.t <= since + SERVES_WITHIN_S
        and read.status == HTTP_OK
    ]
    if any((read.version or 0) >= expected for read in reads):
        return
    shown = max((read.version or 0 for read in reads), default=None)
    result.add_breach(
        outage.target,
        since + SERVES_WITHIN_S,
        f"after {outage.kind} served version {shown}, not {expected}, "
        f"within {SERVES_WITHIN_S:.0f} s",
    )


def _check_node(evidence: Evidence, result: CheckResult, outage: Outage, since: float) -> None:
    result.facts += 1
    for poll in evidence.rows_of(ReadinessPolled):
        in_time = outage.end <= poll.t <= since + SERVES_WITHIN_S
        if poll.member == outage.target and in_time and poll.status == HTTP_OK:
            return
    result.add_breach(
        outage.target,
        since + SERVES_WITHIN_S,
        f"was not ready within {SERVES_WITHIN_S:.0f} s after {outage.kind}",
    )


def _majority_since(start: float, unresponsive: list[Outage], seats: dict[str, str]) -> float:
    """Return the first time from `start` on at which a majority of the cores was up."""
    moments = sorted({start, *(outage.end for outage in unresponsive if outage.end > start)})
    return next(
        (moment for moment in moments if _is_majority_up(moment, unresponsive, seats)), math.inf
    )


def _is_majority_up(t: float, unresponsive: list[Outage], seats: dict[str, str]) -> bool:
    all_seats = set(seats.values())
    down = {seats.get(outage.target) for outage in unresponsive if outage.covers(t)}
    return len(all_seats - down) > len(all_seats) // 2


def _reason_not_checkable(
    outage: Outage,
    deadline: float,
    unresponsive: list[Outage],
    seats: dict[str, str],
    end_t: float,
) -> str:
    if deadline > end_t:
        return "the run ended before its 12 s were over, or no majority of cores was up"
    for other in unresponsive:
        overlaps = other.start < deadline and other.end > outage.end
        if other is not outage and overlaps and other.target == outage.target:
            return f"a second fault ({other.kind}) came within its 12 s"
    moments = [other.start for other in unresponsive if outage.end < other.start < deadline]
    if not all(_is_majority_up(moment, unresponsive, seats) for moment in moments):
        return "the majority of cores was lost again within its 12 s"
    return ""
