"""Refused changes of every kind, with the error that the operator gets."""

from __future__ import annotations

from typing import Any

import testtools

from tests.controlplane.approval import verify
from tests.controlplane.samples import change, resource, small_rows
from zincvale.controlplane.intent import change_body
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.model.errors import BodyTooLargeError, ZincvaleError

ROUTE = {"path": "/v1/new", "pool": "chat"}
MODEL = {"weight_bytes": 10, "store": "weights", "pool": "chat"}
ADAPTER = {"base_model": "base-1", "weight_bytes": 10, "store": "weights"}
STORE = {"address": "127.0.0.9:7001"}

REFUSED: list[tuple[str, Any]] = [
    ("unknown field", ("Route/new", {**ROUTE, "dead_line_ms": 5})),
    ("unknown field without a near name", ("Zone/zone-c", {"colour": "red"})),
    ("missing field", ("Route/new", {"path": "/v1/new"})),
    ("text for a switch", ("Server/s1", {"drained": "false"})),
    ("number for a switch", ("Zone/zone-a", {"evacuated": 1})),
    ("text for a number", ("Model/new", {**MODEL, "weight_bytes": "10"})),
    ("fraction for a whole number", ("Model/new", {**MODEL, "weight_bytes": 1.5})),
    ("switch for a number", ("Model/new", {**MODEL, "weight_bytes": True})),
    ("number out of range", ("Model/new", {**MODEL, "weight_bytes": 2**63})),
    ("text for a list", ("Route/new", {**ROUTE, "models": "base-1"})),
    ("number in a list of names", ("Route/new", {**ROUTE, "models": [1]})),
    ("unknown choice", ("Route/new", {**ROUTE, "stake": "hig"})),
    ("list for a spec", ("Zone/zone-a", [])),
    ("zero size", ("Model/new", {**MODEL, "weight_bytes": 0})),
    ("negative adapter size", ("Adapter/new", {**ADAPTER, "weight_bytes": -1})),
    ("size beyond reason", ("Model/new", {**MODEL, "weight_bytes": 2**60})),
    ("negative replicas", ("Model/new", {**MODEL, "min_replicas": -1})),
    ("no concurrency", ("Pool/chat", {"max_concurrent_per_server": 0})),
    ("negative rate", ("Pool/chat", {"max_requests_per_second_per_server": -0.5})),
    ("unknown policy", ("Pool/chat", {"policies": ["least-loded"]})),
    ("repeated policy", ("Pool/chat", {"policies": ["slow-start", "slow-start"]})),
    ("deadline of zero", ("Route/new", {**ROUTE, "deadline_ms": 0})),
    ("deadline beyond a day", ("Route/new", {**ROUTE, "deadline_ms": 10**9})),
    ("path with a query", ("Route/new", {**ROUTE, "path": "/v1/new?x=1"})),
    ("path without a slash", ("Route/new", {**ROUTE, "path": "v1"})),
    ("reserved path", ("Route/new", {**ROUTE, "path": "/ready"})),
    ("path of another route", ("Route/new", {**ROUTE, "path": "/v1/quotes"})),
    ("host name of a store", ("Store/new", {"address": "store.local:80"})),
    ("port out of range", ("Store/new", {"address": "127.0.0.1:65536"})),
    ("address of another store", ("Store/new", {"address": "127.0.0.9:7000"})),
    ("no bandwidth", ("Store/new", {**STORE, "bytes_per_second": 0})),
    ("no loads at once", ("Store/new", {**STORE, "max_concurrent_loads": 0})),
    ("dangling pool", ("Route/new", {**ROUTE, "pool": "chatt"})),
    ("dangling store", ("Model/new", {**MODEL, "store": "elsewhere"})),
    ("dangling base model", ("Adapter/new", {**ADAPTER, "base_model": "base-3"})),
    ("dangling model of a route", ("Route/new", {**ROUTE, "models": ["nothing-like-it"]})),
    ("adapter on an adapter", ("Adapter/new", {**ADAPTER, "base_model": "tone-1"})),
    ("adapter on itself", ("Adapter/tone-1", {"base_model": "tone-1"})),
    ("model in a lookup pool", ("Model/new", {**MODEL, "pool": "bins"})),
    ("stream of lookups", ("Route/lookup", {"stream": True})),
    ("models of lookups", ("Route/lookup", {"models": ["base-1"]})),
    ("pool turned to lookups", ("Pool/chat", {"kind": "lookup"})),
    ("model and adapter of one name", ("Adapter/base-2", ADAPTER)),
    ("adapter and model of one name", ("Model/tone-1", MODEL)),
    ("delete a referenced pool", ("Pool/bins", None)),
    ("delete a referenced store", ("Store/weights", None)),
    ("delete a referenced base model", ("Model/base-1", None)),
    ("required field removed by null", ("Model/base-1", {"store": None})),
    ("unknown kind", ("Rout/new", ROUTE)),
    ("kind in lower case", ("route/new", ROUTE)),
    ("name with a slash", ("Zone/a/b", {})),
    ("name too long", ("Zone/" + "z" * 129, {})),
    ("empty name", ("Zone/", {})),
]

MALFORMED = [
    ("not JSON", b'{"mode": "merge", "resources": ['),
    ("not UTF-8", b'{"mode": "merge\xff"}'),
    ("not an object", b"[]"),
    ("no resources", b'{"mode": "merge"}'),
    ("unknown mode", b'{"mode": "patch", "resources": []}'),
    ("unknown field of the change", b'{"mode": "merge", "resources": [], "force": true}'),
    ("resource without kind", b'{"resources": [{"name": "x", "spec": {}}]}'),
    ("resource without name", b'{"resources": [{"kind": "Zone", "spec": {}}]}'),
    ("resource that is text", b'{"resources": ["Zone"]}'),
    ("unknown field of a resource", b'{"resources": [{"kind": "Zone", "name": "x", "sepc": {}}]}'),
    ("declared status", b'{"resources": [{"kind": "Zone", "name": "x", "status": {}}]}'),
    ("number as a name", b'{"resources": [{"kind": "Zone", "name": 7, "spec": {}}]}'),
    ("replace without spec", b'{"mode": "replace", "resources": [{"kind": "Zone", "name": "x"}]}'),
    (
        "resource twice",
        change("merge", resource("Zone/x", {}), resource("Zone/x", {"evacuated": True})),
    ),
    (
        "adapters in a cycle",
        change(
            "merge",
            resource("Adapter/up", {**ADAPTER, "base_model": "down"}),
            resource("Adapter/down", {**ADAPTER, "base_model": "up"}),
        ),
    ),
    (
        "model moved away from its route",
        change("merge", resource("Pool/other", {}), resource("Model/base-1", {"pool": "other"})),
    ),
]

REDUCER = IntentReducer(known_policies=frozenset({"least-loaded", "slow-start"}))


def refusal(rows: dict[str, bytes], body: bytes) -> ZincvaleError | None:
    """Return the error with which a change is refused; None if it is accepted."""
    try:
        REDUCER.changed_rows(rows, body)
    except ZincvaleError as error:
        return error
    return None


class RefusalTest(testtools.TestCase):
    def test_every_refusal_names_resource_field_and_remedy(self) -> None:
        rows = small_rows()
        untouched = dict(rows)
        bodies = [(title, change("merge", resource(*edit))) for title, edit in REFUSED]
        lines = []
        for title, body in [*bodies, *MALFORMED]:
            error = refusal(rows, body)
            self.assertIsNotNone(error, title)
            assert error is not None
            lines += [f"{title}:", f"  {error.kind}: {error.problem}", f"  remedy: {error.remedy}"]
        self.assertEqual(untouched, rows)
        verify(self, "refused_changes", "\n".join(lines))

    def test_one_invalid_resource_refuses_the_complete_change(self) -> None:
        body = change("merge", resource("Zone/new", {}), resource("Zone/zone-a", {"evacuated": 1}))
        self.assertIsNotNone(refusal(small_rows(), body))

    def test_a_change_beyond_the_size_limit_is_refused(self) -> None:
        error = refusal({}, b" " * (change_body.MAX_CHANGE_BYTES + 1))
        self.assertIsInstance(error, BodyTooLargeError)
