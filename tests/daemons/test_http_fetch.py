"""HTTP calls of a core to servers; data of an abandoned call must not arrive later."""

import asyncio
import socket
import struct
from unittest import mock

from testtools import TestCase

from zincvale.daemons import http_fetch
from zincvale.daemons.forwarding_timings import forwarding_timings
from zincvale.daemons.http_fetch import (
    UNACKNOWLEDGED_LIMIT_MS,
    FetchResult,
    HttpFetcher,
    discard_on_close,
)
from zincvale.transport.server_client import ServerExchange
from zincvale.transport.server_exchange import ResponseHead


class DiscardOnCloseTest(TestCase):
    """An order that a partition delays must not reach its server under the next leader."""

    def setUp(self):
        super().setUp()
        self.socket = socket.socket()
        self.addCleanup(self.socket.close)

    def test_closing_a_connection_resets_it(self):
        discard_on_close(self.socket)
        packed = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        self.assertEqual((1, 0), struct.unpack("ii", packed))

    def test_unacknowledged_bytes_are_discarded_before_the_lease_ends(self):
        discard_on_close(self.socket)
        limit_ms = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(UNACKNOWLEDGED_LIMIT_MS, limit_ms)
        self.assertLessEqual(limit_ms / 1000.0, forwarding_timings().role_margin_s)

    def test_setting_the_options_leaves_the_socket_open(self):
        discard_on_close(self.socket)
        self.assertGreaterEqual(self.socket.fileno(), 0)
        self.socket.getsockname()

    def test_every_connection_is_prepared_and_bound_to_the_daemons_own_address(self):
        with mock.patch.object(http_fetch, "ServerClient") as client:
            HttpFetcher({}, "core-1", "127.0.0.1:7000")
        prepare = client.call_args.args[2]
        prepare(self.socket)
        packed = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        self.assertEqual((1, 0), struct.unpack("ii", packed))
        self.assertEqual("127.0.0.1", self.socket.getsockname()[0])


class ScriptedClient:
    """A client whose `script` determines what happens to each request."""

    def __init__(self, script):
        self.script = script
        self.requests = []

    def start(self, address, incarnation, request, listener):
        self.requests.append((address, request))
        asyncio.get_running_loop().call_soon(self.script, listener)
        return ServerExchange()


def respond(listener):
    listener.on_head(ResponseHead(202, "Accepted", [("Content-Length", "4")]))
    listener.on_content(b"do")
    listener.on_content(b"ne")
    listener.on_complete(is_delimited=True)


class HttpFetcherCallTest(TestCase):
    def call(self, script, body=b"{}", timeout_s=1.0):
        fetcher = HttpFetcher({}, "core-1", "127.0.0.1:7000")
        fetcher._client = self.client = ScriptedClient(script)
        return asyncio.run(fetcher.call("10.0.0.1:1", "POST", "/o", body, {"X-A": "b"}, timeout_s))

    def test_a_response_is_returned_with_its_complete_body(self):
        self.assertEqual(FetchResult(202, b"done"), self.call(respond))
        ((address, request),) = self.client.requests
        self.assertEqual(("10.0.0.1:1", "POST", "/o"), (address, request.method, request.target))
        self.assertIn(("X-Zincvale-Member", "core-1"), request.headers)
        self.assertIn(("Content-Type", "application/json"), request.headers)
        self.assertIn(("X-A", "b"), request.headers)

    def test_a_call_on_a_broken_connection_counts_as_sent_and_is_not_repeated(self):
        result = self.call(lambda listener: listener.on_broken("reset"))
        self.assertEqual((0, True), (result.status, result.connected))
        self.assertEqual(1, len(self.client.requests))

    def test_a_call_without_a_connection_counts_as_not_sent(self):
        result = self.call(lambda listener: listener.on_not_sent("refused"))
        self.assertEqual((0, False), (result.status, result.connected))

    def test_a_call_without_a_response_times_out(self):
        result = self.call(lambda listener: None, timeout_s=0.0)
        self.assertEqual(0, result.status)
        self.assertIn("no response", result.error)
