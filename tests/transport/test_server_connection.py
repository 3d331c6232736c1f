"""A connection to a server, against whatever a server may send."""

from __future__ import annotations

import asyncio
import socket

import testtools

from zincvale.transport.server_connection import ServerConnection
from zincvale.transport.server_exchange import OutgoingRequest

LIMIT_S = 5.0
OURS = b"HTTP/1.1 200 OK\r\nrid: q1\r\nContent-Length: 4\r\n\r\nours"
THEIRS = b"HTTP/1.1 200 OK\r\nrid: q0\r\nContent-Length: 6\r\n\r\ntheirs"


class Listener:
    """Records its events, and resolves `over` at the end."""

    def __init__(self):
        self.log = []
        self.over = asyncio.get_running_loop().create_future()

    def on_not_sent(self, reason):
        self._end("not-sent")

    def on_head(self, head):
        self.log.append(head.status)

    def on_content(self, data):
        self.log.append(data)

    def on_complete(self):
        self._end("ended")

    def on_broken(self, reason):
        self._end("broken")

    def _end(self, word):
        self.log.append(word)
        self.over.set_result(None)

    @property
    def body(self):
        return b"".join(each for each in self.log if isinstance(each, bytes))


class Wire:
    """A connection and the server's end of it."""

    def __init__(self):
        self.near, self.far = socket.socketpair()
        self.far.setblocking(False)
        self.idle, self.closed = [], []
        self.connection = ServerConnection(lambda: 0.0, self.idle.append, self.closed.append)

    @classmethod
    async def open(cls):
        wire = cls()
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: wire.connection, sock=wire.near)
        return wire

    def send(self, body=b"{}", method="POST", headers=(("Host", "a"),)):
        request = OutgoingRequest(
            method, "/x", list(headers), body, lambda status, headers: headers.get("rid") == "q1"
        )
        listener = Listener()
        self.was_sent = self.connection.send(request, listener)
        return listener

    async def respond(self, *parts):
        for part in parts:
            await asyncio.get_running_loop().sock_sendall(self.far, part)

    async def read(self, size=65536):
        return await asyncio.wait_for(asyncio.get_running_loop().sock_recv(self.far, size), LIMIT_S)

    async def until_closed(self):
        while await self.read():
            pass


async def outcome(wire, *parts, close=False):
    listener = wire.send()
    await wire.read()
    await wire.respond(*parts)
    if close:
        wire.far.close()
    await asyncio.wait_for(listener.over, LIMIT_S)
    return listener


class ConnectionTest(testtools.TestCase):
    def run_async(self, scenario):
        asyncio.run(scenario())

    def test_a_response_is_read_and_the_connection_becomes_idle(self):
        async def scenario():
            wire = await Wire.open()
            for _ in range(3):
                listener = await outcome(wire, OURS[:20], OURS[20:50], OURS[50:])
                self.assertEqual((200, b"ours", "ended"), _events_of(listener))
            self.assertEqual(3, len(wire.idle))

        self.run_async(scenario)

    def test_the_request_is_framed_and_nothing_is_added(self):
        async def scenario():
            wire = await Wire.open()
            wire.send(b"abc")
            self.assertEqual(
                b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", await wire.read()
            )
            wire = await Wire.open()
            wire.send(None)
            self.assertEqual(b"POST /x HTTP/1.1\r\nHost: a\r\n\r\n", await wire.read())

        self.run_async(scenario)

    def test_a_response_to_another_request_in_our_place_is_ignored(self):
        async def scenario():
            for parts in ((THEIRS, OURS), (THEIRS + OURS,), (THEIRS + THEIRS + OURS,)):
                listener = await outcome(await Wire.open(), *parts)
                self.assertEqual((200, b"ours", "ended"), _events_of(listener))

        self.run_async(scenario)

    def test_bytes_behind_our_response_end_the_connection(self):
        async def scenario():
            wire = await Wire.open()
            listener = await outcome(wire, OURS + THEIRS)
            self.assertEqual(b"ours", listener.body)
            self.assertEqual(([], 1), (wire.idle, len(wire.closed)))

        self.run_async(scenario)

    def test_bytes_that_arrive_while_idle_end_the_connection(self):
        async def scenario():
            wire = await Wire.open()
            await outcome(wire, OURS)
            await wire.respond(THEIRS)
            await wire.until_closed()
            self.assertFalse(wire.connection.is_open)
            wire.send()
            self.assertFalse(wire.was_sent)

        self.run_async(scenario)

    def test_a_server_that_closes_while_idle_is_noticed(self):
        async def scenario():
            wire = await Wire.open()
            await outcome(wire, OURS)
            wire.far.close()
            while not wire.closed:
                await asyncio.sleep(0)
            self.assertFalse(wire.connection.is_open)

        self.run_async(scenario)

    def test_a_response_without_a_length_ends_with_its_connection(self):
        async def scenario():
            wire = await Wire.open()
            listener = await outcome(wire, b"HTTP/1.1 200 OK\r\nrid: q1\r\n\r\nall", close=True)
            self.assertEqual((200, b"all", "ended"), _events_of(listener))
            self.assertEqual([], wire.idle)

        self.run_async(scenario)

    def test_what_breaks_off_is_never_complete(self):
        async def scenario():
            for parts in (
                (),
                (OURS[:10],),
                (OURS[:-2],),
                (b"HTTP/1.1 200 OK\r\nrid: q1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",),
                (THEIRS,),
                (THEIRS[:-1],),
            ):
                listener = await outcome(await Wire.open(), *parts, close=True)
                self.assertEqual("broken", listener.log[-1], parts)

        self.run_async(scenario)

    def test_what_is_no_response_breaks_the_exchange(self):
        async def scenario():
            for garbage in (b"\x00\x01\x02\r\n\r\n", b"HTTP/1.1 abc\r\n\r\n", b"SSH-2.0\r\n"):
                wire = await Wire.open()
                listener = await outcome(wire, garbage)
                self.assertEqual(["broken"], listener.log)
                self.assertFalse(wire.connection.is_open)

        self.run_async(scenario)

    def test_a_response_that_comes_before_the_request_was_taken_ends_the_connection(self):
        async def scenario():
            wire = await Wire.open()
            listener = wire.send(b"x" * 5_000_000)
            await wire.read(100)
            await wire.respond(b"HTTP/1.1 503 Full\r\nrid: q1\r\nContent-Length: 0\r\n\r\n")
            await asyncio.wait_for(listener.over, LIMIT_S)
            self.assertEqual(503, listener.log[0])
            self.assertFalse(wire.connection.is_open)

        self.run_async(scenario)

    def test_a_server_that_says_so_is_not_used_again(self):
        async def scenario():
            wire = await Wire.open()
            await outcome(wire, OURS.replace(b"rid", b"Connection: close\r\nrid"))
            self.assertEqual(([], False), (wire.idle, wire.connection.is_open))

        self.run_async(scenario)

    def test_a_cancelled_exchange_closes_the_connection_and_tells_nothing(self):
        async def scenario():
            wire = await Wire.open()
            listener = wire.send()
            await wire.read()
            wire.connection.close()
            await wire.until_closed()
            self.assertEqual([], listener.log)

        self.run_async(scenario)

    def test_an_interim_response_is_ignored(self):
        async def scenario():
            listener = await outcome(await Wire.open(), b"HTTP/1.1 100 Continue\r\n\r\n" + OURS)
            self.assertEqual((200, b"ours", "ended"), _events_of(listener))

        self.run_async(scenario)

    def test_a_response_to_a_head_request_has_no_body(self):
        async def scenario():
            wire = await Wire.open()
            listener = wire.send(None, method="HEAD")
            await wire.read()
            await wire.respond(OURS[: -len(b"ours")])
            await asyncio.wait_for(listener.over, LIMIT_S)
            self.assertEqual([200, "ended"], listener.log)
            self.assertEqual(([], False), (wire.idle, wire.connection.is_open))

        self.run_async(scenario)

    def test_chunks_are_taken_apart_wherever_they_are_cut(self):
        async def scenario():
            chunked = b"HTTP/1.1 200 OK\r\nrid: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
            whole = chunked + b"3\r\nabc\r\n2\r\nde\r\n0\r\nx: y\r\n\r\n"
            for cut in range(1, len(whole)):
                wire = await Wire.open()
                listener = await outcome(wire, whole[:cut], whole[cut:])
                self.assertEqual((200, b"abcde", "ended"), _events_of(listener), cut)
                self.assertEqual(1, len(wire.idle), cut)

        self.run_async(scenario)

    def test_two_lengths_are_no_response(self):
        async def scenario():
            for framing in (
                b"Content-Length: 4\r\nContent-Length: 5",
                b"Transfer-Encoding: chunked\r\nContent-Length: 4",
            ):
                wire = await Wire.open()
                listener = await outcome(wire, OURS.replace(b"Content-Length: 4", framing))
                self.assertEqual("broken", listener.log[-1])
                self.assertFalse(wire.connection.is_open)

        self.run_async(scenario)

    def test_a_head_that_would_end_a_line_is_never_sent(self):
        async def scenario():
            for header in (("a", "b\r\nc: d"), ("a\n", "b"), ("a", "\0")):
                wire = await Wire.open()
                wire.send(headers=[("Host", "a"), header])
                self.assertFalse(wire.was_sent)
                self.assertTrue(wire.connection.is_open)

        self.run_async(scenario)

    def test_a_slow_caller_holds_the_server_up(self):
        async def scenario():
            wire = await Wire.open()
            listener = wire.send()
            await wire.read()
            await wire.respond(b"HTTP/1.1 200 OK\r\nrid: q1\r\nContent-Length: 6\r\n\r\nabc")
            while not listener.body:
                await asyncio.sleep(0)
            wire.connection.pause()
            await wire.respond(b"def")
            for _ in range(20):
                await asyncio.sleep(0)
            self.assertEqual(b"abc", listener.body)
            wire.connection.resume()
            await asyncio.wait_for(listener.over, LIMIT_S)
            self.assertEqual(b"abcdef", listener.body)

        self.run_async(scenario)


def _events_of(listener):
    return listener.log[0], listener.body, listener.log[-1]
