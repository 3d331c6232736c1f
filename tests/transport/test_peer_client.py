"""Tests of the client side of the peer protocol."""

import asyncio
import gzip

from testtools import TestCase

from zincvale.coordination.leases.messages import LeaseRedirect
from zincvale.transport.codec import Batch, decode_batch, encode_batch
from zincvale.transport.peer import PeerCallError, PeerUnreachableError
from zincvale.transport.peer_client import PeerClient, PeerIdentity
from zincvale.transport.server_client import ServerExchange
from zincvale.transport.server_exchange import ResponseHead

REQUEST = LeaseRedirect([], "asked")
REPLY = LeaseRedirect([], "reply")


class Connections:
    """Records the requests; responds with the responses in `script`, and then with empty ones."""

    def __init__(self, *script):
        self.requests = []
        self.script = list(script)

    def start(self, address, incarnation, request, listener):
        self.requests.append(request)
        exchange = ServerExchange()
        response = self.script.pop(0) if self.script else empty_response
        asyncio.get_running_loop().call_soon(response, exchange, listener)
        return exchange


def empty_response(exchange, listener):
    listener.on_head(ResponseHead(204, "No Content", []))
    listener.on_complete(is_delimited=True)


def reset_connection(on_reused):
    """Return a script entry that resets the connection before any response."""

    def fail(exchange, listener):
        exchange.reused = on_reused
        listener.on_broken("reset")

    return fail


def respond_with(body, status=200, headers=()):
    """Return a script entry that sends this response."""

    def response(exchange, listener):
        listener.on_head(ResponseHead(status, "", list(headers)))
        listener.on_content(body)
        listener.on_complete(is_delimited=True)

    return response


def batch_of(message):
    return encode_batch(Batch("cluster", "core-1", "c1", [message]))


class PeerTest(TestCase):
    def make_client(self, *script, resolve=lambda member: "10.0.0.1:1"):
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

    def send(self, client, message):
        async def scenario():
            client.send("core-1", message)
            while client._links["core-1"].has_batch_in_flight:
                await asyncio.sleep(0)

        asyncio.run(scenario())


class ExchangeTest(PeerTest):
    def test_the_response_to_a_call_is_its_reply(self):
        client = self.make_client(respond_with(batch_of(REPLY)))
        self.assertEqual(REPLY, asyncio.run(client.call("core-1", REQUEST, 1.0)))
        (request,) = self.connections.requests
        self.assertEqual(("POST", "/peer/call"), (request.method, request.target))

    def test_a_compressed_response_is_decompressed(self):
        coding = [("Content-Encoding", "gzip")]
        client = self.make_client(respond_with(gzip.compress(batch_of(REPLY)), headers=coding))
        self.assertEqual(REPLY, asyncio.run(client.call("core-1", REQUEST, 1.0)))

    def test_an_unreadable_or_failed_response_fails_the_call(self):
        coding = [("Content-Encoding", "gzip")]
        for response in (
            respond_with(b"abc"),
            respond_with(b"abc", headers=coding),
            respond_with(b"", status=503),
        ):
            client = self.make_client(response)
            self.assertRaises(PeerCallError, asyncio.run, client.call("core-1", REQUEST, 1.0))

    def test_a_call_is_retried_once_when_a_reused_connection_is_reset(self):
        client = self.make_client(reset_connection(on_reused=True), respond_with(batch_of(REPLY)))
        self.assertEqual(REPLY, asyncio.run(client.call("core-1", REQUEST, 1.0)))
        client = self.make_client(
            reset_connection(on_reused=True),
            reset_connection(on_reused=True),
            respond_with(batch_of(REPLY)),
        )
        self.assertRaises(PeerCallError, asyncio.run, client.call("core-1", REQUEST, 1.0))
        self.assertEqual(2, len(self.connections.requests))

    def test_a_call_is_not_retried_when_a_new_connection_is_reset(self):
        client = self.make_client(reset_connection(on_reused=False), respond_with(batch_of(REPLY)))
        self.assertRaises(PeerCallError, asyncio.run, client.call("core-1", REQUEST, 1.0))
        self.assertEqual(1, len(self.connections.requests))

    def test_a_member_without_a_connection_or_an_address_is_unreachable(self):
        client = self.make_client(lambda exchange, listener: listener.on_not_sent("refused"))
        self.assertRaises(PeerUnreachableError, asyncio.run, client.call("core-1", REQUEST, 1.0))
        client = self.make_client(resolve=lambda member: None)
        self.assertRaises(PeerUnreachableError, asyncio.run, client.call("core-1", REQUEST, 1.0))

    def test_a_call_fails_after_its_timeout(self):
        client = self.make_client(lambda exchange, listener: None)
        self.assertRaises(PeerCallError, asyncio.run, client.call("core-1", REQUEST, 0.0))

    def test_messages_in_a_response_are_delivered_and_link_states_are_reported_once(self):
        client = self.make_client(
            respond_with(batch_of(REPLY)),
            reset_connection(False),
            reset_connection(False),
            empty_response,
        )
        for _ in range(4):
            self.send(client, REQUEST)
        self.assertEqual([("core-1", [REPLY])], self.received)
        self.assertEqual([("core-1", False), ("core-1", True)], self.states)


class CompressionTest(PeerTest):
    """Large bodies are compressed, so that they cross slow links before the timeout."""

    def send_and_get_request(self, message):
        self.send(self.make_client(), message)
        (request,) = self.connections.requests
        return request

    def test_a_large_body_is_compressed(self):
        message = LeaseRedirect([], "text " * 4_000)
        request = self.send_and_get_request(message)
        self.assertEqual("gzip", dict(request.headers)["Content-Encoding"])
        self.assertLess(len(request.body), 1_000)
        self.assertEqual([message], decode_batch(gzip.decompress(request.body)).messages)

    def test_a_small_body_is_not_compressed(self):
        message = LeaseRedirect([], "text")
        request = self.send_and_get_request(message)
        self.assertNotIn("Content-Encoding", dict(request.headers))
        self.assertEqual([message], decode_batch(request.body).messages)
