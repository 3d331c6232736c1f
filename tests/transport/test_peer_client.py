"""What a daemon sends to its peers."""

import asyncio
import gzip

from testtools import TestCase

from zincvale.coordination.leases.messages import LeaseRedirect
from zincvale.transport.codec import Batch, decode_batch, encode_batch
from zincvale.transport.peer import PeerCallError, PeerUnreachableError
from zincvale.transport.peer_client import PeerClient, PeerIdentity
from zincvale.transport.server_client import ServerExchange
from zincvale.transport.server_exchange import ResponseHead

ASKED = LeaseRedirect([], "asked")
REPLY = LeaseRedirect([], "reply")


class Connections:
    """Records the requests; each gets the next response of the script, then an empty one."""

    def __init__(self, *script):
        self.requests = []
        self.script = list(script)

    def start(self, address, incarnation, request, listener):
        self.requests.append(request)
        exchange = ServerExchange()
        response = self.script.pop(0) if self.script else nothing
        asyncio.get_running_loop().call_soon(response, exchange, listener)
        return exchange


def nothing(exchange, listener):
    listener.on_head(ResponseHead(204, "No Content", []))
    listener.on_complete()


def reset(on_reused):
    """Return an end of the connection before any response."""

    def end(exchange, listener):
        exchange.reused = on_reused
        listener.on_broken("reset")

    return end


def says(body, status=200, headers=()):
    """Return a response."""

    def response(exchange, listener):
        listener.on_head(ResponseHead(status, "", list(headers)))
        listener.on_content(body)
        listener.on_complete()

    return response


def batch_of(message):
    return encode_batch(Batch("cluster", "core-1", "c1", [message]))


class PeerTest(TestCase):
    def peers(self, *script, resolve=lambda member: "10.0.0.1:1"):
        self.connections = Connections(*script)
        identity = PeerIdentity("cluster", "node-1", "a1")
        self.received, self.states = [], []
        return PeerClient(
            identity,
            resolve,
            {},
            lambda *got: self.received.append(got),
            lambda *state: self.states.append(state[:2]),
            self.connections,
        )

    def send(self, peers, message):
        async def scenario():
            peers.send("core-1", message)
            while peers._links["core-1"].has_batch_in_flight:
                await asyncio.sleep(0)

        asyncio.run(scenario())


class ExchangeTest(PeerTest):
    def test_the_response_to_a_call_is_its_reply(self):
        peers = self.peers(says(batch_of(REPLY)))
        self.assertEqual(REPLY, asyncio.run(peers.call("core-1", ASKED, 1.0)))
        (request,) = self.connections.requests
        self.assertEqual(("POST", "/peer/call"), (request.method, request.target))

    def test_a_compressed_response_is_expanded(self):
        coding = [("Content-Encoding", "gzip")]
        peers = self.peers(says(gzip.compress(batch_of(REPLY)), headers=coding))
        self.assertEqual(REPLY, asyncio.run(peers.call("core-1", ASKED, 1.0)))

    def test_what_cannot_be_read_fails_the_call(self):
        coding = [("Content-Encoding", "gzip")]
        for response in (says(b"abc"), says(b"abc", headers=coding), says(b"", status=503)):
            peers = self.peers(response)
            self.assertRaises(PeerCallError, asyncio.run, peers.call("core-1", ASKED, 1.0))

    def test_a_call_on_a_connection_that_had_ended_is_sent_once_more(self):
        peers = self.peers(reset(on_reused=True), says(batch_of(REPLY)))
        self.assertEqual(REPLY, asyncio.run(peers.call("core-1", ASKED, 1.0)))
        peers = self.peers(reset(on_reused=True), reset(on_reused=True), says(batch_of(REPLY)))
        self.assertRaises(PeerCallError, asyncio.run, peers.call("core-1", ASKED, 1.0))
        self.assertEqual(2, len(self.connections.requests))

    def test_a_call_that_broke_off_on_a_new_connection_is_not_sent_again(self):
        peers = self.peers(reset(on_reused=False), says(batch_of(REPLY)))
        self.assertRaises(PeerCallError, asyncio.run, peers.call("core-1", ASKED, 1.0))
        self.assertEqual(1, len(self.connections.requests))

    def test_a_member_without_a_connection_or_an_address_was_not_reached(self):
        peers = self.peers(lambda exchange, listener: listener.on_not_sent("refused"))
        self.assertRaises(PeerUnreachableError, asyncio.run, peers.call("core-1", ASKED, 1.0))
        peers = self.peers(resolve=lambda member: None)
        self.assertRaises(PeerUnreachableError, asyncio.run, peers.call("core-1", ASKED, 1.0))

    def test_a_call_is_given_up_after_its_time(self):
        peers = self.peers(lambda exchange, listener: None)
        self.assertRaises(PeerCallError, asyncio.run, peers.call("core-1", ASKED, 0.0))

    def test_messages_that_come_back_are_delivered_and_link_states_are_reported_once(self):
        peers = self.peers(says(batch_of(REPLY)), reset(False), reset(False), nothing)
        for _ in range(4):
            self.send(peers, ASKED)
        self.assertEqual([("core-1", [REPLY])], self.received)
        self.assertEqual([("core-1", False), ("core-1", True)], self.states)


class CompressionTest(PeerTest):
    """Large bodies are compressed, so that they pass slow links before they are given up."""

    def sent(self, message):
        self.send(self.peers(), message)
        (request,) = self.connections.requests
        return request

    def test_a_large_body_is_compressed(self):
        message = LeaseRedirect([], "text " * 4_000)
        request = self.sent(message)
        self.assertEqual("gzip", dict(request.headers)["Content-Encoding"])
        self.assertLess(len(request.body), 1_000)
        self.assertEqual([message], decode_batch(gzip.decompress(request.body)).messages)

    def test_a_small_body_is_not(self):
        message = LeaseRedirect([], "text")
        request = self.sent(message)
        self.assertNotIn("Content-Encoding", dict(request.headers))
        self.assertEqual([message], decode_batch(request.body).messages)
