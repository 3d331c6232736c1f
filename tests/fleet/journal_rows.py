"""Synthetic journals for the invariant tests."""

from __future__ import annotations

from typing import Any

import orjson

from zincvale.fleet.invariants.evidence import (
    Evidence,
    Expectations,
    RoutePromise,
    StoreLimit,
    evidence_of,
)
from zincvale.fleet.invariants.journals import parse_row
from zincvale.fleet.invariants.rows import Row

EXPECTATIONS = Expectations(
    routes={
        "quotes": RoutePromise(at_most_once=True),
        "chats": RoutePromise(stream=True),
    },
    stores={"store-1": StoreLimit(bytes_per_second=100, max_concurrent_loads=2)},
    seat_by_core={
        "core-a": "core-a",
        "core-b": "core-b",
        "core-c": "core-c",
        "core-c-r1": "core-c",
    },
    zone_by_member={"node-1": "zone-a", "node-2": "zone-b"},
    member_by_host={"127.1.1.1": "core-a", "127.1.1.2": "core-b"},
)


def row(t: float, event: str, source: str = "journal", **fields: Any) -> Row:
    """Return the typed row that is parsed from a journal line with these fields."""
    line = orjson.dumps({"t": t, "event": event, **fields})
    parsed = parse_row(line, source)
    assert parsed is not None, event
    return parsed


def evidence(*rows: Row, end_t: float = 100.0) -> Evidence:
    """Return the evidence of a run that ended at `end_t`."""
    return evidence_of([*rows, row(end_t, "run-end")], EXPECTATIONS)


def change(
    sent_t: float,
    order_id: str,
    resources: list[dict[str, Any]],
    base_version: int | None = None,
    responses: tuple[tuple[float, int, int | None], ...] = (),
    mode: str = "merge",
) -> list[Row]:
    """Return the rows of one order: a send and a response (`t`, status, version) per attempt."""
    body = {"baseVersion": base_version, "mode": mode, "resources": resources}
    rows: list[Row] = []
    for t, status, version in responses or ((sent_t, 0, None),):
        sent = min(sent_t, t)
        rows.append(row(sent, "apply", order_id=order_id, base_version=base_version, change=body))
        rows.append(row(t, "applied", order_id=order_id, status=status, version=version, body=None))
    return rows


def marker(number: int) -> list[dict[str, Any]]:
    """Return the resources that set the marker route."""
    spec = {"path": f"/v1/fleet-marker/{number}", "pool": "lookup"}
    return [{"kind": "Route", "name": "fleet-marker", "spec": spec}]
