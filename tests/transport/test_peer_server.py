"""The peers' side of a daemon, one level below request handlers."""

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
    """What the library hands to the receiver of a request."""

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
    """Receives messages and calls; responds to messages with `replies`."""

    def __init__(self):
        self.replies = []
        self.taken = []

    def messages_received(self, sender, messages):
        self.taken.append((sender, messages))
        return self.replies

    def call_received(self, sender, token, message):
        self.taken.append((sender, token, message))

    def call_abandoned(self, token):
        self.taken.append(("abandoned", token))


class PeerServerTest(TestCase):
    """Complete requests in, complete responses out."""

    def setUp(self):
        super().setUp()
        self.loop = IOLoop(make_current=True)
        self.addCleanup(self.loop.close)
        self.endpoint = Endpoint()
        self.refused = []
        identity = PeerIdentity("cluster", "core-1", "a1")
        self.server = PeerServer(identity, self.endpoint, self.refused.append)

    def ask(self, path, body, method="POST", connection=None, accepted=""):
        connection = connection or Connection()
        request = self.server.start_request(None, connection)
        headers = HTTPHeaders({"Accept-Encoding": accepted})
        request.headers_received(RequestStartLine(method, path, "HTTP/1.1"), headers)
        for place in range(0, len(body), 7):
            request.data_received(body[place : place + 7])
        request.finish()
        self.run_loop()
        return connection

    def run_loop(self):
        self.loop.add_callback(lambda: self.loop.add_callback(self.loop.stop))
        self.loop.start()

    def batch(self, *messages, cluster="cluster"):
        return encode_batch(Batch(cluster, "node-1", "b2", list(messages)))

    def test_messages_are_handed_over_in_order(self):
        connection = self.ask("/peer/messages", self.batch(MESSAGE, MESSAGE))
        self.assertEqual([("node-1", [MESSAGE, MESSAGE])], self.endpoint.taken)
        self.assertEqual([(204, {}, b"")], connection.responses)
        self.assertTrue(connection.is_finished)

    def test_what_handling_sent_back_is_in_the_response(self):
        self.endpoint.replies = [MESSAGE]
        ((status, headers, body),) = self.ask("/peer/messages", self.batch(MESSAGE)).responses
        self.assertEqual(200, status)
        self.assertEqual(str(len(body)), headers["Content-Length"])
        self.assertEqual([MESSAGE], decode_batch(body).messages)

    def test_a_call_is_responded_to_when_its_reply_comes(self):
        connection = self.ask("/peer/call", self.batch(MESSAGE))
        ((_, token, _),) = self.endpoint.taken
        self.assertEqual([], connection.responses)
        self.assertTrue(self.server.reply(token, MESSAGE))
        self.run_loop()
        ((status, _, body),) = connection.responses
        self.assertEqual((200, [MESSAGE]), (status, decode_batch(body).messages))

    def test_a_large_response_is_compressed_once_for_all_that_accept_it(self):
        self.endpoint.replies = [LeaseRedirect([], "text " * 4_000)]
        for _ in range(2):
            ((_, headers, body),) = self.ask(
                "/peer/messages", self.batch(MESSAGE), accepted=GZIP
            ).responses
            self.assertEqual("gzip", headers["Content-Encoding"])
            self.assertEqual(str(len(body)), headers["Content-Length"])
            self.assertLess(len(body), 1_000)
            self.assertEqual(self.endpoint.replies, decode_batch(gzip.decompress(body)).messages)
        self.assertEqual(1, len(self.server.compressor))

    def test_a_large_response_stays_as_it_is_for_others_and_a_small_one_for_all(self):
        self.endpoint.replies = [LeaseRedirect([], "text " * 4_000)]
        ((_, headers, _),) = self.ask("/peer/messages", self.batch(MESSAGE)).responses
        self.assertNotIn("Content-Encoding", headers)
        self.endpoint.replies = [MESSAGE]
        ((_, headers, _),) = self.ask(
            "/peer/messages", self.batch(MESSAGE), accepted=GZIP
        ).responses
        self.assertNotIn("Content-Encoding", headers)

    def test_a_call_without_a_reply_is_unavailable(self):
        connection = self.ask("/peer/call", self.batch(MESSAGE))
        self.server.reply(self.endpoint.taken[0][1], None)
        self.run_loop()
        self.assertEqual(503, connection.responses[0][0])

    def test_a_caller_that_goes_away_abandons_its_call_once(self):
        connection = self.ask("/peer/call", self.batch(MESSAGE))
        token = self.endpoint.taken[0][1]
        connection.close_callback()
        connection.close_callback()
        self.assertEqual([("abandoned", token)], self.endpoint.taken[1:])
        self.assertFalse(self.server.reply(token, MESSAGE))

    def test_a_response_to_a_closed_connection_is_dropped(self):
        connection = self.ask("/peer/messages", self.batch(MESSAGE), connection=Connection(True))
        self.assertFalse(connection.is_finished)

    def test_a_call_carries_one_message(self):
        self.assertEqual(400, self.ask("/peer/call", self.batch()).responses[0][0])

    def test_unknown_paths_and_methods_are_not_found(self):
        for method, path in (("POST", "/other"), ("GET", "/peer/call")):
            self.assertEqual(404, self.ask(path, b"", method).responses[0][0])

    def test_an_unreadable_batch_or_another_cluster_is_refused_with_a_remedy(self):
        for body in (b"\xff\xff", self.batch(MESSAGE, cluster="other")):
            ((status, headers, content),) = self.ask("/peer/messages", body).responses
            self.assertGreaterEqual(status, 400)
            self.assertEqual("application/json", headers["Content-Type"])
            self.assertTrue(json.loads(content)["remedy"])
        self.assertEqual(2, len(self.refused))
        self.assertEqual([], self.endpoint.taken)
