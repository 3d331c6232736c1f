"""Conversion of the platform's messages to the project's types, and rejection of malformed ones."""

from __future__ import annotations

import orjson
import testtools

from zincvale.controlplane.api.messages import ApiRequest
from zincvale.controlplane.documents.api import ReadDocument
from zincvale.controlplane.documents.changes import DocumentChange, EvacuationChange
from zincvale.controlplane.documents.rows import SourceDocument
from zincvale.controlplane.placement.events import Order, OrderAction, OrderRefusal
from zincvale.controlplane.placement.items import ItemKind
from zincvale.coordination.registers.change_messages import ChangeResult
from zincvale.daemons.http_fetch import FetchResult
from zincvale.daemons.server_orders import OrderReply
from zincvale.dataplane.forwarding.dialect import AttemptFacts
from zincvale.model.control_tables import ServerRow
from zincvale.model.errors import InvalidInputError, MalformedBodyError, NotFoundError
from zincvale.model.identifiers import Address, PoolName, ServerId, StoreName, ZoneName
from zincvale.model.resources import PoolKind
from zincvale.platform.callers import PlatformForwarding
from zincvale.platform.operators import PlatformOperators
from zincvale.platform.servers import PlatformOrders, PlatformServerList

ROUTE = {
    "name": "r1",
    "host": "a.example",
    "pathPrefix": "/x/",
    "kind": "streaming",
    "timeoutMs": 4000,
    "targetLatencyMs": 800,
    "priority": 1,
    "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
    "attempts": 2,
    "resumable": True,
    "gapAimMs": 300,
    "stickySessions": True,
    "fieldOfALaterRelease": 1,
}
SERVICE = {
    "name": "s1",
    "healthPath": "/health",
    "connectionLimit": 390,
    "coldStartS": 3.0,
    "coldPerS": 8.0,
    "engine": {
        "slots": 64,
        "cacheTokens": 1000,
        "weightsMb": 220000.0,
        "adapterSlots": 8,
        "loadsPerS": 2.8,
        "models": [
            {
                "name": "m1",
                "weightsMb": 65099.99999999999,
                "loadS": 0.72,
                "adapters": 2,
                "adapterMb": 12.0,
            }
        ],
    },
}
ROW = ServerRow(
    ServerId("i-1"),
    Address("10.0.0.1:80"),
    PoolName("s1"),
    ZoneName("z1"),
    PoolKind.LANGUAGE_MODEL,
    incarnation="i-1",
)


def request(method, path="/v1/configuration", body=b"", **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    content = body if isinstance(body, bytes) else orjson.dumps(body)
    return ApiRequest(method, path, {}, headers, content, "t1")


def read(*arguments, **headers):
    return PlatformOperators().read(request(*arguments, **headers))


class PlatformOperatorsTest(testtools.TestCase):
    def read_complete_change(self, **fields):
        body = {"version": 7, "routes": [ROUTE], "services": [SERVICE, {"name": "s2"}], **fields}
        return read("PUT", "/v1/configuration", body, If_Match="5").change

    def test_a_put_request_is_read_as_a_complete_change(self):
        change = self.read_complete_change(
            limits={"maxBodyBytes": 10, "idleTimeoutMs": 15000}, extra=3
        )
        self.assertIsInstance(change, DocumentChange)
        self.assertEqual((5, 7, True, {"extra": 3}), _change_attributes(change))
        spec = change.routes[0].spec
        self.assertEqual(ROUTE, change.routes[0].source)
        self.assertEqual((4.0, 0.8, 0.3), (spec.timeout_s, spec.objective_s, spec.gap_s))
        self.assertEqual((True, True, False, 2), _route_attributes(spec))
        self.assertEqual([("s1", 90.0), ("s2", 10.0)], _split(spec))
        model = change.pools[0].spec.engine.models["m1"]
        self.assertEqual((65_100_000_000, ("a1", "a2")), (model.weight_bytes, model.adapters))
        self.assertEqual((10, 15.0), (change.limits.max_body_bytes, change.limits.idle_timeout_s))

    def test_a_patch_request_is_read_as_a_partial_change(self):
        body = {"version": 9, "set": {"routes": [ROUTE]}, "remove": {"routes": ["old"]}}
        change = read("PATCH", "/v1/configuration", body, If_Match="7").change
        self.assertEqual((7, 9, False, None), _change_attributes(change))
        self.assertEqual(
            (1, ("old",), ()), (len(change.routes), change.removed_routes, change.pools)
        )

    def test_a_route_to_one_service_is_read_as_a_split_with_one_share(self):
        plain = {**ROUTE, "service": "s1", "kind": "safe"}
        del plain["trafficSplit"]
        change = read("PUT", "/v1/configuration", {"version": 1, "routes": [plain]}, If_Match="0")
        self.assertEqual([("s1", 1.0)], _split(change.change.routes[0].spec))
        self.assertTrue(change.change.routes[0].spec.repeatable)

    def test_evacuations_and_reads_are_told_apart_by_path_and_method(self):
        self.assertEqual(EvacuationChange("z1", True), read("POST", "/v1/evacuate/z1").change)
        self.assertEqual(EvacuationChange("z1", False), read("DELETE", "/v1/evacuate/z1").change)
        self.assertIsInstance(read("GET"), ReadDocument)

    def test_a_malformed_request_is_refused(self):
        for body in (
            b'{"version": 7, "rou',
            b"[]",
            b"",
            {"routes": []},
            {"version": "7"},
            {"version": True},
        ):
            error = self.assertRaises(
                (InvalidInputError, MalformedBodyError),
                read,
                "PUT",
                "/v1/configuration",
                body,
                If_Match="5",
            )
            response = PlatformOperators().error_response("t1", error)
            self.assertEqual(400, response.status)
        for broken in ({"name": "r1"}, {**ROUTE, "trafficSplit": [{"service": 3, "weight": 1}]}):
            self.assertRaises(InvalidInputError, self.read_complete_change, routes=[broken])
        self.assertRaises(InvalidInputError, read, "PUT", "/v1/configuration", {"version": 7})
        self.assertRaises(NotFoundError, read, "POST", "/v1/other")

    def test_results_and_documents_are_written_in_the_platforms_format(self):
        operators = PlatformOperators()
        statuses = {
            "in-force": 200,
            "conflict": 412,
            "invalid": 400,
            "not-confirmed": 503,
        }
        for result, status in statuses.items():
            response = operators.change_response("t1", ChangeResult(result))
            self.assertEqual(status, response.status)
        document = SourceDocument(7, [ROUTE], [SERVICE], {"maxBodyBytes": 10}, {"extra": 3})
        body = orjson.loads(operators.document_response("t1", document).body)
        self.assertEqual(
            {
                "version": 7,
                "routes": [ROUTE],
                "services": [SERVICE],
                "limits": {"maxBodyBytes": 10},
                "extra": 3,
            },
            body,
        )


def _change_attributes(change):
    return change.base, change.number, change.is_complete, change.other


def _route_attributes(spec):
    return spec.streaming, spec.resumable, spec.repeatable, spec.attempts


def _split(spec):
    return [(share.pool, share.weight) for share in spec.split]


class PlatformForwardingTest(testtools.TestCase):
    def test_caller_headers_are_read_and_attempt_headers_are_written(self):
        dialect = PlatformForwarding()
        facts = dialect.caller_facts(
            {
                "request-id": "q1",
                "deadline-ms": "4000",
                "model": "m1/a3",
                "token-counts": "1460,80",
                "prompt-prefix": "5c1e:800,91bd:410,e440:250",
            }
        )
        self.assertEqual(("q1", 4.0, "m1", "a3"), _caller_attributes(facts))
        self.assertEqual([800, 410, 250], [part.tokens for part in facts.prompt.parts])
        self.assertEqual(
            {"Deadline-Ms": "250", "Expect-Instance": "i-1", "Request-Urgency": "3"},
            dialect.attempt_headers(AttemptFacts("i-1", 0.25, 3, "")),
        )
        self.assertEqual(
            "9", dialect.attempt_headers(AttemptFacts("i", 1, 1, "9"))["Last-Event-Id"]
        )

    def test_a_response_proves_that_a_request_never_ran_by_its_header_or_status(self):
        dialect = PlatformForwarding()
        self.assertFalse(dialect.response_facts(503, {"request-id": "q1"}).never_ran)
        self.assertTrue(dialect.response_facts(503, {"not-executed": "1"}).never_ran)
        facts = dialect.response_facts(421, {})
        self.assertEqual((True, True), (facts.never_ran, facts.misdirected))

    def test_a_malformed_deadline_is_ignored(self):
        for text in ("", "soon", "-5"):
            facts = PlatformForwarding().caller_facts({"deadline-ms": text})
            self.assertIsNone(facts.deadline_s)


def _caller_attributes(facts):
    return facts.request_id, facts.deadline_s, facts.prompt.model, facts.prompt.adapter


class PlatformServerListTest(testtools.TestCase):
    def page(self, **fields):
        server = {
            "id": "i-1",
            "service": "s1",
            "address": "10.0.0.1:80",
            "zone": "z1",
            "slots": 64,
            "state": "draining",
            "coldRemainingMs": 1500,
            "models": [{"name": "m1", "version": 1, "adapters": ["a3"]}],
            **fields,
        }
        return orjson.dumps({"instances": [server], "nextPageToken": "p-50"})

    def test_a_page_of_the_server_list_is_read(self):
        page = PlatformServerList().read_page(self.page())
        server = page.servers[0]
        self.assertEqual(
            ("p-50", True, 1.5), (page.next_page, server.draining, server.cold_remaining_s)
        )
        self.assertEqual(({"m1"}, {"m1/a3"}), (server.models, server.adapters))
        self.assertEqual("/instances?pageToken=p%2F1", PlatformServerList().list_path("p/1"))

    def test_a_malformed_page_is_rejected_and_throttling_is_detected(self):
        for body in (b"", b"{}", b'{"instances": [{}]}', b'{"instances": 3}', self.page()[:40]):
            self.assertRaises(MalformedBodyError, PlatformServerList().read_page, body)
        self.assertTrue(PlatformServerList().is_throttled(FetchResult(429)))


class PlatformOrdersTest(testtools.TestCase):
    def order(self, kind=ItemKind.ADAPTER, name="m1/a3"):
        return Order("o1", 41, OrderAction.LOAD, kind, name, "m1", 5, StoreName("s1"), Address(""))

    def body(self, order, sequence=None):
        call = PlatformOrders().order_call(order, ROW, "core-1", sequence)
        self.assertEqual({"Expect-Instance": "i-1"}, call.headers)
        return orjson.loads(call.body)

    def test_orders_contain_the_epoch_and_the_expected_sequence(self):
        self.assertEqual(
            {
                "operation": "load",
                "holder": "core-1",
                "fencingToken": 41,
                "model": "m1",
                "adapter": "a3",
                "expectedRevision": 2,
            },
            self.body(self.order(), 2),
        )
        plain = self.body(self.order(ItemKind.MODEL, "m1"))
        self.assertNotIn("adapter", plain)
        self.assertNotIn("expectedRevision", plain)

    def test_the_reply_to_an_order_follows_from_status_and_connection(self):
        replies = {
            FetchResult(200): OrderReply.COMPLETED,
            FetchResult(202): OrderReply.ACCEPTED,
            FetchResult(409): OrderRefusal.BUSY,
            FetchResult(412): OrderRefusal.STALE_EPOCH,
            FetchResult(421): OrderRefusal.OTHER,
            FetchResult(500): OrderReply.UNKNOWN,
            FetchResult(0): OrderReply.UNKNOWN,
            FetchResult(0, connected=False): OrderRefusal.NOT_CONNECTED,
        }
        for result, reply in replies.items():
            self.assertIs(reply, PlatformOrders().order_reply(self.order(), result))

    def test_a_server_report_is_read_and_a_malformed_one_is_rejected(self):
        body = {
            "models": [{"name": "m1", "adapters": ["a3"]}],
            "busy": True,
            "sequence": 2,
            "running": 12,
        }
        reading = PlatformOrders().read_status(ROW, FetchResult(200, orjson.dumps(body)))
        self.assertEqual((True, 2, 12), (reading.is_busy, reading.sequence, reading.row.running))
        self.assertEqual({"m1/a3"}, reading.row.adapters)
        self.assertIsNone(PlatformOrders().read_status(ROW, FetchResult(421)))
        self.assertRaises(
            MalformedBodyError,
            PlatformOrders().read_status,
            ROW,
            FetchResult(200, b'{"models": []}'),
        )
