"""An attempt of an order about an evacuation that is delayed never undoes a newer order."""

from __future__ import annotations

import testtools
from returns.result import Failure, Success

from tests.controlplane.documents.test_documents import Document, FakeDocumentView, PlainDialect
from zincvale.controlplane.api.messages import ApiRequest, ApiResponse, CallCore
from zincvale.controlplane.documents.api import BASE_READ_TIMEOUT_S, ChangeDocument, DocumentApi
from zincvale.controlplane.documents.changes import EvacuationChange
from zincvale.controlplane.documents.reducer import DocumentReducer
from zincvale.controlplane.documents.rows import DocumentDecoder, evacuation_revision
from zincvale.coordination.changes import KeyView
from zincvale.coordination.registers.change_messages import CONFLICT, IN_FORCE, ChangeResult

ZONE = "z1"
VERSION = 7


class ReturningDialect(PlainDialect):
    """Like `PlainDialect`; `DELETE` returns the zone to service."""

    def read(self, request):
        if request.method == "DELETE":
            return ChangeDocument(EvacuationChange(ZONE, False))
        return super().read(request)


def request_of(method, token="t1", **fields):
    return ApiRequest(method, "/", {}, {}, b"", token, **fields)


class SharedDocument(Document):
    """The rows of the owner, and the orders that it applied."""

    def apply_encoded(self, change):
        result = DocumentReducer()(self.rows, change)
        if isinstance(result, Failure):
            return ChangeResult(CONFLICT, problem=result.failure().problem)
        for each in result.unwrap():
            if each.value is None:
                self.rows.pop(each.row, None)
            else:
                self.rows[each.row] = each.value
        return ChangeResult(IN_FORCE, VERSION)

    @property
    def evacuated(self):
        return DocumentDecoder().update(VERSION, self.rows).evacuated


class DelayedEvacuationTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.document = SharedDocument()

    def core(self):
        view = FakeDocumentView()
        return DocumentApi(view, ReturningDialect(), "core/x"), view

    def read_base(self, core, view, now=0.1, token="t1"):
        """Complete the read of an attempt; return what the core does next."""
        view.view = KeyView(VERSION, dict(self.document.rows))
        return core.on_core_response(token, ChangeResult(CONFLICT, current_version=VERSION), now)

    def bound_change(self, method):
        """Return the change that a core proposes for an attempt that it reads now."""
        core, view = self.core()
        core.handle(request_of(method), 0.0)
        (call,) = self.read_base(core, view)
        return call.message

    def order(self, method):
        result = self.document.apply_encoded(self.bound_change(method).change)
        self.assertEqual(IN_FORCE, result.status)

    def test_a_return_to_service_that_waited_does_not_undo_a_newer_evacuation(self):
        self.order("POST")
        waiting = self.bound_change("DELETE")
        self.order("DELETE")
        self.order("POST")
        self.assertEqual(CONFLICT, self.document.apply_encoded(waiting.change).status)
        self.assertEqual({ZONE}, self.document.evacuated)

    def test_an_evacuation_that_waited_does_not_undo_a_newer_return_to_service(self):
        waiting = self.bound_change("POST")
        self.order("POST")
        self.order("DELETE")
        self.assertEqual(CONFLICT, self.document.apply_encoded(waiting.change).status)
        self.assertEqual(frozenset(), self.document.evacuated)

    def test_an_order_that_changes_nothing_outdates_the_opposite_one_that_waits(self):
        self.order("POST")
        waiting = self.bound_change("DELETE")
        self.order("POST")
        self.assertEqual(CONFLICT, self.document.apply_encoded(waiting.change).status)
        self.assertEqual({ZONE}, self.document.evacuated)

    def test_an_attempt_whose_order_was_applied_already_changes_nothing(self):
        waiting = self.bound_change("POST")
        self.order("POST")
        self.order("POST")
        revision = evacuation_revision(self.document.rows, ZONE)
        self.assertEqual(IN_FORCE, self.document.apply_encoded(waiting.change).status)
        self.assertEqual(revision, evacuation_revision(self.document.rows, ZONE))

    def test_attempts_of_one_order_on_one_base_are_one_change(self):
        first, second = self.bound_change("POST"), self.bound_change("POST")
        self.assertEqual(first.idempotency_key, second.idempotency_key)
        self.order("POST")
        self.assertNotEqual(first.idempotency_key, self.bound_change("POST").idempotency_key)

    def test_a_zone_of_an_earlier_release_has_no_revision_and_can_be_returned(self):
        self.document.rows["evacuated/z1"] = b"1"
        self.order("DELETE")
        self.assertEqual(frozenset(), self.document.evacuated)

    def test_an_outdated_attempt_is_unavailable_and_not_refused(self):
        core, view = self.core()
        core.handle(request_of("POST"), 0.0)
        self.read_base(core, view)
        effects = core.on_core_response("t1", ChangeResult(CONFLICT, problem="outdated"), 0.2)
        responses = [each for each in effects if isinstance(each, ApiResponse)]
        self.assertEqual([503], [each.status for each in responses])

    def test_an_order_whose_base_is_known_too_late_is_not_proposed(self):
        core, view = self.core()
        core.handle(request_of("POST"), 0.0)
        (response,) = self.read_base(core, view, now=BASE_READ_TIMEOUT_S)
        self.assertEqual(503, response.status)

    def test_an_order_without_a_known_base_is_unavailable_at_the_time_limit(self):
        core, _view = self.core()
        core.handle(request_of("POST"), 0.0)
        self.assertEqual([], core.tick(BASE_READ_TIMEOUT_S - 0.1))
        self.assertEqual([503], [each.status for each in core.tick(BASE_READ_TIMEOUT_S)])

    def test_an_order_whose_caller_left_before_its_base_was_known_is_not_proposed(self):
        core, view = self.core()
        core.handle(request_of("POST"), 0.0)
        core.abandon("t1")
        self.assertEqual([], self.read_base(core, view))

    def test_an_order_that_was_read_after_a_pause_is_not_begun(self):
        core, _view = self.core()
        effects = core.handle(request_of("POST", is_delayed=True), 0.0)
        self.assertEqual([503], [each.status for each in effects])

    def test_a_document_change_that_was_read_after_a_pause_names_its_base_and_is_begun(self):
        core, _view = self.core()
        (call,) = core.handle(request_of("PUT", is_delayed=True), 0.0)
        self.assertIsInstance(call, CallCore)


class OldChangeTest(testtools.TestCase):
    def test_a_change_of_an_earlier_release_names_no_base_and_is_applied(self):
        change = b'{"evacuated":true,"mode":"evacuate","zone":"z1"}'
        self.assertIsInstance(DocumentReducer()({}, change), Success)
