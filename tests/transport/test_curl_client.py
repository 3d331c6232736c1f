"""Tests of the curl client against a scripted server on a loopback address of its own."""

from __future__ import annotations

import asyncio
import os

import attrs
import testtools

from zincvale.transport.curl_client import CurlClient
from zincvale.transport.curl_exchange import ClientRequest, ExchangeError

PORT = 9117
NEVER_S = 1e6
"""Timeout that is never reached: each exchange ends because of what the server does."""
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
BIG_BYTES = 32_000_000


def unique_loopback_host() -> str:
    """Return a loopback address that no other test run on this machine uses."""
    number = os.getpid()
    return f"127.{64 + (number >> 16) % 64}.{(number >> 8) % 256}.{number % 256 or 1}"


def request_to(path, body=b"{}", address="10.0.0.1:1", streaming=False):
    return ClientRequest(address, path, body, streaming=streaming, connect_timeout_s=NEVER_S / 1000)


async def run_event_loop(count):
    """Run the event loop `count` times, so that every ready socket is served."""
    for _ in range(count):
        await asyncio.sleep(0)


@attrs.define(eq=False)
class ScriptedServer:
    """Server whose behaviour depends on the path; counts connections and records requests."""

    requests: list = attrs.field(factory=list)
    connections: int = 0
    written: int = 0
    hanging: asyncio.Event = attrs.field(factory=asyncio.Event)
    hung_up: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split(b" ")[1].decode()
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.split(b":")[1]))
        self.requests.append(path)
        if path == "/drop":
            return False
        if path == "/answer-and-close":
            writer.write(OK)
            return False
        if path == "/answer-twice":
            writer.write(OK + OK)
            return True
        if path == "/short":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}")
            return False
        if path == "/cut-chunks":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")
            return False
        if path == "/hang":
            self.hanging.set()
            await reader.read()
            self.hung_up.set()
            return False
        if path == "/big":
            await self.write_big(writer)
            return True
        writer.write(OK)
        await writer.drain()
        return True

    async def write_big(self, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BIG_BYTES)
        for _ in range(BIG_BYTES // 100_000):
            writer.write(b"x" * 100_000)
            await writer.drain()
            self.written += 100_000


class Listener:
    def __init__(self, pauses_at_first_body=False):
        self.calls = []
        self.received = 0
        self.exchange = None
        self.pauses_at_first_body = pauses_at_first_body
        self.closes_when_done = False
        self.ended = asyncio.get_running_loop().create_future()
        self.headers_seen = asyncio.get_running_loop().create_future()
        self.first = asyncio.get_running_loop().create_future()

    def on_connected(self):
        self.calls.append("connected")

    def on_headers(self, status, headers):
        self.calls.append(f"headers {status}")
        self.headers_seen.set_result(None)

    def on_body(self, data):
        self.received += len(data)
        if not self.first.done():
            self.first.set_result(None)
            if self.pauses_at_first_body:
                self.exchange.pause()

    def on_done(self, body):
        self.calls.append("done")
        if self.closes_when_done:
            self.exchange.close_connection()
        self.ended.set_result(body)

    def on_failed(self, failure):
        self.calls.append("failed")
        self.ended.set_result(failure)


class CurlClientTest(testtools.TestCase):
    def run_scenario(self, scenario):
        async def main():
            script = ScriptedServer()
            host = unique_loopback_host()
            server = await asyncio.start_server(script.serve, host, PORT)
            client = CurlClient({"10.0.0.1:1": f"{host}:{PORT}"})
            try:
                await scenario(client, script)
            finally:
                client.close()
                server.close()

        asyncio.run(main())

    async def fetch(self, client, path, body=b"{}"):
        try:
            return await client.fetch(request_to(path, body), NEVER_S)
        except ExchangeError as failed:
            return failed.failure

    def test_connections_are_reused_through_the_address_map(self):
        async def scenario(client, script):
            for _ in range(5):
                response = await self.fetch(client, "/a")
                self.assertEqual((200, b"{}"), (response.status, response.body))
            self.assertEqual((5, 1), (len(script.requests), script.connections))

        self.run_scenario(scenario)

    def test_a_request_is_not_sent_twice_when_the_server_closed_a_reused_connection(self):
        async def scenario(client, script):
            for body in (b"{}", None):
                await self.fetch(client, "/a", body)
                failure = await self.fetch(client, "/drop", body)
                self.assertTrue(failure.sent)
            self.assertEqual(["/a", "/drop", "/a", "/drop"], script.requests)

        self.run_scenario(scenario)

    def test_a_pooled_connection_that_closed_or_has_unread_bytes_is_not_used(self):
        async def scenario(client, script):
            for path in ("/answer-and-close", "/answer-twice"):
                for _ in range(4):
                    response = await self.fetch(client, path)
                    self.assertEqual(200, response.status)
            self.assertEqual((8, 8), (len(script.requests), script.connections))

        self.run_scenario(scenario)

    def test_an_incomplete_response_fails_the_exchange(self):
        async def scenario(client, script):
            for path in ("/short", "/cut-chunks"):
                failure = await self.fetch(client, path)
                self.assertEqual((True, 200), (failure.sent, failure.status))

        self.run_scenario(scenario)

    def test_nothing_is_sent_when_may_send_returns_false(self):
        async def scenario(client, script):
            for may_send in (True, False):
                request = attrs.evolve(request_to("/a"), may_send=lambda may=may_send: may)
                listener = Listener()
                client.start(request, listener)
                await listener.ended
            self.assertEqual((["failed"], ["/a"]), (listener.calls, script.requests))
            self.assertFalse(listener.ended.result().sent)

        self.run_scenario(scenario)

    def test_a_refused_connection_reports_that_nothing_was_sent(self):
        async def scenario(client, script):
            request = request_to("/a", b"{}", f"{unique_loopback_host()}:1")
            error = None
            try:
                await client.fetch(request, NEVER_S)
            except ExchangeError as failed:
                error = failed.failure
            self.assertFalse(error.sent)

        self.run_scenario(scenario)

    def test_a_cancelled_exchange_closes_the_connection_and_reports_no_more_events(self):
        async def scenario(client, script):
            listener = Listener()
            exchange = client.start(request_to("/hang"), listener)
            await script.hanging.wait()
            self.assertTrue(exchange.sent)
            exchange.cancel()
            await script.hung_up.wait()
            self.assertEqual(["connected"], listener.calls)
            self.assertEqual(0, client.running)
            await self.fetch(client, "/a")
            self.assertEqual(2, script.connections)

        self.run_scenario(scenario)

    def test_a_connection_closed_after_a_complete_response_is_not_used_again(self):
        async def scenario(client, script):
            listener = Listener()
            listener.closes_when_done = True
            listener.exchange = client.start(request_to("/a"), listener)
            await listener.ended
            await self.fetch(client, "/a")
            self.assertEqual(2, script.connections)

        self.run_scenario(scenario)

    def test_a_paused_exchange_reads_no_more_than_its_buffer(self):
        async def scenario(client, script):
            listener = Listener(pauses_at_first_body=True)
            request = request_to("/big", None, streaming=True)
            listener.exchange = client.start(request, listener)
            await listener.first
            before = -1
            while script.written != before:
                before = script.written
                await run_event_loop(200)
            self.assertLess(listener.received, 300_000)
            self.assertLess(script.written, BIG_BYTES)
            listener.exchange.resume()
            await listener.ended
            self.assertEqual(BIG_BYTES, listener.received)
            self.assertEqual(["connected", "headers 200", "done"], listener.calls)

        self.run_scenario(scenario)

    def test_a_body_received_during_a_pause_is_delivered_before_the_end(self):
        async def scenario(client, script):
            listener = Listener()
            request = request_to("/a", None, streaming=True)
            listener.exchange = client.start(request, listener)
            listener.exchange.pause()
            await listener.headers_seen
            await run_event_loop(50)
            self.assertEqual(0, listener.received)
            listener.exchange.resume()
            await listener.ended
            self.assertEqual((2, "done"), (listener.received, listener.calls[-1]))

        self.run_scenario(scenario)
