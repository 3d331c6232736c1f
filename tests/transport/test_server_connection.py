"""Tests of a connection to a server with correct, late, malformed and incomplete responses."""

from __future__ import annotations

import asyncio
import socket

import testtools

from zincvale.transport.server_connection import ServerConnection
from zincvale.transport.server_exchange import OutgoingRequest

TIMEOUT_S = 5.0
OWN_RESPONSE = b"HTTP/1.1 200 OK\r\nrid: q1\r\nContent-Length: 4\r\n\r\nours"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nrid: q0\r\nContent-Length: 6\r\n\r\ntheirs"


class Listener:
    """Records its events, and resolves `ended` with the last one."""

    def __init__(self):
        self.events = []
        self.ended = asyncio.get_running_loop().create_future()

    def on_not_sent(self, reason):
        self._record_end("not-sent")

    def on_head(self, head):
        self.events.append(head.status)

    def on_content(self, data):
        self.events.append(data)

    def on_complete(self, *, is_delimited):
        self._record_end("ended" if is_delimited else "ended with its connection")

    def on_broken(self, reason):
        self._record_end("broken")

    def _record_end(self, name):
        self.events.append(name)
        self.ended.set_result(None)

    @property
    def body(self):
        return b"".join(each for each in self.events if isinstance(each, bytes))


class ConnectionPair:
    """A connection and the server's socket of it."""

    def __init__(self):
        self.client_socket, self.server_socket = socket.socketpair()
        self.server_socket.setblocking(False)
        self.idle, self.closed = [], []
        self.connection = ServerConnection(lambda: 0.0, self.idle.append, self.closed.append)

    @classmethod
    async def open(cls):
        pair = cls()
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: pair.connection, sock=pair.client_socket)
        return pair

    def send(self, body=b"{}", method="POST", headers=(("Host", "a"),)):
        request = OutgoingRequest(
            method, "/x", list(headers), body, lambda status, headers: headers.get("rid") == "q1"
        )
        listener = Listener()
        self.was_sent = self.connection.send(request, listener)
        return listener

    async def respond(self, *parts):
        for part in parts:
            await asyncio.get_running_loop().sock_sendall(self.server_socket, part)

    async def read(self, size=65536):
        return await asyncio.wait_for(
            asyncio.get_running_loop().sock_recv(self.server_socket, size), TIMEOUT_S
        )

    async def wait_until_closed(self):
        while await self.read():
            pass


async def run_exchange(pair, *parts, close=False):
    listener = pair.send()
    await pair.read()
    await pair.respond(*parts)
    if close:
        pair.server_socket.close()
    await asyncio.wait_for(listener.ended, TIMEOUT_S)
    return listener


class ConnectionTest(testtools.TestCase):
    def run_async(self, scenario):
        asyncio.run(scenario())

    def test_a_response_is_read_and_the_connection_becomes_idle(self):
        async def scenario():
            pair = await ConnectionPair.open()
            for _ in range(3):
                listener = await run_exchange(
                    pair, OWN_RESPONSE[:20], OWN_RESPONSE[20:50], OWN_RESPONSE[50:]
                )
                self.assertEqual((200, b"ours", "ended"), _events_of(listener))
            self.assertEqual(3, len(pair.idle))

        self.run_async(scenario)

    def test_a_request_is_sent_with_its_length_and_without_other_added_headers(self):
        async def scenario():
            pair = await ConnectionPair.open()
            pair.send(b"abc")
            self.assertEqual(
                b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", await pair.read()
            )
            pair = await ConnectionPair.open()
            pair.send(None)
            self.assertEqual(b"POST /x HTTP/1.1\r\nHost: a\r\n\r\n", await pair.read())

        self.run_async(scenario)

    def test_a_response_to_another_request_before_the_own_response_is_ignored(self):
        async def scenario():
            for parts in (
                (OTHER_RESPONSE, OWN_RESPONSE),
                (OTHER_RESPONSE + OWN_RESPONSE,),
                (OTHER_RESPONSE + OTHER_RESPONSE + OWN_RESPONSE,),
            ):
                listener = await run_exchange(await ConnectionPair.open(), *parts)
                self.assertEqual((200, b"ours", "ended"), _events_of(listener))

        self.run_async(scenario)

    def test_bytes_after_the_response_close_the_connection(self):
        async def scenario():
            pair = await ConnectionPair.open()
            listener = await run_exchange(pair, OWN_RESPONSE + OTHER_RESPONSE)
            self.assertEqual(b"ours", listener.body)
            self.assertEqual(([], 1), (pair.idle, len(pair.closed)))

        self.run_async(scenario)

    def test_bytes_that_arrive_while_idle_close_the_connection(self):
        async def scenario():
            pair = await ConnectionPair.open()
            await run_exchange(pair, OWN_RESPONSE)
            await pair.respond(OTHER_RESPONSE)
            await pair.wait_until_closed()
            self.assertFalse(pair.connection.is_open)
            pair.send()
            self.assertFalse(pair.was_sent)

        self.run_async(scenario)

    def test_a_connection_that_the_server_closes_while_idle_is_not_open(self):
        async def scenario():
            pair = await ConnectionPair.open()
            await run_exchange(pair, OWN_RESPONSE)
            pair.server_socket.close()
            while not pair.closed:
                await asyncio.sleep(0)
            self.assertFalse(pair.connection.is_open)

        self.run_async(scenario)

    def test_a_connection_that_was_paused_is_read_again_when_its_exchange_has_ended(self):
        """LOST: a paused connection returned to the pool, and its next request got no response."""

        async def scenario():
            pair = await ConnectionPair.open()
            listener = pair.send()
            await pair.read()
            original = listener.on_content
            listener.on_content = lambda data: (pair.connection.pause(), original(data))
            await pair.respond(b"HTTP/1.1 200 OK\r\nrid: q1\r\nContent-Length: 4\r\n\r\nours")
            await asyncio.wait_for(listener.ended, TIMEOUT_S)
            self.assertEqual([pair.connection], pair.idle)
            second = await run_exchange(
                pair, b"HTTP/1.1 200 OK\r\nrid: q1\r\nContent-Length: 4\r\n\r\nmore"
            )
            self.assertEqual((200, b"more", "ended"), _events_of(second))

        self.run_async(scenario)

    def test_a_response_without_a_length_ends_with_its_connection(self):
        async def scenario():
            pair = await ConnectionPair.open()
            listener = await run_exchange(
                pair, b"HTTP/1.1 200 OK\r\nrid: q1\r\n\r\nall", close=True
            )
            self.assertEqual((200, b"all", "ended with its connection"), _events_of(listener))
            self.assertEqual([], pair.idle)

        self.run_async(scenario)

    def test_an_incomplete_response_fails_the_exchange(self):
        async def scenario():
            for parts in (
                (),
                (OWN_RESPONSE[:10],),
                (OWN_RESPONSE[:-2],),
                (b"HTTP/1.1 200 OK\r\nrid: q1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",),
                (OTHER_RESPONSE,),
                (OTHER_RESPONSE[:-1],),
            ):
                listener = await run_exchange(await ConnectionPair.open(), *parts, close=True)
                self.assertEqual("broken", listener.events[-1], parts)

        self.run_async(scenario)

    def test_bytes_that_are_no_http_response_fail_the_exchange(self):
        async def scenario():
            for garbage in (b"\x00\x01\x02\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n", b"SSH-2.0\r\n"):
                pair = await ConnectionPair.open()
                listener = await run_exchange(pair, garbage)
                self.assertEqual(["broken"], listener.events)
                self.assertFalse(pair.connection.is_open)

        self.run_async(scenario)

    def test_a_response_before_the_request_is_completely_sent_closes_the_connection(self):
        async def scenario():
            pair = await ConnectionPair.open()
            listener = pair.send(b"x" * 5_000_000)
            await pair.read(100)
            await pair.respond(b"HTTP/1.1 503 Full\r\nrid: q1\r\nContent-Length: 0\r\n\r\n")
            await asyncio.wait_for(listener.ended, TIMEOUT_S)
            self.assertEqual(503, listener.events[0])
            self.assertFalse(pair.connection.is_open)

        self.run_async(scenario)

    def test_a_connection_whose_server_announces_its_close_is_not_reused(self):
        async def scenario():
            pair = await ConnectionPair.open()
            await run_exchange(pair, OWN_RESPONSE.replace(b"rid", b"Connection: close\r\nrid"))
            self.assertEqual(([], False), (pair.idle, pair.connection.is_open))

        self.run_async(scenario)

    def test_a_cancelled_exchange_closes_the_connection_and_reports_no_events(self):
        async def scenario():
            pair = await ConnectionPair.open()
            listener = pair.send()
            await pair.read()
            pair.connection.close()
            await pair.wait_until_closed()
            self.assertEqual([], listener.events)

        self.run_async(scenario)

    def test_an_interim_response_is_ignored(self):
        async def scenario():
            listener = await run_exchange(
                await ConnectionPair.open(), b"HTTP/1.1 100 Continue\r\n\r\n" + OWN_RESPONSE
            )
            self.assertEqual((200, b"ours", "ended"), _events_of(listener))

        self.run_async(scenario)

    def test_a_response_to_a_head_request_has_no_body(self):
        async def scenario():
            pair = await ConnectionPair.open()
            listener = pair.send(None, method="HEAD")
            await pair.read()
            await pair.respond(OWN_RESPONSE[: -len(b"ours")])
            await asyncio.wait_for(listener.ended, TIMEOUT_S)
            self.assertEqual([200, "ended"], listener.events)
            self.assertEqual(([], False), (pair.idle, pair.connection.is_open))

        self.run_async(scenario)

    def test_a_chunked_body_is_decoded_wherever_the_received_bytes_are_split(self):
        async def scenario():
            chunked = b"HTTP/1.1 200 OK\r\nrid: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
            whole = chunked + b"3\r\nabc\r\n2\r\nde\r\n0\r\nx: y\r\n\r\n"
            for cut in range(1, len(whole)):
                pair = await ConnectionPair.open()
                listener = await run_exchange(pair, whole[:cut], whole[cut:])
                self.assertEqual((200, b"abcde", "ended"), _events_of(listener), cut)
                self.assertEqual(1, len(pair.idle), cut)

        self.run_async(scenario)

    def test_a_response_with_contradictory_lengths_fails_the_exchange(self):
        async def scenario():
            for framing in (
                b"Content-Length: 4\r\nContent-Length: 5",
                b"Transfer-Encoding: chunked\r\nContent-Length: 4",
            ):
                pair = await ConnectionPair.open()
                listener = await run_exchange(
                    pair, OWN_RESPONSE.replace(b"Content-Length: 4", framing)
                )
                self.assertEqual("broken", listener.events[-1])
                self.assertFalse(pair.connection.is_open)

        self.run_async(scenario)

    def test_a_request_with_a_line_break_or_null_character_in_a_header_is_not_sent(self):
        async def scenario():
            for header in (("a", "b\r\nc: d"), ("a\n", "b"), ("a", "\0")):
                pair = await ConnectionPair.open()
                pair.send(headers=[("Host", "a"), header])
                self.assertFalse(pair.was_sent)
                self.assertTrue(pair.connection.is_open)

        self.run_async(scenario)

    def test_nothing_is_read_while_the_connection_is_paused(self):
        async def scenario():
            pair = await ConnectionPair.open()
            listener = pair.send()
            await pair.read()
            await pair.respond(b"HTTP/1.1 200 OK\r\nrid: q1\r\nContent-Length: 6\r\n\r\nabc")
            while not listener.body:
                await asyncio.sleep(0)
            pair.connection.pause()
            await pair.respond(b"def")
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertEqual(b"abc", listener.body)
            pair.connection.resume()
            await asyncio.wait_for(listener.ended, TIMEOUT_S)
            self.assertEqual(b"abcdef", listener.body)

        self.run_async(scenario)


def _events_of(listener):
    return listener.events[0], listener.body, listener.events[-1]
