"""A small intent from which tests start, and functions that build changes of it."""

from __future__ import annotations

from typing import Any

import orjson

from zincvale.controlplane.intent.reducer import IntentReducer

SMALL_INTENT: list[dict[str, Any]] = [
    {"kind": "Zone", "name": "zone-a", "spec": {}},
    {"kind": "Zone", "name": "zone-b", "spec": {}},
    {"kind": "Pool", "name": "chat", "spec": {"max_queue": 64}},
    {"kind": "Pool", "name": "bins", "spec": {"kind": "lookup"}},
    {"kind": "Store", "name": "weights", "spec": {"address": "127.0.0.9:7000"}},
    {
        "kind": "Model",
        "name": "base-1",
        "spec": {"weight_bytes": 1000, "store": "weights", "pool": "chat", "min_replicas": 2},
    },
    {
        "kind": "Model",
        "name": "base-2",
        "spec": {"weight_bytes": 2000, "store": "weights", "pool": "chat"},
    },
    {
        "kind": "Adapter",
        "name": "tone-1",
        "spec": {"base_model": "base-1", "weight_bytes": 10, "store": "weights"},
    },
    {
        "kind": "Route",
        "name": "quotes",
        "spec": {"path": "/v1/quotes", "pool": "chat", "at_most_once": True, "models": ["base-1"]},
    },
    {"kind": "Route", "name": "lookup", "spec": {"path": "/v1/bins", "pool": "bins"}},
]


def change(mode: str, *resources: dict[str, Any]) -> bytes:
    """Return an encoded change of `resources`."""
    return orjson.dumps({"mode": mode, "resources": list(resources)})


def resource(row: str, spec: dict[str, Any] | None) -> dict[str, Any]:
    """Return the resource with the row id `Kind/name` as part of a change."""
    kind, _, name = row.partition("/")
    return {"kind": kind, "name": name, "spec": spec}


def small_rows() -> dict[str, bytes]:
    """Return the rows of the small intent."""
    return apply_change({}, change("replace", *SMALL_INTENT))


def apply_change(rows: dict[str, bytes], body: bytes) -> dict[str, bytes]:
    """Return `rows` after a change that the reducer must accept."""
    after = dict(rows)
    for row, content in IntentReducer().changed_rows(rows, body).items():
        if content is None:
            after.pop(row, None)
        else:
            after[row] = content
    return after
