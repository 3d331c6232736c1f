"""Callers' requests over a connection of the HTTP server."""

from __future__ import annotations

import asyncio

import testtools
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from tests.dataplane.inference.builders import server_row
from tests.dataplane.inference.node_harness import GENERATE_BODY, Harness
from zincvale.dataplane.inference.caller_connection import CallerConnections

RESPONSE_BODY = b'{"request_id":"q1","text":"x","tokens":3}'
CHAT_BODY = GENERATE_BODY


class FakeConnection:
    """The part of `tornado.http1connection.HTTP1Connection` that the node uses."""

    def __init__(self):
        self.written = []
        self.head = None
        self.state = "open"
        self.on_close = None

    def set_close_callback(self, callback):
        self.on_close = callback

    def write_headers(self, start_line, headers, chunk=None):
        self.head = (start_line.code, dict(headers.get_all()))
        return self.write(chunk)

    def write(self, chunk):
        future = asyncio.get_running_loop().create_future()
        if self.state == "closed":
            future.set_exception(StreamClosedError())
        else:
            self.written.append(chunk)
            future.set_result(None)
        return future

    def finish(self):
        self.state = "whole"

    def close(self):
        self.state = "cut"


class CallerConnectionTest(testtools.TestCase):
    def run_scenario(self, scenario):
        async def main():
            harness = Harness(server_row("s1"))
            connection = FakeConnection()
            await scenario(harness, connection)
            self.assertEqual(0, harness.node.active_requests)
            return connection

        return asyncio.run(main())

    def send(self, harness, connection, path, body=GENERATE_BODY, method="POST"):
        message = CallerConnections(harness.node.ingress).start_request(None, connection)
        headers = HTTPHeaders({"X-Request-Id": "q1"})
        message.headers_received(RequestStartLine(method, path, "HTTP/1.1"), headers)
        message.data_received(body[:5])
        message.data_received(body[5:])
        message.finish()

    def test_a_complete_response_has_its_length_outcome_and_trace_identifier(self):
        async def scenario(harness, connection):
            self.send(harness, connection, "/v1/sum?ignored=1")
            harness.exchanges[0].respond(200, RESPONSE_BODY)

        connection = self.run_scenario(scenario)
        code, headers = connection.head
        self.assertEqual(
            (200, [RESPONSE_BODY], "whole"), (code, connection.written, connection.state)
        )
        self.assertEqual(
            (str(len(RESPONSE_BODY)), "answered", "t" * 32),
            (headers["Content-Length"], headers["Zincvale-Outcome"], headers["Zincvale-Trace-Id"]),
        )

    def test_a_stream_is_sent_event_by_event_and_its_head_with_the_first(self):
        async def scenario(harness, connection):
            self.send(harness, connection, "/v1/chat")
            harness.exchanges[0].start_stream()
            await harness.run_pending_tasks()
            self.assertIsNone(connection.head)
            harness.exchanges[0].receive_events('id: 1\ndata: {"text":"a"}\n\n')
            await harness.run_pending_tasks()
            self.assertEqual(1, len(connection.written))
            harness.exchanges[0].receive_events('event: end\ndata: {"count":1}\n\n')
            await harness.run_pending_tasks()

        connection = self.run_scenario(scenario)
        self.assertNotIn("Content-Length", connection.head[1])
        self.assertEqual((2, "whole"), (len(connection.written), connection.state))

    def test_a_broken_stream_ends_with_an_error_event_and_is_cut(self):
        async def scenario(harness, connection):
            self.send(harness, connection, "/v1/ticket")
            await harness.run_pending_tasks()
            harness.exchanges[0].start_stream()
            harness.exchanges[0].receive_events('id: 1\ndata: {"text":"a"}\n\n')
            harness.exchanges[0].fail()
            await harness.run_pending_tasks()

        connection = self.run_scenario(scenario)
        self.assertIn(b"event: error", connection.written[-1])
        self.assertEqual("cut", connection.state)

    def test_the_exchange_is_closed_when_the_caller_disconnects(self):
        async def scenario(harness, connection):
            self.send(harness, connection, "/v1/sum")
            connection.on_close()
            self.assertTrue(harness.exchanges[0].closed)

        self.run_scenario(scenario)

    def test_a_stream_ends_when_writing_finds_the_connection_closed(self):
        async def scenario(harness, connection):
            self.send(harness, connection, "/v1/chat")
            harness.exchanges[0].start_stream()
            connection.state = "closed"
            harness.exchanges[0].receive_events('id: 1\ndata: {"text":"a"}\n\n')
            await harness.run_pending_tasks()
            self.assertTrue(harness.exchanges[0].closed)

        self.run_scenario(scenario)

    def test_a_method_other_than_post_is_refused(self):
        async def scenario(harness, connection):
            self.send(harness, connection, "/v1/sum", method="PUT")

        connection = self.run_scenario(scenario)
        self.assertEqual(400, connection.head[0])
        self.assertEqual("refused", connection.head[1]["Zincvale-Outcome"])

    def test_a_request_whose_start_raises_an_exception_ends_as_unknown(self):
        async def scenario(harness, connection):
            harness.node.context.spans = None
            self.send(harness, connection, "/v1/sum")

        connection = self.run_scenario(scenario)
        self.assertEqual((504, "whole"), (connection.head[0], connection.state))

    def test_a_draining_node_asks_callers_to_close_their_connections(self):
        async def scenario(harness, connection):
            harness.node.start_draining()
            self.send(harness, connection, "/v1/sum")
            harness.exchanges[0].respond(200, RESPONSE_BODY)

        connection = self.run_scenario(scenario)
        self.assertEqual("close", connection.head[1]["Connection"])
