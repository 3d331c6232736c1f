"""A node's forwarding service: deferred requests, local replies, draining."""

from __future__ import annotations

import asyncio
import random

import testtools

from tests.dataplane.forwarding.builders import (
    make_directory,
    make_document,
    make_members,
    make_pool,
    make_route,
    make_row,
)
from zincvale.dataplane.forwarding.caller_sink import IncomingRequest
from zincvale.dataplane.forwarding.native_dialect import NativeDialect
from zincvale.dataplane.forwarding.request_events import RequestOutcome
from zincvale.dataplane.forwarding.service import (
    LONGEST_RESPONSE_FACTOR,
    NEW_REQUESTS_ALLOWED_S,
    NEW_STREAMS_ALLOWED_S,
    ForwardingConfig,
    ForwardingService,
)
from zincvale.model.forwarding import CallerLimits
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.transport.server_exchange import ResponseHead

LIMIT_S = 7.4
"""Of a stop."""


class Span:
    def __init__(self):
        self.context = None

    def set(self, name, value):
        pass

    def event(self, name, **attributes):
        pass

    def error(self, message):
        pass

    def end(self):
        pass


class Spans:
    def start(self, name, trace=None, parent=None, attributes=None):
        return Span()


class Exchange:
    def __init__(self):
        self.cancelled = False

    def cancel(self):
        self.cancelled = True


class Client:
    """Records what is sent to servers; the test plays the server."""

    def __init__(self):
        self.sent = []

    def start(self, address, incarnation, request, listener):
        exchange = Exchange()
        self.sent.append((incarnation, request, listener, exchange))
        return exchange

    def keep_only(self, targets):
        pass


class Sink:
    unsent_bytes = 0

    def __init__(self):
        self.log = []

    def open(self, status, reason, headers):
        self.log.append(("open", status))

    def write(self, data):
        self.log.append(("write", data))

    def end(self):
        self.log.append("end")

    def abort(self):
        self.log.append("cut")

    def respond(self, status, headers, body):
        self.log.append((status, dict(headers).get("Retry-After")))


class Node:
    """A service with the test's clock and server."""

    def __init__(self, known=True):
        self.now = 100.0
        self.service = ForwardingService(
            ForwardingConfig(MemberId("n1"), ZoneName("z1")),
            NativeDialect(),
            spans=Spans(),
            random=random.Random(1),
            clock=lambda: self.now,
            on_urgent=lambda: None,
        )
        self.client = self.service.context.client = Client()
        if known:
            self.learn()

    def learn(self):
        routes = [make_route(), make_route("stream", streaming=True, resumable=True, attempts=2)]
        self.service.apply_document(make_document(1, routes, [make_pool(engine=None)]))
        self.service.apply_members(make_members("n1"))
        self.service.apply_directory(make_directory(make_row("s1"), make_row("s2")))

    def ask(self, target="/r/x", headers=(), body=b"{}"):
        sink = Sink()
        head = [("Host", "a.example"), ("X-Request-Id", "q1"), *headers]
        incoming = IncomingRequest("POST", target, head, body, self.now)
        return self.service.handle_request(incoming, sink), sink


def run(scenario):
    async def main():
        await scenario()

    asyncio.run(main())


class ServiceTest(testtools.TestCase):
    def test_a_request_passes_through_unchanged(self):
        async def scenario():
            node = Node()
            _, sink = node.ask(body=b"\x00opaque", headers=[("X-Other", "1")])
            incarnation, request, listener, _ = node.client.sent[0]
            self.assertEqual(("POST", "/r/x", b"\x00opaque"), _request(request))
            headers = dict(request.headers)
            self.assertEqual(
                ("1", incarnation), (headers["X-Other"], headers["x-zincvale-incarnation"])
            )
            self.assertTrue(request.is_own_response(200, {"x-request-id": "q1"}))
            self.assertFalse(request.is_own_response(200, {"x-request-id": "q0"}))
            self.assertFalse(request.is_own_response(200, {}))
            listener.on_head(ResponseHead(200, "OK", [("X-Request-Id", "q1")]))
            listener.on_content(b"answer")
            listener.on_complete()
            self.assertEqual([("open", 200), ("write", b"answer"), "end"], sink.log)
            self.assertEqual(0, node.service.active_requests)
            self.assertEqual(0, node.service.routing.servers["s1"].outstanding)

        run(scenario)

    def test_a_stream_is_resumed_at_another_server_by_complete_events(self):
        async def scenario():
            node = Node()
            _, sink = node.ask("/stream/x")
            head = ResponseHead(
                200, "OK", [("X-Request-Id", "q1"), ("Content-Type", "text/event-stream")]
            )
            first, _, listener, _ = node.client.sent[0]
            listener.on_head(head)
            listener.on_content(b"id: 1\ndata: a\n\nid: 2\nda")
            listener.on_broken("reset")
            second, request, listener, _ = node.client.sent[1]
            self.assertNotEqual(first, second)
            self.assertEqual("1", dict(request.headers)["last-event-id"])
            listener.on_head(head)
            listener.on_content(b"id: 2\ndata: b\n\n")
            listener.on_complete()
            written = b"".join(entry[1] for entry in sink.log if entry[0] == "write")
            self.assertEqual(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", written)
            self.assertEqual((1, "end"), (sink.log.count(("open", 200)), sink.log[-1]))

        run(scenario)

    def test_a_caller_that_disconnects_ends_the_exchange(self):
        async def scenario():
            node = Node()
            handle, sink = node.ask()
            handle.on_caller_disconnected()
            self.assertTrue(node.client.sent[0][3].cancelled)
            self.assertEqual([], sink.log)
            self.assertEqual(1, node.service.context.counts[RequestOutcome.ABANDONED])

        run(scenario)

    def test_what_no_route_takes_is_404_and_what_is_too_large_413(self):
        async def scenario():
            node = Node()
            self.assertEqual([(404, None)], node.ask("/other/")[1].log)
            document = node.service.routing.document
            limits = CallerLimits(max_body_bytes=3)
            node.service.routing.document = type(document)(
                2, 2, document.routes, document.pools, limits
            )
            self.assertEqual([(413, None)], node.ask(body=b"1234")[1].log)

        run(scenario)


class UnknownTest(testtools.TestCase):
    def test_a_started_node_defers_requests_until_it_is_configured(self):
        async def scenario():
            node = Node(known=False)
            _, sink = node.ask()
            self.assertEqual(([], []), (sink.log, node.client.sent))
            node.learn()
            self.assertEqual(1, len(node.client.sent))

        run(scenario)

    def test_a_deferred_request_that_is_given_up_never_runs(self):
        async def scenario():
            node = Node(known=False)
            handle, sink = node.ask()
            handle.give_up()
            node.learn()
            self.assertEqual((503, []), (sink.log[0][0], node.client.sent))
            self.assertIsNotNone(sink.log[0][1])

        run(scenario)

    def test_a_deferred_caller_that_disconnected_is_forgotten(self):
        async def scenario():
            node = Node(known=False)
            handle, _ = node.ask()
            handle.on_caller_disconnected()
            node.learn()
            self.assertEqual([], node.client.sent)

        run(scenario)


class StoppingTest(testtools.TestCase):
    def test_a_draining_node_begins_nothing_it_cannot_end(self):
        async def scenario():
            node = Node()
            node.service.start_draining(node.now, LIMIT_S)
            node.ask("/stream/x")
            node.now += NEW_STREAMS_ALLOWED_S
            self.assertEqual(503, node.ask("/stream/x")[1].log[0][0])
            node.ask("/r/x")
            node.now = 100.0 + NEW_REQUESTS_ALLOWED_S
            refused = node.ask("/r/x")[1].log[0]
            self.assertEqual(503, refused[0])
            self.assertIsNotNone(refused[1])
            self.assertEqual(2, len(node.client.sent))

        run(scenario)

    def test_a_node_that_noticed_its_stop_late_begins_no_stream_it_cannot_end(self):
        async def scenario():
            node = Node()
            told_to_stop_at = node.now
            node.now += NEW_STREAMS_ALLOWED_S
            node.service.start_draining(told_to_stop_at, LIMIT_S)
            self.assertEqual(503, node.ask("/stream/x")[1].log[0][0])
            self.assertEqual([], node.client.sent)

        run(scenario)

    def test_a_draining_node_begins_no_stream_that_lately_took_longer_than_it_has_left(self):
        async def scenario():
            node = Node()
            node.service.context.response_times.record("stream", 4.0, node.now)
            node.service.start_draining(node.now, LIMIT_S)
            node.now += LIMIT_S - 4.0 * LONGEST_RESPONSE_FACTOR - 0.1
            node.ask("/stream/x")
            self.assertEqual(1, len(node.client.sent))
            node.now += 0.2
            self.assertLess(node.now, 100.0 + NEW_STREAMS_ALLOWED_S)
            self.assertEqual(503, node.ask("/stream/x")[1].log[0][0])
            self.assertEqual(1, len(node.client.sent))

        run(scenario)

    def test_pending_requests_are_refused_at_the_end(self):
        async def scenario():
            node = Node(known=False)
            _, sink = node.ask()
            node.service.reject_pending()
            self.assertEqual(503, sink.log[0][0])

        run(scenario)


def _request(request):
    return request.method, request.target, request.body
