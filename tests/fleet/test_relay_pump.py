"""One relayed connection, with fake transports that record the calls made to them."""

from __future__ import annotations

import asyncio

import attrs
import testtools

from zincvale.fleet.relay_pump import HIGH_WATER_BYTES, Pump


class FakeTransport(asyncio.Transport):
    """Records writes, whether it reads, and how it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []
        self.reading = True
        self.ended = False
        self.closed = ""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits."""

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return bool(self.closed)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written.append(bytes(data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.ended = True

    def close(self) -> None:
        self.closed = "closed"

    def abort(self) -> None:
        self.closed = "aborted"


@attrs.define
class FakeLink:
    """A link without delay, whose state is set by the test."""

    is_shaped: bool = False
    held_directions: set[bool] = attrs.field(factory=set)
    removed_pumps: list[Pump] = attrs.field(factory=list)

    def holds(self, is_request: bool) -> bool:
        return is_request in self.held_directions

    def draw_delay_s(self) -> float:
        return 0.0

    def transfer_s(self, size_bytes: int) -> float:
        return 0.0

    def remove_pump(self, pump: Pump) -> None:
        self.removed_pumps.append(pump)


class PumpTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.link = FakeLink()
        self.near_transport, self.far_transport = FakeTransport(), FakeTransport()
        self.near = Pump(self.link, is_request=True)
        self.far = Pump(self.link, is_request=False)
        self.near.connection_made(self.near_transport)
        self.far.connection_made(self.far_transport)

    def start(self) -> None:
        self.near.start(self.far)
        self.far.start(self.near)

    def test_nothing_is_read_before_both_sides_are_connected(self) -> None:
        self.assertFalse(self.near_transport.reading)
        self.start()
        self.assertTrue(self.near_transport.reading)

    def test_bytes_and_the_end_of_a_direction_are_relayed(self) -> None:
        self.start()
        self.near.data_received(b"question")
        self.far.data_received(b"answer")
        self.far.eof_received()
        self.assertEqual([b"question"], self.far_transport.written)
        self.assertEqual([b"answer"], self.near_transport.written)
        self.assertTrue(self.near_transport.ended)

    def test_a_held_direction_is_not_read(self) -> None:
        self.start()
        self.link.held_directions = {False}
        self.near.refresh()
        self.far.refresh()
        self.assertTrue(self.near_transport.reading)
        self.assertFalse(self.far_transport.reading)

    def test_a_full_write_buffer_pauses_reading_of_the_other_side(self) -> None:
        self.start()
        self.far.pause_writing()
        self.assertFalse(self.near_transport.reading)
        self.far.resume_writing()
        self.assertTrue(self.near_transport.reading)

    def test_a_reset_is_relayed_as_a_reset(self) -> None:
        self.start()
        self.far.connection_lost(ConnectionResetError())
        self.assertEqual("aborted", self.near_transport.closed)
        self.assertEqual([self.far], self.link.removed_pumps)

    def test_an_orderly_close_is_relayed_as_an_orderly_close(self) -> None:
        self.start()
        self.far.connection_lost(None)
        self.assertEqual("closed", self.near_transport.closed)

    def test_delayed_chunks_keep_their_order_and_pause_reading_when_too_many(self) -> None:
        async def exchange() -> None:
            self.start()
            self.link.is_shaped = True
            self.near.data_received(b"x" * (HIGH_WATER_BYTES + 1))
            self.assertFalse(self.near_transport.reading)
            self.link.is_shaped = False
            self.near.data_received(b"y")
            self.near.eof_received()
            while not self.far_transport.ended:
                await asyncio.sleep(0)

        asyncio.run(exchange())
        self.assertEqual(b"y", self.far_transport.written[-1])
        self.assertTrue(self.near_transport.reading)
