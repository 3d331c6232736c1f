"""The forwarding document: changes, conflicts, retries, reads and the derived intent."""

from __future__ import annotations

import orjson
import testtools
from returns.result import Failure, Success

from zincvale.controlplane import log_events
from zincvale.controlplane.api.messages import ApiRequest, ApiResponse, CallCore, json_response
from zincvale.controlplane.documents.api import (
    CALL_TIMEOUT_S,
    NO_VERSION,
    ChangeDocument,
    DocumentApi,
    ReadDocument,
)
from zincvale.controlplane.documents.changes import (
    DeclaredPool,
    DeclaredRoute,
    DocumentChange,
    EvacuationChange,
    encode_change,
)
from zincvale.controlplane.documents.derived_intent import (
    REQUESTS_PER_REPLICA,
    IntentDeriver,
    StoreConfig,
)
from zincvale.controlplane.documents.reducer import DocumentReducer
from zincvale.controlplane.documents.rows import DocumentDecoder, source_document
from zincvale.coordination.changes import KeyView
from zincvale.coordination.registers.change_messages import CONFLICT, IN_FORCE, ChangeResult
from zincvale.model.errors import NotFoundError
from zincvale.model.forwarding import (
    Engine,
    EngineModel,
    ForwardPool,
    ForwardRoute,
    WeightedPool,
)
from zincvale.model.machine import Log


def route(name, prefix=None, pool="p", **fields):
    split = fields.pop("split", [WeightedPool(pool)])
    spec = ForwardRoute(name, "a.example", prefix or f"/{name}/", split, **fields)
    return DeclaredRoute(spec, {"name": name, "as": "written"})


def pool(name="p"):
    return DeclaredPool(ForwardPool(name), {"name": name})


def complete_document(base, number, *routes, pools=None):
    return DocumentChange(
        base, number, True, tuple(routes), tuple(pools or [pool()]), other={"x": 1}
    )


class Document:
    """Rows that are changed by the reducer, as the register stores them."""

    def __init__(self):
        self.rows = {}

    def apply(self, change):
        result = DocumentReducer()(self.rows, encode_change(change))
        if isinstance(result, Success):
            for each in result.unwrap():
                if each.value is None:
                    self.rows.pop(each.row, None)
                else:
                    self.rows[each.row] = each.value
        return result

    def accept(self, change):
        result = self.apply(change)
        assert isinstance(result, Success), result
        return self

    def refusal(self, change):
        before = dict(self.rows)
        result = self.apply(change)
        assert isinstance(result, Failure), result
        assert self.rows == before
        return result.failure()


class ReducerTest(testtools.TestCase):
    def test_a_document_is_read_back_as_written_and_in_order(self):
        document = Document().accept(complete_document(0, 5, route("b"), route("a")))
        read = source_document(document.rows)
        self.assertEqual((5, {"x": 1}), (read.number, read.other))
        self.assertEqual(["b", "a"], [each["name"] for each in read.routes])
        self.assertEqual([{"name": "p"}], read.pools)

    def test_a_patch_changes_items_by_name_and_keeps_their_positions(self):
        document = Document().accept(complete_document(0, 5, route("a"), route("b")))
        changed = DeclaredRoute(route("a", "/new/").spec, {"name": "a", "as": "changed"})
        patch = DocumentChange(5, 9, False, (changed, route("c")), removed_routes=("b",))
        document.accept(patch)
        read = source_document(document.rows)
        self.assertEqual(["a", "c"], [each["name"] for each in read.routes])
        self.assertEqual("changed", read.routes[0]["as"])
        self.assertEqual((9, {"x": 1}), (read.number, read.other))

    def test_a_complete_document_with_a_new_first_route_changes_no_row_of_another_route(self):
        """LOST: every route after a new one was written, delivered and stored anew."""
        document = Document().accept(complete_document(0, 5, route("a"), route("b")))
        result = document.apply(complete_document(5, 6, route("new"), route("a"), route("b")))
        changed = {each.row for each in result.unwrap()}
        self.assertEqual({"route/new"}, {row for row in changed if row.startswith("route/")})
        read = source_document(document.rows)
        self.assertEqual(["new", "a", "b"], [each["name"] for each in read.routes])
        document.accept(DocumentChange(6, 7, False, (route("last"),)))
        document.accept(complete_document(7, 8, *map(route, ("a", "mid", "b", "last"))))
        read = source_document(document.rows)
        self.assertEqual(["a", "mid", "b", "last"], [each["name"] for each in read.routes])

    def test_only_one_of_two_changes_of_the_same_base_is_accepted(self):
        document = Document().accept(complete_document(0, 5, route("a")))
        document.accept(complete_document(5, 7, route("b")))
        refusal = document.refusal(complete_document(5, 8, route("c")))
        self.assertTrue(refusal.is_conflict)

    def test_a_retry_of_the_last_change_is_accepted_without_effect(self):
        change = complete_document(0, 5, route("a"))
        document = Document().accept(change)
        before = dict(document.rows)
        document.accept(change)
        self.assertEqual(before, document.rows)

    def test_another_change_with_the_same_number_is_a_conflict(self):
        document = Document().accept(complete_document(0, 5, route("a")))
        self.assertTrue(document.refusal(complete_document(0, 5, route("b"))).is_conflict)

    def test_an_invalid_document_changes_nothing(self):
        document = Document().accept(complete_document(0, 5, route("a")))
        for change in (
            complete_document(5, 5, route("a", "/x/")),
            complete_document(5, 4, route("a", "/x/")),
            complete_document(5, 6, route("a", pool="unknown")),
            complete_document(5, 6, route("a", "/x/"), route("b", "/x/")),
            complete_document(5, 6, route("a"), route("a", "/y/")),
            complete_document(5, 6, route("a", split=[WeightedPool("p", 0.0)])),
            complete_document(
                5, 6, route("a", split=[WeightedPool("p", 2.0), WeightedPool("p", -1.0)])
            ),
            complete_document(5, 6, route("a", timeout_s=0.0)),
            DocumentChange(5, 6, False, removed_pools=("p",)),
        ):
            self.assertFalse(document.refusal(change).is_conflict, change)
        self.assertEqual(5, source_document(document.rows).number)

    def test_routes_of_a_patch_may_name_pools_of_the_same_patch(self):
        document = Document().accept(complete_document(0, 5, route("a")))
        document.accept(DocumentChange(5, 6, False, (route("b", pool="q"),), (pool("q"),)))

    def test_evacuations_are_independent_of_document_changes(self):
        document = Document().accept(complete_document(0, 5, route("a")))
        document.accept(EvacuationChange("z1", True)).accept(EvacuationChange("z1", True))
        self.assertEqual({"z1"}, DocumentDecoder().update(1, document.rows).evacuated)
        document.accept(complete_document(5, 6, route("b")))
        self.assertEqual({"z1"}, DocumentDecoder().update(2, document.rows).evacuated)
        document.accept(EvacuationChange("z1", False))
        self.assertEqual(frozenset(), DocumentDecoder().update(3, document.rows).evacuated)


class DecoderTest(testtools.TestCase):
    def test_unchanged_rows_are_not_decoded_again(self):
        document = Document().accept(complete_document(0, 5, route("a"), route("b")))
        decoder = DocumentDecoder()
        first = decoder.update(1, document.rows)
        document.accept(DocumentChange(5, 6, False, (route("a", "/x/"),)))
        second = decoder.update(2, document.rows)
        self.assertIs(first.routes["b"], second.routes["b"])
        self.assertEqual("/x/", second.routes["a"].path_prefix)
        self.assertEqual((6, 2), (second.number, second.version))


class IntentDeriverTest(testtools.TestCase):
    def test_an_engine_yields_models_adapters_and_two_stores(self):
        models = {"m": EngineModel(100, 0.5, ("a1", "a2"), 3)}
        engine = Engine(64, 1000, 300, 8, 4.0, models)
        document = Document().accept(
            complete_document(
                0,
                5,
                route("a"),
                pools=[DeclaredPool(ForwardPool("p", engine=engine), {}), pool("q")],
            )
        )
        typed = DocumentDecoder().update(3, document.rows)
        intent = IntentDeriver(StoreConfig(5.0, 1.1)).update(typed)
        self.assertEqual(["p"], list(intent.pools))
        self.assertEqual({"m/a1", "m/a2"}, set(intent.adapters))
        store = intent.stores["p"]
        self.assertEqual((2, 22, 5.0), (store.max_concurrent_loads, store.loads_per_window, 5.0))
        self.assertEqual(0, intent.stores["p/adapters"].loads_per_window)
        self.assertEqual(8, intent.pools["p"].adapter_slots)

    def requests_per_replica(self, slots: int) -> int:
        engine = Engine(slots, 1000, 300, 8, 4.0, {"m": EngineModel(100, 0.5, (), 3)})
        pools = [DeclaredPool(ForwardPool("p", engine=engine), {})]
        document = Document().accept(complete_document(0, 5, route("a"), pools=pools))
        typed = DocumentDecoder().update(3, document.rows)
        return (
            IntentDeriver(StoreConfig(5.0, 1.1)).update(typed).pools["p"].max_concurrent_per_server
        )

    def test_requests_per_replica_are_limited_below_an_engines_slots(self):
        self.assertEqual(REQUESTS_PER_REPLICA, self.requests_per_replica(slots=64))
        self.assertEqual(2, self.requests_per_replica(slots=2))


class FakeDocumentView:
    def __init__(self):
        self.view = KeyView()

    def intent_rows(self):
        return self.view


class PlainDialect:
    """`GET` reads, `PUT` changes, `POST` evacuates a zone; other methods are unknown."""

    def read(self, request):
        if request.method == "GET":
            return ReadDocument()
        if request.method == "PUT":
            return ChangeDocument(complete_document(0, 5, route("a")))
        if request.method == "POST":
            return ChangeDocument(EvacuationChange("z1", True))
        raise NotFoundError("unknown", "ask for something else")

    def document_response(self, token, document):
        return json_response(token, 200, {"number": document.number})

    def change_response(self, token, result):
        return json_response(token, 200, {"status": result.status})

    def error_response(self, token, error):
        return json_response(token, error.http_status, error.to_json())


class DocumentApiTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.view = FakeDocumentView()
        self.api = DocumentApi(self.view, PlainDialect(), "core-1/x")

    def call(self, method, token="t1"):
        return self.api.handle(ApiRequest(method, "/", {}, {}, b"", token), 0.0)

    def proposal(self, effects):
        calls = [each for each in effects if not isinstance(each, Log)]
        assert len(calls) == 1 and isinstance(calls[0], CallCore), effects
        return calls[0].message

    def test_equal_changes_have_one_idempotency_key_at_any_core(self):
        first = self.proposal(self.call("PUT"))
        other = DocumentApi(FakeDocumentView(), PlainDialect(), "core-2/y")
        again = self.proposal(other.handle(ApiRequest("PUT", "/", {}, {}, b"", "t"), 9.0))
        self.assertEqual(first.idempotency_key, again.idempotency_key)

    def test_an_evacuation_is_logged_when_it_is_read_and_when_it_has_its_result(self):
        requested = [each for each in self.call("POST") if isinstance(each, Log)]
        self.assertEqual([log_events.EVACUATION_REQUESTED], [each.number for each in requested])
        self.view.view = KeyView(3, {})
        self.api.on_core_response("t1", ChangeResult(CONFLICT, current_version=3), 0.1)
        self.api.abandon("t1")
        effects = self.api.on_core_response("t1", ChangeResult(IN_FORCE, 7), 1.5)
        responded = next(each for each in effects if isinstance(each, Log))
        self.assertEqual(log_events.EVACUATION_RESPONDED, responded.number)
        expected = {"status": IN_FORCE, "version": 7, "waited_s": 1.5, "caller_has_left": True}
        self.assertEqual(expected, {key: responded.fields[key] for key in expected})

    def test_a_read_waits_for_the_version_that_a_quorum_confirmed(self):
        self.assertEqual(NO_VERSION, self.proposal(self.call("GET")).base_version)
        confirmed = ChangeResult(CONFLICT, current_version=3)
        self.assertEqual([], self.api.on_core_response("t1", confirmed, 0.1))
        document = Document().accept(complete_document(0, 5, route("a")))
        self.view.view = KeyView(2, document.rows)
        self.assertEqual([], self.api.on_intent_changed(0.2))
        self.view.view = KeyView(3, document.rows)
        response = self.api.on_intent_changed(0.3)[0]
        self.assertEqual({"number": 5}, orjson.loads(response.body))

    def test_a_read_without_a_quorum_is_unavailable(self):
        self.call("GET")
        response = self.api.on_core_response("t1", ChangeResult("not-confirmed"), 0.1)[0]
        self.assertEqual(503, response.status)

    def test_a_change_gets_only_one_response(self):
        self.call("PUT")
        response = self.api.on_core_response("t1", ChangeResult(IN_FORCE, 1), 0.1)
        self.assertIsInstance(response[0], ApiResponse)
        self.assertEqual([], self.api.on_core_response("t1", ChangeResult(IN_FORCE, 1), 0.1))

    def test_a_call_past_its_deadline_is_unavailable(self):
        self.call("PUT")
        self.assertEqual([], self.api.tick(CALL_TIMEOUT_S - 0.1))
        self.assertEqual(503, self.api.tick(CALL_TIMEOUT_S)[0].status)

    def test_an_unknown_call_gets_an_immediate_error(self):
        self.assertEqual(404, self.call("DELETE")[0].status)
