"""Invariant 7: a draining server receives nothing after 3 s, an evacuated zone after 5 s.

No request may arrive at the servers of an evacuated zone, and callers must not be directed to its
nodes.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

import attrs

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.operations import (
    AcknowledgedOrder,
    OperatorOrder,
    acknowledged_orders,
    operator_orders,
)
from zincvale.fleet.invariants.outages import Outage, outages
from zincvale.fleet.invariants.rows import (
    RequestRan,
    RequestRefused,
    RequestSent,
    ServerStarted,
)

NUMBER = 7
TITLE = "a draining server receives nothing after 3 s, an evacuated zone after 5 s"

DRAIN_WITHIN_S = 3.0
EVACUATION_WITHIN_S = 5.0
PLATFORM = "platform"
LINK_KINDS = frozenset({"cut", "delay", "slow"})
DELAYED_ARRIVAL_S = 2.0
"""Time after the end of a freeze or cut in which bytes sent before it may still arrive."""


@attrs.frozen
class Closure:
    """A drained server or evacuated zone that must receive nothing from `start` until `end`."""

    kind: str
    name: str
    field: str
    within_s: float
    start: float
    end: float


@attrs.frozen
class Arrival:
    """One request that arrived at `server`: a back-end server, or the node that a caller chose."""

    t: float
    server: str
    request_id: str
    is_at_node: bool = False


def check(evidence: Evidence) -> CheckResult:
    """Check every arrival at a server against the acknowledged drains and evacuations."""
    result = CheckResult(NUMBER, TITLE)
    closures = list(_closures(operator_orders(evidence)))
    arrivals = _arrivals(evidence)
    zone_by_server = dict(evidence.expectations.zone_by_member)
    zone_by_server |= {row.server_id: row.zone for row in evidence.rows_of(ServerStarted)}
    sent_by_request = {sent.request_id: sent.t for sent in evidence.rows_of(RequestSent)}
    faults = outages(evidence)
    delayed = 0
    for closure in closures:
        if closure.start >= min(closure.end, evidence.end_t()):
            result.not_checked.append(
                f"{closure.kind} {closure.name} was reopened or the run ended"
            )
            continue
        result.facts += 1
        for arrival in arrivals:
            if not _arrives_while_closed(closure, arrival, zone_by_server):
                continue
            sent_t = sent_by_request.get(arrival.request_id, math.inf)
            if _may_have_been_delayed(arrival, sent_t, closure, faults):
                delayed += 1
                continue
            _add_breach(result, closure, arrival)
    if delayed:
        result.not_checked.append(f"{delayed} arrivals may have been sent before a freeze or cut")
    return result


def _add_breach(result: CheckResult, closure: Closure, arrival: Arrival) -> None:
    late_s = arrival.t - (closure.start - closure.within_s)
    result.add_breach(
        arrival.server,
        arrival.t,
        f"received {arrival.request_id} {late_s:.1f} s after "
        f"{closure.kind} {closure.name} was {closure.field}",
    )


def _arrives_while_closed(
    closure: Closure, arrival: Arrival, zone_by_server: dict[str, str]
) -> bool:
    if not closure.start < arrival.t < closure.end:
        return False
    if closure.kind == "Server":
        return arrival.server == closure.name
    return zone_by_server.get(arrival.server) == closure.name


def _may_have_been_delayed(
    arrival: Arrival, sent_t: float, closure: Closure, faults: list[Outage]
) -> bool:
    """Whether a fault can explain an arrival after the deadline as a delayed one.

    Callers keep using the nodes that they know while the platform is unavailable.
    """
    if arrival.is_at_node:
        return any(
            fault.target == PLATFORM and fault.start <= arrival.t and fault.end > closure.start
            for fault in faults
        )
    if sent_t >= closure.start:
        return False
    for fault in faults:
        on_the_way = fault.target == arrival.server or fault.kind in LINK_KINDS
        spans_deadline = fault.start <= closure.start and fault.end <= arrival.t
        if on_the_way and spans_deadline and arrival.t - fault.end < DELAYED_ARRIVAL_S:
            return True
    return False


def _arrivals(evidence: Evidence) -> list[Arrival]:
    rows: list[RequestRan | RequestRefused] = [
        *evidence.rows_of(RequestRan),
        *evidence.rows_of(RequestRefused),
    ]
    at_servers = [Arrival(row.t, row.server_id, row.request_id) for row in rows]
    at_nodes = [
        Arrival(row.t, row.node, row.request_id, True) for row in evidence.rows_of(RequestSent)
    ]
    return at_servers + at_nodes


def _closures(orders: list[OperatorOrder]) -> Iterator[Closure]:
    for item in acknowledged_orders(orders):
        for resource in item.order.resources:
            kind, name = str(resource.get("kind")), str(resource.get("name"))
            field = {"Server": "drained", "Zone": "evacuated"}.get(kind)
            if field is None or not (resource.get("spec") or {}).get(field):
                continue
            within_s = DRAIN_WITHIN_S if kind == "Server" else EVACUATION_WITHIN_S
            end = _reopened_t(orders, item, kind, name, field)
            yield Closure(kind, name, field, within_s, item.t + within_s, end)


def _reopened_t(
    orders: list[OperatorOrder], closing: AcknowledgedOrder, kind: str, name: str, field: str
) -> float:
    """Return the earliest time at which a change that reopens the resource may be in force."""
    times = [math.inf]
    for order in orders:
        if order.is_rejected or not _reopens(order, kind, name, field):
            continue
        response = order.acknowledgement
        if response is not None and (response.version or 0) < closing.version:
            continue
        times.append(max(order.first_sent_t, closing.order.first_sent_t))
    return min(times)


def _reopens(order: OperatorOrder, kind: str, name: str, field: str) -> bool:
    mentioned = [r for r in order.resources if (r.get("kind"), r.get("name")) == (kind, name)]
    if not mentioned:
        return order.replaces_all
    spec: dict[str, Any] | None = mentioned[-1].get("spec")
    if spec is None:
        return True
    return field in spec and not spec[field] or (order.replaces_all and not spec.get(field))
