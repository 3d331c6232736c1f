"""Accepted changes of the intent and the rows that they result in."""

from __future__ import annotations

import testtools

from tests.controlplane.samples import SMALL_INTENT, apply_change, change, resource, small_rows
from zincvale.controlplane.intent.reducer import IntentReducer
from zincvale.model.errors import InvalidInputError


class MergeTest(testtools.TestCase):
    def test_a_merge_patches_field_by_field(self) -> None:
        rows = apply_change(
            small_rows(), change("merge", resource("Model/base-1", {"weight_bytes": 1500}))
        )
        self.assertEqual(
            b'{"min_replicas":2,"pool":"chat","store":"weights","weight_bytes":1500}',
            rows["Model/base-1"],
        )

    def test_null_resets_a_field_to_its_default(self) -> None:
        rows = apply_change(
            small_rows(), change("merge", resource("Model/base-1", {"min_replicas": None}))
        )
        self.assertNotIn(b"min_replicas", rows["Model/base-1"])

    def test_a_merge_replaces_lists_completely(self) -> None:
        rows = apply_change(
            small_rows(), change("merge", resource("Route/quotes", {"models": ["base-2"]}))
        )
        self.assertIn(b'"models":["base-2"]', rows["Route/quotes"])

    def test_a_merge_changes_no_other_rows(self) -> None:
        changed = IntentReducer().changed_rows(
            small_rows(), change("merge", resource("Zone/zone-a", {"evacuated": True}))
        )
        self.assertEqual({"Zone/zone-a": b'{"evacuated":true}'}, changed)

    def test_a_merge_without_effect_changes_no_rows(self) -> None:
        body = change("merge", *SMALL_INTENT, resource("Zone/never-was", None))
        self.assertEqual({}, IntentReducer().changed_rows(small_rows(), body))

    def test_a_change_may_add_or_delete_a_reference_with_its_target(self) -> None:
        body = change(
            "merge",
            resource("Adapter/tone-1", None),
            resource("Model/base-1", None),
            resource("Route/quotes", {"models": ["base-3"]}),
            resource("Model/base-3", {"weight_bytes": 1, "store": "weights", "pool": "chat"}),
        )
        rows = apply_change(small_rows(), body)
        self.assertNotIn("Model/base-1", rows)
        self.assertIn("Model/base-3", rows)

    def test_two_routes_may_swap_their_paths(self) -> None:
        body = change(
            "merge",
            resource("Route/quotes", {"path": "/v1/bins"}),
            resource("Route/lookup", {"path": "/v1/quotes"}),
        )
        self.assertIn(b"/v1/quotes", apply_change(small_rows(), body)["Route/lookup"])


class ReplaceTest(testtools.TestCase):
    def test_replace_deletes_resources_that_it_omits(self) -> None:
        changed = IntentReducer().changed_rows(small_rows(), change("replace", *SMALL_INTENT[:-1]))
        self.assertEqual({"Route/lookup": None}, changed)

    def test_replace_resets_omitted_fields_to_their_defaults(self) -> None:
        rows = apply_change(
            small_rows(),
            change(
                "replace",
                *[item for item in SMALL_INTENT if item["name"] != "chat"],
                resource("Pool/chat", {}),
            ),
        )
        self.assertEqual(b"{}", rows["Pool/chat"])

    def test_replace_refuses_to_omit_a_referenced_resource(self) -> None:
        body = change("replace", *[item for item in SMALL_INTENT if item["kind"] != "Store"])
        error = self.assertRaises(
            InvalidInputError, IntentReducer().changed_rows, small_rows(), body
        )
        self.assertEqual(
            "Store weights cannot be deleted: Adapter tone-1 names it in spec.store; "
            "delete or change Adapter tone-1 in the same change",
            str(error),
        )
