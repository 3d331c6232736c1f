"""Invariant 7: a draining server receives nothing after 3 s, an evacuated zone after 5 s.

Nothing may arrive at the servers of an evacuated zone, and callers must not be handed its nodes.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Any

import attrs

from zincvale.fleet.invariants.evidence import Evidence
from zincvale.fleet.invariants.findings import CheckResult
from zincvale.fleet.invariants.operations import (
    Acknowledged,
    OperatorOrder,
    acknowledged,
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
"""After a freeze or cut, bytes sent before it may still arrive for this long."""


@attrs.frozen
class Closed:
    """A server or zone that must receive nothing from `start` until `end`."""

    kind: str
    name: str
    field: str
    within_s: float
    start: float
    end: float


@attrs.frozen
class Arrival:
    """One request that reached `server`: a back-end server, or a node from a caller."""

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
    zone_by_server |= {row.server_id: row.zone for row in evidence.of(ServerStarted)}
    sent_by_request = {sent.request_id: sent.t for sent in evidence.of(RequestSent)}
    faults = outages(evidence)
    delayed = 0
    for closed in closures:
        if closed.start >= min(closed.end, evidence.end_t()):
            result.not_checked.append(f"{closed.kind} {closed.name} was reopened or the run ended")
            continue
        result.facts += 1
        for arrival in arrivals:
            if not _is_inside(closed, arrival, zone_by_server):
                continue
            sent_t = sent_by_request.get(arrival.request_id, math.inf)
            if _may_have_been_delayed(arrival, sent_t, closed, faults):
                delayed += 1
                continue
            _breach(result, closed, arrival)
    if delayed:
        result.not_checked.append(f"{delayed} arrivals may have been sent before a freeze or cut")
    return result


def _breach(result: CheckResult, closed: Closed, arrival: Arrival) -> None:
    late_s = arrival.t - (closed.start - closed.within_s)
    result.breach(
        arrival.server,
        arrival.t,
        f"received {arrival.request_id} {late_s:.1f} s after "
        f"{closed.kind} {closed.name} was {closed.field}",
    )


def _is_inside(closed: Closed, arrival: Arrival, zone_by_server: dict[str, str]) -> bool:
    if not closed.start < arrival.t < closed.end:
        return False
    if closed.kind == "Server":
        return arrival.server == closed.name
    return zone_by_server.get(arrival.server) == closed.name


def _may_have_been_delayed(
    arrival: Arrival, sent_t: float, closed: Closed, faults: list[Outage]
) -> bool:
    """Whether a fault on the link can have delayed this arrival from before the deadline.

    Callers go on with the nodes they know while the platform is away.
    """
    if arrival.is_at_node:
        return any(
            fault.target == PLATFORM and fault.start <= arrival.t and fault.end > closed.start
            for fault in faults
        )
    if sent_t >= closed.start:
        return False
    for fault in faults:
        on_the_way = fault.target == arrival.server or fault.kind in LINK_KINDS
        spans_deadline = fault.start <= closed.start and fault.end <= arrival.t
        if on_the_way and spans_deadline and arrival.t - fault.end < DELAYED_ARRIVAL_S:
            return True
    return False


def _arrivals(evidence: Evidence) -> list[Arrival]:
    rows: list[RequestRan | RequestRefused] = [
        *evidence.of(RequestRan),
        *evidence.of(RequestRefused),
    ]
    at_servers = [Arrival(row.t, row.server_id, row.request_id) for row in rows]
    at_nodes = [Arrival(row.t, row.node, row.request_id, True) for row in evidence.of(RequestSent)]
    return at_servers + at_nodes


def _closures(orders: list[OperatorOrder]) -> Iterator[Closed]:
    for item in acknowledged(orders):
        for resource in item.order.resources:
            kind, name = str(resource.get("kind")), str(resource.get("name"))
            field = {"Server": "drained", "Zone": "evacuated"}.get(kind)
            if field is None or not (resource.get("spec") or {}).get(field):
                continue
            within_s = DRAIN_WITHIN_S if kind == "Server" else EVACUATION_WITHIN_S
            end = _reopened_t(orders, item, kind, name, field)
            yield Closed(kind, name, field, within_s, item.t + within_s, end)


def _reopened_t(
    orders: list[OperatorOrder], closed: Acknowledged, kind: str, name: str, field: str
) -> float:
    """Return the first moment at which a change that reopens it may be in force."""
    times = [math.inf]
    for order in orders:
        if order.rejected or not _reopens(order, kind, name, field):
            continue
        response = order.acknowledgement
        if response is not None and (response.version or 0) < closed.version:
            continue
        times.append(max(order.first_sent_t, closed.order.first_sent_t))
    return min(times)


def _reopens(order: OperatorOrder, kind: str, name: str, field: str) -> bool:
    mentioned = [r for r in order.resources if (r.get("kind"), r.get("name")) == (kind, name)]
    if not mentioned:
        return order.replaces_all
    spec: dict[str, Any] | None = mentioned[-1].get("spec")
    if spec is None:
        return True
    return field in spec and not spec[field] or (order.replaces_all and not spec.get(field))
