"""The server on real connections: what is refused before it is read, and what is held."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import testtools
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets

from zincvale.model.forwarding import CallerLimits
from zincvale.runtime.admission.admission import (
    BODY_COPIES,
    PEER_REQUEST_BYTES,
    REQUEST_BYTES,
    Admission,
)
from zincvale.runtime.admission.limits import DocumentLimits, ProcessLimits
from zincvale.runtime.admission.server import AdmittingServer

HOST, PORT = "127.63.0.1", 8144
MAX_BODY_BYTES = 100_000
UNREAD_BYTES = 16 * 1024 * 1024
"""More than the sockets of a connection hold."""
HEADERS = b"POST / HTTP/1.1\r\nHost: a\r\n"
READ_TIMEOUT_S = 20.0
MANY = 100_000
"""Iterations of the event loop after which a state counts as never reached."""


class _Handler(HTTPServerConnectionDelegate):
    """Keeps the complete requests; they are answered when the test says so."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []
        self.connections: list[Any] = []
        self.answers_at_once = True

    def start_request(self, server_conn: object, request_conn: Any) -> HTTPMessageDelegate:
        return _Request(self, request_conn)


class _Request(HTTPMessageDelegate):
    def __init__(self, handler: _Handler, connection: Any) -> None:
        self._handler = handler
        self._connection = connection
        self._body = b""

    def data_received(self, chunk: bytes) -> None:
        self._body += chunk

    def finish(self) -> None:
        self._handler.bodies.append(self._body)
        self._handler.connections.append(self._connection)
        if self._handler.answers_at_once:
            answer(self._connection)


def answer(connection: Any) -> None:
    connection.write_headers(
        ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders({"Content-Length": "0"})
    )
    connection.finish()


def with_length(size: int) -> bytes:
    return HEADERS + b"Content-Length: %d\r\n\r\n" % size


async def settle(is_settled: Callable[[], bool] = lambda: False, iterations: int = 50) -> None:
    """Let the event loop handle what has arrived, at most until `is_settled`."""
    for _ in range(iterations):
        if is_settled():
            return
        await asyncio.sleep(0)


async def status_of(reader: asyncio.StreamReader) -> int:
    line = await asyncio.wait_for(reader.readline(), READ_TIMEOUT_S)
    return int(line.split()[1]) if line else 0


class AdmittingServerTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.handler = _Handler()
        self.limits = CallerLimits(max_header_bytes=2_000, max_body_bytes=MAX_BODY_BYTES)
        self.has_lease = True
        self.request_bytes = REQUEST_BYTES
        self.now = 0.0
        self.writers: list[asyncio.StreamWriter] = []

    def play(
        self,
        scenario: Callable[[], Awaitable[None]],
        memory_bytes: int = 100_000_000,
        descriptors: int = 500,
    ) -> None:
        async def run() -> None:
            self.admission = Admission(ProcessLimits(memory_bytes, descriptors), lambda: self.now)
            limits = DocumentLimits(lambda: self.limits, lambda: self.has_lease)
            self.server = server = AdmittingServer(
                self.handler, self.admission, limits, request_bytes=self.request_bytes
            )
            server.serve(bind_sockets(PORT, HOST))
            try:
                await scenario()
            finally:
                for writer in self.writers:
                    writer.close()
                server.stop()
                await server.close_all_connections()

        asyncio.run(run())

    async def send(self, *parts: bytes) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection(HOST, PORT)
        self.writers.append(writer)
        for part in parts:
            writer.write(part)
            await settle()
        return reader

    def test_an_announced_body_over_the_limit_is_refused_before_it_is_sent(self) -> None:
        async def scenario() -> None:
            reader = await self.send(with_length(MAX_BODY_BYTES + 1))
            self.assertEqual(413, await status_of(reader))

        self.play(scenario)
        self.assertEqual([], self.handler.bodies)

    def test_a_length_of_thousands_of_digits_is_refused_like_any_other_over_the_limit(self) -> None:
        self.limits = CallerLimits(max_header_bytes=16_000)

        async def scenario() -> None:
            reader = await self.send(HEADERS + b"Content-Length: " + b"9" * 6_000 + b"\r\n\r\n")
            self.assertEqual(413, await status_of(reader))

        self.play(scenario)

    def test_a_chunked_body_is_refused_once_it_is_over_the_limit(self) -> None:
        async def scenario() -> None:
            chunk = b"%x\r\n%s\r\n" % (MAX_BODY_BYTES // 2 + 1, b"b" * (MAX_BODY_BYTES // 2 + 1))
            reader = await self.send(HEADERS + b"Transfer-Encoding: chunked\r\n\r\n", chunk, chunk)
            self.assertEqual(413, await status_of(reader))

        self.play(scenario)

    def test_without_a_lease_a_body_over_the_limit_may_be_sent_again(self) -> None:
        self.has_lease = False

        async def scenario() -> None:
            reader = await self.send(with_length(MAX_BODY_BYTES + 1))
            self.assertEqual(503, await status_of(reader))

        self.play(scenario)

    def test_limits_that_change_while_bytes_arrive_are_in_force_at_once(self) -> None:
        async def scenario() -> None:
            reader = await self.send(with_length(1_000) + b"b" * 500)
            await settle(lambda: self.admission.budget.reserved_bytes > REQUEST_BYTES, MANY)
            self.limits = CallerLimits(max_body_bytes=600)
            self.writers[0].write(b"b" * 500)
            self.assertEqual(413, await status_of(reader))

        self.play(scenario)

    def test_without_memory_a_request_is_refused_and_not_passed_on(self) -> None:
        async def scenario() -> None:
            reader = await self.send(with_length(10) + b"b" * 10)
            self.assertEqual(503, await status_of(reader))

        self.play(scenario, memory_bytes=REQUEST_BYTES)
        self.assertEqual([], self.handler.bodies)

    def test_an_unfinished_body_gives_way_to_a_request_that_fits(self) -> None:
        request_bytes = REQUEST_BYTES + BODY_COPIES * (MAX_BODY_BYTES - 1)
        memory_bytes = 5 * request_bytes

        async def scenario() -> None:
            stopped = await self.send(with_length(MAX_BODY_BYTES), b"b" * (MAX_BODY_BYTES - 1))
            await settle(lambda: self.admission.budget.reserved_bytes == request_bytes, MANY)
            self.now = 1.0
            reader = await self.send(with_length(90_000), b"b" * 90_000)
            self.assertEqual(200, await status_of(reader))
            self.assertEqual(503, await status_of(stopped))

        self.play(scenario, memory_bytes=memory_bytes)

    def test_a_request_holds_its_memory_until_it_is_answered(self) -> None:
        self.handler.answers_at_once = False

        async def scenario() -> None:
            reader = await self.send(with_length(1_000) + b"b" * 1_000)
            await settle(lambda: bool(self.handler.connections), MANY)
            self.assertEqual(
                REQUEST_BYTES + BODY_COPIES * 1_000, self.admission.budget.reserved_bytes
            )
            answer(self.handler.connections[0])
            self.assertEqual(200, await status_of(reader))
            await settle(lambda: not self.admission.budget.reserved_bytes, MANY)
            self.assertEqual(0, self.admission.budget.reserved_bytes)

        self.play(scenario)

    def test_peers_that_wait_in_long_polls_hold_little_memory(self) -> None:
        self.handler.answers_at_once = False
        self.request_bytes = PEER_REQUEST_BYTES
        polls = 100

        async def scenario() -> None:
            for _ in range(polls):
                await self.send(with_length(0))
            await settle(lambda: len(self.handler.connections) == polls, MANY)
            self.assertEqual(polls * PEER_REQUEST_BYTES, self.admission.budget.reserved_bytes)

        self.play(scenario, descriptors=10_000)

    def test_a_closed_connection_holds_no_memory(self) -> None:
        async def scenario() -> None:
            await self.send(with_length(1_000) + b"b" * 500)
            await settle(lambda: self.admission.budget.reserved_bytes > REQUEST_BYTES, MANY)
            self.assertLess(REQUEST_BYTES, self.admission.budget.reserved_bytes)
            self.writers[0].close()
            await settle(lambda: not len(self.admission.connections), MANY)
            self.assertEqual(0, self.admission.budget.reserved_bytes)
            self.assertEqual(0, len(self.admission.connections))

        self.play(scenario)

    def test_a_response_stalls_from_the_last_byte_read_and_not_the_last_one_written(self) -> None:
        self.handler.answers_at_once = False

        async def scenario() -> None:
            await self.send(with_length(0))
            await settle(lambda: bool(self.handler.connections), MANY)
            connection = self.handler.connections[0]
            connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders())
            for self.now in (1.0, 2.0):
                connection.write(b"r" * UNREAD_BYTES)
            (stalled,) = self.admission.connections.timed_out(
                1.0 + CallerLimits().idle_timeout_s + 0.1
            )
            self.assertEqual(1.0, stalled.stalled_since)

        self.play(scenario, memory_bytes=10 * UNREAD_BYTES)

    def test_a_server_knows_whether_a_client_has_not_read_its_response(self) -> None:
        """LOST: a stopped process ended while finished responses waited for their clients."""
        self.handler.answers_at_once = False

        async def scenario() -> None:
            await self.send(with_length(0))
            await settle(lambda: bool(self.handler.connections), MANY)
            self.assertFalse(self.server.has_unsent_responses)
            connection = self.handler.connections[0]
            connection.write_headers(ResponseStartLine("HTTP/1.1", 200, "OK"), HTTPHeaders())
            connection.write(b"r" * UNREAD_BYTES)
            connection.finish()
            self.assertTrue(self.server.has_unsent_responses)
            self.writers[0].close()
            await settle(lambda: not self.server.has_unsent_responses, MANY)
            self.assertFalse(self.server.has_unsent_responses)

        self.play(scenario, memory_bytes=10 * UNREAD_BYTES)

    def test_headers_over_the_limit_are_refused(self) -> None:
        async def scenario() -> None:
            for size in (2_100, 50_000):
                reader = await self.send(HEADERS + b"F: " + b"f" * size + b"\r\n\r\n")
                self.assertEqual(431, await status_of(reader), size)

        self.play(scenario)

    def test_a_new_connection_replaces_one_that_sent_nothing(self) -> None:
        async def scenario() -> None:
            silent = [await self.send() for _ in range(20)]
            await settle()
            self.now = 1.0
            reader = await self.send(with_length(0))
            self.assertEqual(200, await status_of(reader))
            self.assertEqual(0, await status_of(silent[0]))
            self.assertEqual(16, len(self.admission.connections))

        self.play(scenario, descriptors=210)

    def test_requests_on_one_connection_follow_one_another(self) -> None:
        async def scenario() -> None:
            request = with_length(3) + b"abc"
            reader = await self.send(request, request + request)
            for _ in range(3):
                self.assertEqual(200, await status_of(reader))
                self.assertEqual(b"Content-Length: 0\r\n", await reader.readline())
                self.assertEqual(b"\r\n", await reader.readline())

        self.play(scenario)
        self.assertEqual([b"abc"] * 3, self.handler.bodies)
