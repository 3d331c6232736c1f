"""Tests of the server side of the peer protocol, called as tornado's HTTP server calls it."""

import gzip
import json

from testtools import TestCase
from tornado.concurrent import Future
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.ioloop import IOLoop
from tornado.iostream import StreamClosedError

from zincvale.coordination.leases.messages import LeaseRedirect
from zincvale.transport.codec import Batch, decode_batch, encode_batch
from zincvale.transport.peer_client import PeerIdentity
from zincvale.transport.peer_server import PeerServer

GZIP = "gzip,deflate"
MESSAGE = LeaseRedirect([], "text")


class Connection:
    """The connection of a request, which records the responses."""

    def __init__(self, is_closed=False):
        self.responses = []
        self.is_closed = is_closed
        self.is_finished = False
        self.close_callback = None

    def set_close_callback(self, callback):
        self.close_callback = callback

    def write_headers(self, line, headers, body):
        if self.is_closed:
            raise StreamClosedError
        self.responses.append((line.code, dict(headers.get_all()), body))
        future = Future()
        future.set_result(None)
        return future

    def finish(self):
        self.is_finished = True


class Endpoint:
    """Records messages and calls; returns `replies` to messages."""

    def __init__(self):
        self.replies = []
        self.received = []

    def messages_received(self, sender, messages):
        self.received.append((sender, messages))
        return self.replies

    def call_received(self, sender, token, message):
        self.received.append((sender, token, message))

    def call_abandoned(self, token):
        self.received.append(("abandoned", token))


class PeerServerTest(TestCase):
    """Sends complete requests to the server and checks its complete responses."""

    def setUp(self):
        super().setUp()
        self.loop = IOLoop(make_current=True)
        self.addCleanup(self.loop.close)
        self.endpoint = Endpoint()
        self.refused = []
        identity = PeerIdentity("cluster", "core-1", "a1")
        self.server = PeerServer(identity, self.endpoint, self.refused.append)

    def send_request(self, path, body, method="POST", connection=None, accept_encoding=""):
        connection = connection or Connection()
        request = self.server.start_request(None, connection)
        headers = HTTPHeaders({"Accept-Encoding": accept_encoding})
        request.headers_received(RequestStartLine(method, path, "HTTP/1.1"), headers)
        for offset in range(0, len(body), 7):
            request.data_received(body[offset : offset + 7])
        request.finish()
        self.run_loop()
        return connection

    def run_loop(self):
        self.loop.add_callback(lambda: self.loop.add_callback(self.loop.stop))
        self.loop.start()

    def batch(self, *messages, cluster="cluster"):
        return encode_batch(Batch(cluster, "node-1", "b2", list(messages)))

    def test_messages_are_passed_to_the_endpoint_in_order(self):
        connection = self.send_request("/peer/messages", self.batch(MESSAGE, MESSAGE))
        self.assertEqual([("node-1", [MESSAGE, MESSAGE])], self.endpoint.received)
        self.assertEqual([(204, {}, b"")], connection.responses)
        self.assertTrue(connection.is_finished)

    def test_messages_that_the_endpoint_returns_are_in_the_response(self):
        self.endpoint.replies = [MESSAGE]
        ((status, headers, body),) = self.send_request(
            "/peer/messages", self.batch(MESSAGE)
        ).responses
        self.assertEqual(200, status)
        self.assertEqual(str(len(body)), headers["Content-Length"])
        self.assertEqual([MESSAGE], decode_batch(body).messages)

    def test_the_response_to_a_call_is_sent_when_the_endpoint_replies(self):
        connection = self.send_request("/peer/call", self.batch(MESSAGE))
        ((_, token, _),) = self.endpoint.received
        self.assertEqual([], connection.responses)
        self.assertTrue(self.server.reply(token, MESSAGE))
        self.run_loop()
        ((status, _, body),) = connection.responses
        self.assertEqual((200, [MESSAGE]), (status, decode_batch(body).messages))

    def test_a_large_response_is_compressed_once_for_all_that_accept_it(self):
        self.endpoint.replies = [LeaseRedirect([], "text " * 4_000)]
        for _ in range(2):
            ((_, headers, body),) = self.send_request(
                "/peer/messages", self.batch(MESSAGE), accept_encoding=GZIP
            ).responses
            self.assertEqual("gzip", headers["Content-Encoding"])
            self.assertEqual(str(len(body)), headers["Content-Length"])
            self.assertLess(len(body), 1_000)
            self.assertEqual(self.endpoint.replies, decode_batch(gzip.decompress(body)).messages)
        self.assertEqual(1, len(self.server.compressor))

    def test_a_response_is_not_compressed_when_it_is_small_or_gzip_is_not_accepted(self):
        self.endpoint.replies = [LeaseRedirect([], "text " * 4_000)]
        ((_, headers, _),) = self.send_request("/peer/messages", self.batch(MESSAGE)).responses
        self.assertNotIn("Content-Encoding", headers)
        self.endpoint.replies = [MESSAGE]
        ((_, headers, _),) = self.send_request(
            "/peer/messages", self.batch(MESSAGE), accept_encoding=GZIP
        ).responses
        self.assertNotIn("Content-Encoding", headers)

    def test_a_call_without_a_reply_gets_status_503(self):
        connection = self.send_request("/peer/call", self.batch(MESSAGE))
        self.server.reply(self.endpoint.received[0][1], None)
        self.run_loop()
        self.assertEqual(503, connection.responses[0][0])

    def test_a_closed_connection_abandons_its_call_once(self):
        connection = self.send_request("/peer/call", self.batch(MESSAGE))
        token = self.endpoint.received[0][1]
        connection.close_callback()
        connection.close_callback()
        self.assertEqual([("abandoned", token)], self.endpoint.received[1:])
        self.assertFalse(self.server.reply(token, MESSAGE))

    def test_a_response_to_a_closed_connection_is_dropped(self):
        connection = self.send_request(
            "/peer/messages", self.batch(MESSAGE), connection=Connection(True)
        )
        self.assertFalse(connection.is_finished)

    def test_a_call_without_a_message_is_a_bad_request(self):
        self.assertEqual(400, self.send_request("/peer/call", self.batch()).responses[0][0])

    def test_unknown_paths_and_methods_are_not_found(self):
        for method, path in (("POST", "/other"), ("GET", "/peer/call")):
            self.assertEqual(404, self.send_request(path, b"", method).responses[0][0])

    def test_an_unreadable_batch_or_another_cluster_is_rejected_with_a_remedy(self):
        for body in (b"\xff\xff", self.batch(MESSAGE, cluster="other")):
            ((status, headers, content),) = self.send_request("/peer/messages", body).responses
            self.assertGreaterEqual(status, 400)
            self.assertEqual("application/json", headers["Content-Type"])
            self.assertTrue(json.loads(content)["remedy"])
        self.assertEqual(2, len(self.refused))
        self.assertEqual([], self.endpoint.received)
