"""Approved transcripts of complete exchanges with the control API."""

from __future__ import annotations

import testtools

from tests.controlplane.api.api_driver import ApiDriver
from tests.controlplane.approval import verify
from tests.controlplane.fake_view import FakeView, move_row
from zincvale.controlplane.api.dispatch import MAX_PENDING_CHANGES
from zincvale.controlplane.api.messages import ApiResponse
from zincvale.controlplane.api.pending_watches import MAX_PENDING_WATCHES
from zincvale.controlplane.intent import change_body
from zincvale.coordination.changes import KeyView
from zincvale.coordination.registers.change_messages import ChangeResult
from zincvale.model.identifiers import MemberId

NODE_1 = MemberId("node-1")
NODE_2 = MemberId("node-2")
EVACUATE = {"resources": [{"kind": "Zone", "name": "zone-a", "spec": {"evacuated": True}}]}


class ApiTranscriptTest(testtools.TestCase):
    def test_read_responses_are_as_approved(self) -> None:
        driver = ApiDriver(FakeView(applied={NODE_1: 7, NODE_2: 7}))
        driver.view.calendar = {"m-1": move_row("m-1")}
        for path in (
            "/v1/intent",
            "/v1/zones",
            "/v1/servers",
            "/v1/servers/s1",
            "/v1/models",
            "/v1/models/base-1",
            "/v1/adapters/tone-1",
            "/v1/routes/quotes",
            "/v1/pools/bins",
            "/v1/members",
            "/v1/moves",
            "/v1/moves/m-1",
            "/v1/roles",
            "/v1/replicas",
        ):
            driver.send("GET", path)
        verify(self, "reads", driver.transcript())

    def test_a_core_with_possibly_stale_state_shows_no_intent(self) -> None:
        driver = ApiDriver(FakeView(applied={NODE_1: 7}, is_current=False))
        for path in ("/v1/intent", "/v1/zones", "/v1/zones/zone-a", "/v1/watch", "/v1/members"):
            driver.send("GET", path)
        verify(self, "may_be_behind", driver.transcript())

    def test_a_list_is_returned_in_pages(self) -> None:
        driver = ApiDriver()
        driver.send("GET", "/v1/models", query={"limit": "1"})
        driver.send("GET", "/v1/models", query={"limit": "1", "after": "base-1"})
        verify(self, "pages", driver.transcript())

    def test_responses_to_changes_are_as_approved(self) -> None:
        driver = ApiDriver()
        driver.note("in force")
        driver.send("POST", "/v1/intent", {"baseVersion": 7, **EVACUATE})
        driver.reply("t1", ChangeResult("in-force", version=8))
        driver.note("the same change sent again has the same order id, in any order of its fields")
        driver.send("POST", "/v1/intent", {**EVACUATE, "baseVersion": 7})
        driver.reply("t2", ChangeResult("in-force", version=8))
        driver.note("conflict with the change of another operator")
        driver.send("POST", "/v1/intent", EVACUATE, {"Idempotency-Key": "op-2", "If-Match": '"7"'})
        driver.reply("t3", ChangeResult("conflict", 0, 8, "built on version 7, now 8", "rebuild"))
        driver.note("refused by the reducer")
        driver.send("POST", "/v1/intent", EVACUATE, {"Idempotency-Key": "op-3"})
        driver.reply("t4", ChangeResult("invalid", 0, 8, "Zone zone-a: wrong", "mend it"))
        driver.note("not confirmed by the core")
        driver.send("POST", "/v1/intent", EVACUATE, {"Idempotency-Key": "op-4"})
        driver.reply("t5", ChangeResult("not-confirmed", problem="no majority of the nodes"))
        driver.note("no response of the core in time; its late response is dropped")
        driver.send("POST", "/v1/intent", EVACUATE, {"Idempotency-Key": "op-5"})
        driver.tick(5.0)
        driver.tick(5.0)
        driver.reply("t6", ChangeResult("in-force", version=9))
        driver.note("without base version and key, the order id depends on the current version")
        driver.send("POST", "/v1/intent", EVACUATE)
        driver.view.rows = KeyView(8, driver.view.rows.rows)
        driver.send("POST", "/v1/intent", EVACUATE)
        verify(self, "changes", driver.transcript())

    def test_invalid_requests_get_a_problem_and_a_remedy(self) -> None:
        driver = ApiDriver()
        driver.send("GET", "/v2/intent")
        driver.send("GET", "v1/intent")
        driver.send("GET", "/v1/intent/")
        driver.send("GET", "/v1/gadgets")
        driver.send("DELETE", "/v1/intent")
        driver.send("POST", "/v1/models/base-1", {})
        driver.send("GET", "/v1/models/base-11")
        driver.send("GET", "/v1/zones/nowhere")
        driver.send("GET", "/v1/moves/m-9")
        driver.send("GET", "/v1/models", query={"limit": "0"})
        driver.send("GET", "/v1/models", query={"filter": "x"})
        driver.send("GET", "/v1/watch", query={"after": "-1"})
        driver.send("GET", "/v1/watch", query={"timeout_s": "nan"})
        driver.send("GET", "/v1/watch", query={"timeout": "5"})
        driver.send("POST", "/v1/intent", b"{")
        driver.send("POST", "/v1/intent", [])
        driver.send("POST", "/v1/intent", {"baseversion": 7, "resources": []})
        driver.send("POST", "/v1/intent", {"baseVersion": "7", "resources": []})
        driver.send("POST", "/v1/intent", {"baseVersion": True, "resources": []})
        driver.send("POST", "/v1/intent", {"baseVersion": 6}, {"If-Match": "7"})
        driver.send("POST", "/v1/intent", {}, {"If-Match": "abc"})
        driver.send("POST", "/v1/intent", {}, {"Idempotency-Key": "two words"})
        driver.send("POST", "/v1/intent", b" " * (change_body.MAX_CHANGE_BYTES + 1))
        verify(self, "bad_requests", driver.transcript())

    def test_a_watch_completes_on_a_newer_intent_or_at_its_deadline(self) -> None:
        driver = ApiDriver()
        driver.note("a newer intent exists: immediate response")
        driver.send("GET", "/v1/watch", query={"after": "6"})
        driver.note("pending until the intent changes")
        driver.send("GET", "/v1/watch", query={"after": "7", "timeout_s": "20"})
        driver.send("GET", "/v1/watch", query={"after": "8", "timeout_s": "20"})
        driver.view.rows = KeyView(8, {"Zone/zone-a": b'{"evacuated":true}'})
        driver.record(driver.api.on_intent_changed(driver.now))
        driver.note("pending until the deadline")
        driver.tick(19.0)
        driver.tick(1.0)
        driver.note("the client disconnects before the deadline")
        driver.send("GET", "/v1/watch", query={"after": "8", "timeout_s": "20"})
        driver.api.abandon("t4")
        driver.tick(30.0)
        verify(self, "watch", driver.transcript())

    def test_requests_beyond_the_pending_limits_are_refused_at_once(self) -> None:
        driver = ApiDriver()
        for number in range(MAX_PENDING_CHANGES):
            driver.send("POST", "/v1/intent", EVACUATE, {"Idempotency-Key": f"op-{number}"})
        for _ in range(MAX_PENDING_WATCHES):
            driver.send("GET", "/v1/watch", query={"after": "7"})
        refused = [
            *driver.send("POST", "/v1/intent", EVACUATE, {"Idempotency-Key": "one-more"}),
            *driver.send("GET", "/v1/watch", query={"after": "7"}),
        ]
        self.assertEqual([503, 503], [effect.status for effect in refused])  # type: ignore
        driver.reply("t1", ChangeResult("in-force", version=8))
        self.assertEqual(1, len(driver.send("POST", "/v1/intent", EVACUATE)))

    def test_an_unexpected_core_message_leaves_a_change_unconfirmed(self) -> None:
        driver = ApiDriver()
        driver.send("POST", "/v1/intent", EVACUATE, {"Idempotency-Key": "op-1"})
        effects = driver.api.on_core_response("t1", object(), 0.0)
        assert isinstance(effects[0], ApiResponse)
        self.assertEqual(503, effects[0].status)
        self.assertIn(b"the core returned object", effects[0].body)
        self.assertIn(b'"order_id":"op-1"', effects[0].body)

    def test_responses_to_replica_replacements_are_as_approved(self) -> None:
        driver = ApiDriver()
        driver.send("POST", "/v1/replicas", {"remove": "core-2", "add": "core-4"})
        driver.reply("t1", ChangeResult("in-force", version=3))
        driver.send("POST", "/v1/replicas", {"remove": "core-2", "add": "core-5"})
        driver.reply("t2", ChangeResult("invalid", 0, 3, "core-2 is no replica", "see replicas"))
        driver.send("POST", "/v1/replicas", {"remove": "core-2", "add": "core-5"})
        driver.record(driver.api.on_core_failure("t3", "the core stops"))
        driver.send("POST", "/v1/replicas", {"remove": "", "add": ""})
        driver.send("POST", "/v1/replicas", {"remove": "core-2"})
        driver.send("POST", "/v1/replicas", {"remove": "core-2", "add": 4})
        driver.send("POST", "/v1/replicas", b" " * 5_000)
        driver.send("PUT", "/v1/replicas")
        verify(self, "replacement_of_a_core", driver.transcript())

    def test_a_row_of_a_later_release_makes_reads_unavailable_not_invalid(self) -> None:
        driver = ApiDriver()
        rows = {**driver.view.rows.rows, "Zone/zone-a": b'{"added_later":1}'}
        driver.view.rows = KeyView(8, rows)
        driver.tick(0.1)
        driver.send("GET", "/v1/zones")
        verify(self, "later_release", driver.transcript())
