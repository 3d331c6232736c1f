"""Properties of merge patches, the reducer and the incremental decoder under random changes."""

from __future__ import annotations

from typing import Any

import orjson
import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.controlplane.samples import change, resource
from zincvale.controlplane.intent.merge_patch import apply_merge_patch
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.controlplane.intent.row_codec import IntentDecoder, decode_intent, encode_intent
from zincvale.model.errors import ZincvaleError

Rows = dict[str, bytes]

FIXED = settings(derandomize=True, max_examples=120, deadline=None, database=None)

RFC_7396_CASES: list[tuple[Any, Any, Any]] = [
    ({"a": "b"}, {"a": "c"}, {"a": "c"}),
    ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
    ({"a": "b"}, {"a": None}, {}),
    ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
    ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
    ({"a": "c"}, {"a": ["b"]}, {"a": ["b"]}),
    ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
    ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
    (["a", "b"], ["c", "d"], ["c", "d"]),
    ({"a": "b"}, ["c"], ["c"]),
    ({"a": "foo"}, None, None),
    ({"a": "foo"}, "bar", "bar"),
    ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
    ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
    ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
]

SCALARS = st.one_of(st.booleans(), st.integers(-3, 3), st.sampled_from(["x", "y"]))
OBJECTS = st.recursive(
    st.dictionaries(st.sampled_from("abc"), SCALARS, max_size=3),
    lambda inner: st.dictionaries(st.sampled_from("abc"), inner | SCALARS, max_size=3),
    max_leaves=6,
)

MODELS = [f"m{number}" for number in range(3)]
POOLS = ["p0", "p1"]
STORES = ["s0", "s1"]


def names_of(values: list[str]) -> st.SearchStrategy[str]:
    return st.sampled_from([*values, "nowhere"])


def optional(**fields: st.SearchStrategy[Any]) -> st.SearchStrategy[dict[str, Any]]:
    nullable = {name: st.one_of(values, st.none()) for name, values in fields.items()}
    return st.fixed_dictionaries({}, optional=nullable)


POOL_SPEC = optional(
    kind=st.sampled_from(["lookup", "language-model"]), max_queue=st.integers(-1, 2)
)
STORE_SPEC = optional(
    address=st.sampled_from(["127.0.0.1:1", "127.0.0.1:2"]), bytes_per_second=st.integers(0, 2)
)
MODEL_SPEC = optional(weight_bytes=st.integers(0, 3), store=names_of(STORES), pool=names_of(POOLS))
ADAPTER_SPEC = optional(
    weight_bytes=st.integers(0, 3), store=names_of(STORES), base_model=names_of(MODELS)
)
ROUTE_SPEC = optional(
    path=st.sampled_from(["/a", "/b"]),
    pool=names_of(POOLS),
    stream=st.booleans(),
    models=st.lists(names_of(MODELS), max_size=2),
)

EDITS = st.one_of(
    *[
        st.builds(
            lambda kind, name, spec: resource(f"{kind}/{name}", spec),
            st.just(kind),
            st.sampled_from(names),
            st.one_of(st.none(), spec) if kind != "Pool" else st.one_of(spec, spec, st.none()),
        )
        for kind, names, spec in (
            ("Pool", POOLS, POOL_SPEC),
            ("Store", STORES, STORE_SPEC),
            ("Model", MODELS, MODEL_SPEC),
            ("Adapter", ["a0", "a1", "m0"], ADAPTER_SPEC),
            ("Route", ["r0", "r1"], ROUTE_SPEC),
        )
    ]
)

INITIAL_ROWS: Rows = {
    "Pool/p0": b"{}",
    "Pool/p1": b"{}",
    "Store/s0": b'{"address":"127.0.0.1:1"}',
    "Model/m0": b'{"pool":"p0","store":"s0","weight_bytes":1}',
    "Model/m1": b'{"pool":"p0","store":"s0","weight_bytes":1}',
    "Adapter/a0": b'{"base_model":"m0","store":"s0","weight_bytes":1}',
    "Route/r0": b'{"models":["m0"],"path":"/a","pool":"p0"}',
}

CHANGES = st.lists(
    st.builds(change, st.just("merge"), EDITS, EDITS) | st.builds(change, st.just("merge"), EDITS),
    max_size=8,
)


def rows_after(rows: Rows, body: bytes) -> Rows | None:
    """Return the rows after a change, None when it is refused."""
    try:
        changed = IntentReducer().changed_rows(rows, body)
    except ZincvaleError:
        return None
    after = {row: content for row, content in rows.items() if row not in changed}
    after.update({row: content for row, content in changed.items() if content is not None})
    return after


def as_resources(rows: Rows) -> list[dict[str, Any]]:
    return [resource(row, orjson.loads(content)) for row, content in rows.items()]


def broken_rules(rows: Rows) -> list[str]:
    """Return the rules that rows break; the rules are implemented independently of the reducer."""
    intent = decode_intent(1, rows)
    broken = []
    for name, route in intent.routes.items():
        if route.pool not in intent.pools:
            broken.append(f"route {name} has no pool")
        broken += [f"route {name} names {m}" for m in route.models if m not in intent.models]
        broken += [
            f"route {name} and model {model} are in two pools"
            for model in route.models
            if model in intent.models and intent.models[model].pool != route.pool
        ]
    for name, model in intent.models.items():
        if model.pool not in intent.pools or intent.pools[model.pool].kind.value == "lookup":
            broken.append(f"model {name} has no pool for models")
        if model.store not in intent.stores or model.weight_bytes < 1:
            broken.append(f"model {name} has no store or weight")
    for name, adapter in intent.adapters.items():
        if adapter.base_model not in intent.models or adapter.store not in intent.stores:
            broken.append(f"adapter {name} has no base model or store")
        if name in intent.models:
            broken.append(f"{name} is a model and an adapter")
    if len({route.path for route in intent.routes.values()}) < len(intent.routes):
        broken.append("two routes have one path")
    if len({store.address for store in intent.stores.values()}) < len(intent.stores):
        broken.append("two stores have one address")
    return broken


class MergePatchTest(testtools.TestCase):
    def test_examples_of_rfc_7396(self) -> None:
        for target, patch, result in RFC_7396_CASES:
            self.assertEqual(result, apply_merge_patch(target, patch), (target, patch))

    @FIXED
    @given(OBJECTS, OBJECTS)
    def test_applying_a_patch_twice_equals_applying_it_once(self, target: Any, patch: Any) -> None:
        once = apply_merge_patch(target, patch)
        self.assertEqual(once, apply_merge_patch(once, patch))

    @FIXED
    @given(OBJECTS, OBJECTS)
    def test_a_patch_does_not_modify_its_arguments(self, target: Any, patch: Any) -> None:
        before = orjson.dumps([target, patch])
        apply_merge_patch(target, patch)
        self.assertEqual(before, orjson.dumps([target, patch]))


class ReducerPropertyTest(testtools.TestCase):
    @FIXED
    @given(CHANGES)
    def test_accepted_changes_never_break_a_rule(self, changes: list[bytes]) -> None:
        rows = INITIAL_ROWS
        for body in changes:
            rows = rows_after(rows, body) or rows
            self.assertEqual([], broken_rules(rows))

    @FIXED
    @given(CHANGES)
    def test_a_merge_sent_again_changes_nothing(self, changes: list[bytes]) -> None:
        rows = INITIAL_ROWS
        for body in changes:
            after = rows_after(rows, body)
            if after is not None:
                self.assertEqual({}, IntentReducer().changed_rows(after, body))
                rows = after

    @FIXED
    @given(CHANGES, CHANGES)
    def test_a_replace_reproduces_the_rows_of_any_merges(
        self, changes: list[bytes], other_changes: list[bytes]
    ) -> None:
        rows, other_rows = INITIAL_ROWS, INITIAL_ROWS
        for body in changes:
            rows = rows_after(rows, body) or rows
        for body in other_changes:
            other_rows = rows_after(other_rows, body) or other_rows
        body = change("replace", *as_resources(rows))
        self.assertEqual(rows, rows_after(other_rows, body))
        self.assertEqual(rows, rows_after({}, body))

    @FIXED
    @given(CHANGES)
    def test_incremental_and_complete_decoding_agree(self, changes: list[bytes]) -> None:
        decoder = IntentDecoder()
        rows = INITIAL_ROWS
        for version, body in enumerate(changes):
            rows = rows_after(rows, body) or rows
            intent = decoder.update(version, rows)
            self.assertEqual(decode_intent(version, rows), intent)
            self.assertEqual(intent, decode_intent(version, encode_intent(intent)))


class DecoderTest(testtools.TestCase):
    def test_only_changed_rows_are_decoded_again(self) -> None:
        decoder = IntentDecoder()
        before = decoder.update(1, INITIAL_ROWS)
        after = decoder.update(2, {**INITIAL_ROWS, "Pool/p1": b'{"max_queue":1}'}, ["Pool/p1"])
        self.assertIs(before.models, after.models)
        self.assertIs(before.pools["p0"], after.pools["p0"])  # type: ignore[index]
        self.assertEqual(1, after.pools["p1"].max_queue)  # type: ignore[index]

    def test_an_unreadable_row_keeps_the_last_intent(self) -> None:
        decoder = IntentDecoder()
        known = decoder.update(1, INITIAL_ROWS)
        for row, content in (
            ("Gadget/x", b"{}"),
            ("Pool", b"{}"),
            ("Pool/x", b"{"),
            ("Pool/x", b"[]"),
            ("Pool/x", b'{"added_in_a_later_release":1}'),
        ):
            rows = {"Zone/new": b"{}", **INITIAL_ROWS, row: content}
            error = self.assertRaises(ZincvaleError, decoder.update, 2, rows)
            self.assertEqual("invalid", error.kind)
            self.assertIs(known, decoder.intent)
        self.assertIn("new", decoder.update(2, {**INITIAL_ROWS, "Zone/new": b"{}"}).zones)
