"""What a daemon sends to its peers."""

import gzip

from testtools import TestCase
from tornado.concurrent import Future
from tornado.ioloop import IOLoop

from zincvale.coordination.lease_messages import LeaseRedirect
from zincvale.transport.codec import decode_batch
from zincvale.transport.peer_client import PeerClient, PeerIdentity


class Response:
    body = b""


class Client:
    """Takes requests and answers nothing."""

    def __init__(self):
        self.requests = []

    def fetch(self, request):
        self.requests.append(request)
        future = Future()
        future.set_result(Response())
        return future


class CompressionTest(TestCase):
    """Large bodies are compressed, so that they pass slow links before they are given up."""

    def sent(self, message):
        loop = IOLoop(make_current=True)
        self.addCleanup(loop.close)
        client = Client()
        identity = PeerIdentity("cluster", "node-1", "a1")
        peers = PeerClient(
            identity, lambda member: "10.0.0.1:1", {}, lambda *_: None, lambda *_: None, client
        )

        async def send():
            peers.send("core-1", message)

        loop.run_sync(send)
        loop.add_callback(lambda: loop.add_callback(loop.stop))
        loop.start()
        (request,) = client.requests
        return request

    def test_a_large_body_is_compressed(self):
        message = LeaseRedirect([], "text " * 4_000)
        request = self.sent(message)
        self.assertEqual("gzip", request.headers["Content-Encoding"])
        self.assertLess(len(request.body), 1_000)
        self.assertEqual([message], decode_batch(gzip.decompress(request.body)).messages)

    def test_a_small_body_is_not(self):
        message = LeaseRedirect([], "text")
        request = self.sent(message)
        self.assertNotIn("Content-Encoding", request.headers)
        self.assertEqual([message], decode_batch(request.body).messages)
