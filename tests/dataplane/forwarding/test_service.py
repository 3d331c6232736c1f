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
from zincvale.dataplane.forwarding.event_splitter import MAX_EVENT_BYTES
from zincvale.dataplane.forwarding.lease_watch import LEASE_WAIT_S, LeaseWatch
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
from zincvale.transport.server_client import PresenceCheck
from zincvale.transport.server_exchange import ResponseHead

STOP_LIMIT_S = 7.4
"""The time between a process's stop signal and its exit, at most."""


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
    """Records the requests to servers; the test calls their listeners in place of a server."""

    def __init__(self):
        self.sent = []
        self.is_present = True

    def check_presence(self, address, incarnation, settle_s, on_result):
        check = PresenceCheck(on_result)
        check.finish(is_present=self.is_present)
        return check

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

    def body(self):
        return b"".join(entry[1] for entry in self.log if entry[0] == "write")

    def respond(self, status, headers, body):
        self.log.append((status, dict(headers).get("Retry-After")))


class Node:
    """A forwarding service with a clock and a client of servers that the test controls."""

    def __init__(self, is_configured=True):
        self.now = 100.0
        self.has_lease = True
        self.service = ForwardingService(
            ForwardingConfig(MemberId("n1"), ZoneName("z1")),
            NativeDialect(),
            spans=Spans(),
            random=random.Random(1),
            clock=lambda: self.now,
            on_urgent=lambda: None,
            lease_watch=LeaseWatch(lambda: self.has_lease),
        )
        self.client = self.service.context.client = Client()
        if is_configured:
            self.configure()

    def configure(self):
        routes = [make_route(), make_route("stream", streaming=True, resumable=True, attempts=2)]
        self.service.apply_document(make_document(1, routes, [make_pool(engine=None)]))
        self.service.apply_members(make_members("n1"))
        self.service.apply_directory(make_directory(make_row("s1"), make_row("s2")))

    def send_request(self, target="/r/x", headers=(), body=b"{}"):
        sink = Sink()
        head = [("Host", "a.example"), ("X-Request-Id", "q1"), *headers]
        incoming = IncomingRequest("POST", target, head, body, self.now)
        return self.service.handle_request(incoming, sink), sink


def run(scenario):
    async def main():
        await scenario()

    asyncio.run(main())


class ServiceTest(testtools.TestCase):
    def test_a_request_and_its_response_are_relayed_unchanged(self):
        async def scenario():
            node = Node()
            _, sink = node.send_request(body=b"\x00opaque", headers=[("X-Other", "1")])
            incarnation, request, listener, _ = node.client.sent[0]
            self.assertEqual(("POST", "/r/x", b"\x00opaque"), _method_target_body(request))
            headers = dict(request.headers)
            self.assertEqual(
                ("1", incarnation), (headers["X-Other"], headers["x-zincvale-incarnation"])
            )
            self.assertTrue(request.is_own_response(200, {"x-request-id": "q1"}))
            self.assertFalse(request.is_own_response(200, {"x-request-id": "q0"}))
            self.assertFalse(request.is_own_response(200, {}))
            listener.on_head(ResponseHead(200, "OK", [("X-Request-Id", "q1")]))
            listener.on_content(b"answer")
            listener.on_complete(is_delimited=True)
            self.assertEqual([("open", 200), ("write", b"answer"), "end"], sink.log)
            self.assertEqual(0, node.service.active_requests)
            self.assertEqual(0, node.service.routing.servers["s1"].outstanding)

        run(scenario)

    def test_a_resumed_stream_contains_each_event_complete_and_once(self):
        async def scenario():
            node = Node()
            _, sink = node.send_request("/stream/x")
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
            listener.on_complete(is_delimited=True)
            written = b"".join(entry[1] for entry in sink.log if entry[0] == "write")
            self.assertEqual(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", written)
            self.assertEqual((1, "end"), (sink.log.count(("open", 200)), sink.log[-1]))

        run(scenario)

    def cut_stream(
        self, target, content, *, is_delimited, headers=(), kind="text/event-stream", present=True
    ):
        """Answer with `content`, end the connection, and return the node and the sink."""
        node = Node()
        node.client.is_present = present
        _, sink = node.send_request(target)
        fields = [("X-Request-Id", "q1"), ("Content-Type", kind), *headers]
        listener = node.client.sent[0][2]
        listener.on_head(ResponseHead(200, "OK", fields))
        listener.on_content(content)
        listener.on_complete(is_delimited=is_delimited)
        return node, sink

    def test_a_stream_that_ends_with_its_connection_within_an_event_is_not_complete(self):
        """ORDER: a server crashed in the middle of an event, and the stream ended as complete."""

        async def scenario():
            for content in (
                b"id: 1\ndata: a\n\nid: 2\nda",
                b"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda",
                b": comment\nid: 1\ndata: a\n\n: comment\n",
                b"id: 1\nda",
            ):
                node, sink = self.cut_stream("/r/x", content, is_delimited=False)
                self.assertEqual("cut", sink.log[-1], content)
                node, sink = self.cut_stream("/stream/x", content, is_delimited=False)
                self.assertEqual(2, len(node.client.sent), content)
                self.assertNotIn("end", sink.log)

        run(scenario)

    def test_a_stream_that_is_cut_within_its_first_event_is_resumed_from_the_start(self):
        async def scenario():
            node, _ = self.cut_stream("/stream/x", b"id: 1\nda", is_delimited=False)
            self.assertNotIn("last-event-id", dict(node.client.sent[1][1].headers))

        run(scenario)

    def test_a_stream_that_ends_between_two_events_or_as_its_framing_says_is_complete(self):
        async def scenario():
            for content, is_delimited in (
                (b"id: 1\ndata: a\n\n", False),
                (b"id: 1\ndata: a\n\n: bye\n\n", False),
                (b"id: 1\ndata: a\r\n\n", False),
                (b"id: 1\ndata: a\n\nid: 2\ndata: b", True),
            ):
                _, sink = self.cut_stream("/stream/x", content, is_delimited=is_delimited)
                self.assertEqual("end", sink.log[-1], content)
                self.assertEqual(content, sink.body(), content)

        run(scenario)

    def test_a_response_that_ends_with_its_server_is_not_complete(self):
        """ORDER, MIXED: a server that crashed between two events closed its connection as one that
        had sent the last event does, and the stream ended as complete."""

        async def scenario():
            events = b"id: 1\ndata: a\n\n"
            _, sink = self.cut_stream("/r/x", events, is_delimited=False, present=False)
            self.assertEqual("cut", sink.log[-1])
            node, sink = self.cut_stream("/stream/x", events, is_delimited=False, present=False)
            self.assertEqual("1", dict(node.client.sent[1][1].headers)["last-event-id"])
            self.assertNotIn("end", sink.log)
            _, sink = self.cut_stream(
                "/r/x", b"half", is_delimited=False, kind="text/plain", present=False
            )
            self.assertEqual("cut", sink.log[-1])
            _, sink = self.cut_stream("/r/x", events, is_delimited=True, present=False)
            self.assertEqual("end", sink.log[-1])

        run(scenario)

    def test_no_event_follows_a_part_of_a_large_event_that_was_relayed(self):
        """ORDER: the stream was resumed behind the part, which joined pieces of two runs."""

        async def scenario():
            node = Node()
            _, sink = node.send_request("/stream/x")
            fields = [("X-Request-Id", "q1"), ("Content-Type", "text/event-stream")]
            listener = node.client.sent[0][2]
            listener.on_head(ResponseHead(200, "OK", fields))
            listener.on_content(b"id: 1\ndata: " + b"x" * MAX_EVENT_BYTES)
            listener.on_broken("reset")
            self.assertEqual((1, "cut"), (len(node.client.sent), sink.log[-1]))

        run(scenario)

    def test_an_encoded_stream_is_relayed_as_it_comes(self):
        async def scenario():
            encoded = [("Content-Encoding", "gzip")]
            _, sink = self.cut_stream("/r/x", b"\x1f\x8b", is_delimited=False, headers=encoded)
            self.assertEqual("end", sink.log[-1])

        run(scenario)

    def test_the_exchange_is_cancelled_when_the_caller_disconnects(self):
        async def scenario():
            node = Node()
            handle, sink = node.send_request()
            handle.on_caller_disconnected()
            self.assertTrue(node.client.sent[0][3].cancelled)
            self.assertEqual([], sink.log)
            self.assertEqual(1, node.service.context.outcome_counts[RequestOutcome.ABANDONED])

        run(scenario)

    def test_an_unmatched_path_gets_404_and_a_too_large_body_413(self):
        async def scenario():
            node = Node()
            self.assertEqual([(404, None)], node.send_request("/other/")[1].log)
            document = node.service.routing.document
            limits = CallerLimits(max_body_bytes=3)
            node.service.routing.document = type(document)(
                2, 2, document.routes, document.pools, limits
            )
            self.assertEqual([(413, None)], node.send_request(body=b"1234")[1].log)

        run(scenario)


class LapsedLeaseTest(testtools.TestCase):
    def node_without_lease(self):
        node = Node()
        node.has_lease = False
        return node

    def node_that_waited(self):
        node = self.node_without_lease()
        node.send_request("/other/")
        node.now += LEASE_WAIT_S
        return node

    def test_a_request_waits_for_a_lapsed_lease_and_is_handled_by_the_document_that_comes_with_it(
        self,
    ):
        async def scenario():
            node = self.node_without_lease()
            _, sink = node.send_request()
            self.assertEqual(([], []), (sink.log, node.client.sent))
            node.service.apply_document(make_document(2, [], [make_pool(engine=None)]))
            self.assertEqual([], sink.log)
            node.has_lease = True
            node.service.begin_deferred()
            self.assertEqual([(404, None)], sink.log)
            self.assertEqual([], node.client.sent)

        run(scenario)

    def test_a_partitioned_node_serves_by_its_last_document_after_the_wait(self):
        async def scenario():
            node = self.node_that_waited()
            node.send_request()
            self.assertEqual(1, len(node.client.sent))

        run(scenario)

    def test_a_request_whose_wait_ends_without_a_lease_is_begun_once(self):
        async def scenario():
            node = self.node_without_lease()
            handle, _ = node.send_request()
            node.now += LEASE_WAIT_S
            handle.begin()
            node.service.begin_deferred()
            self.assertEqual(1, len(node.client.sent))

        run(scenario)

    def test_a_node_without_a_lease_does_not_deny_a_route_that_may_have_been_added(self):
        async def scenario():
            node = self.node_that_waited()
            refused = node.send_request("/other/")[1].log[0]
            self.assertEqual(503, refused[0])
            self.assertIsNotNone(refused[1])
            node.has_lease = True
            self.assertEqual([(404, None)], node.send_request("/other/")[1].log)

        run(scenario)


class DeferredRequestTest(testtools.TestCase):
    def test_the_body_of_a_deferred_request_that_ended_is_kept_no_longer(self):
        async def scenario():
            node = Node(is_configured=False)
            refused, _ = node.send_request()
            left, _ = node.send_request()
            refused.give_up()
            left.on_caller_disconnected()
            self.assertEqual([], list(node.service._deferred))

        run(scenario)

    def test_a_started_node_defers_requests_until_it_is_configured(self):
        async def scenario():
            node = Node(is_configured=False)
            _, sink = node.send_request()
            self.assertEqual(([], []), (sink.log, node.client.sent))
            node.configure()
            self.assertEqual(1, len(node.client.sent))

        run(scenario)

    def test_a_deferred_request_that_was_refused_never_runs(self):
        async def scenario():
            node = Node(is_configured=False)
            handle, sink = node.send_request()
            handle.give_up()
            node.configure()
            self.assertEqual((503, []), (sink.log[0][0], node.client.sent))
            self.assertIsNotNone(sink.log[0][1])

        run(scenario)

    def test_a_deferred_request_is_dropped_when_its_caller_disconnects(self):
        async def scenario():
            node = Node(is_configured=False)
            handle, _ = node.send_request()
            handle.on_caller_disconnected()
            node.configure()
            self.assertEqual([], node.client.sent)

        run(scenario)


class StoppingTest(testtools.TestCase):
    def test_a_draining_node_refuses_new_requests_that_may_outlive_the_process(self):
        async def scenario():
            node = Node()
            node.service.start_draining(node.now, STOP_LIMIT_S)
            node.send_request("/stream/x")
            node.now += NEW_STREAMS_ALLOWED_S
            self.assertEqual(503, node.send_request("/stream/x")[1].log[0][0])
            node.send_request("/r/x")
            node.now = 100.0 + NEW_REQUESTS_ALLOWED_S
            refused = node.send_request("/r/x")[1].log[0]
            self.assertEqual(503, refused[0])
            self.assertIsNotNone(refused[1])
            self.assertEqual(2, len(node.client.sent))

        run(scenario)

    def test_a_node_that_handles_its_stop_signal_late_begins_no_stream_that_may_outlive_it(self):
        async def scenario():
            node = Node()
            stop_requested_at = node.now
            node.now += NEW_STREAMS_ALLOWED_S
            node.service.start_draining(stop_requested_at, STOP_LIMIT_S)
            self.assertEqual(503, node.send_request("/stream/x")[1].log[0][0])
            self.assertEqual([], node.client.sent)

        run(scenario)

    def test_a_draining_node_refuses_streams_whose_recent_duration_exceeds_its_remaining_time(self):
        async def scenario():
            node = Node()
            node.service.context.response_times.record("stream", 4.0, node.now)
            node.service.start_draining(node.now, STOP_LIMIT_S)
            node.now += STOP_LIMIT_S - 4.0 * LONGEST_RESPONSE_FACTOR - 0.1
            node.send_request("/stream/x")
            self.assertEqual(1, len(node.client.sent))
            node.now += 0.2
            self.assertLess(node.now, 100.0 + NEW_STREAMS_ALLOWED_S)
            self.assertEqual(503, node.send_request("/stream/x")[1].log[0][0])
            self.assertEqual(1, len(node.client.sent))

        run(scenario)

    def test_a_late_request_on_a_kept_connection_is_refused_unless_its_own_limit_ends_in_time(self):
        async def scenario():
            node = Node()
            node.service.context.response_times.record("r", 0.1, node.now)
            node.service.start_draining(node.now, STOP_LIMIT_S)
            node.now += STOP_LIMIT_S - 2.2
            self.assertEqual(503, node.send_request("/r/x")[1].log[0][0])
            self.assertEqual([], node.client.sent)
            node.send_request("/r/x", [("X-Deadline-Ms", "1000")])
            self.assertEqual(1, len(node.client.sent))

        run(scenario)

    def test_a_node_that_gives_up_its_lease_refuses_new_and_deferred_requests(self):
        async def scenario():
            node = Node(is_configured=False)
            _, deferred = node.send_request()
            node.service.start_draining(node.now, STOP_LIMIT_S)
            node.service.refuse_new_requests()
            _, new = node.send_request()
            self.assertEqual([503, 503], [deferred.log[0][0], new.log[0][0]])

        run(scenario)

    def test_deferred_requests_are_refused_when_the_node_stops(self):
        async def scenario():
            node = Node(is_configured=False)
            _, sink = node.send_request()
            node.service.refuse_pending()
            self.assertEqual(503, sink.log[0][0])

        run(scenario)


def _method_target_body(request):
    return request.method, request.target, request.body
