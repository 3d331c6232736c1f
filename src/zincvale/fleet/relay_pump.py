"""One direction of a relayed connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from typing import Protocol

import attrs

HIGH_WATER_BYTES = 262_144
"""Number of waiting bytes in one direction above which the relay stops reading it."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER enabled with a timeout of 0 s, so that closing the socket resets the connection."""


class PumpedLink(Protocol):
    """The part of a relayed link that a pump uses."""

    @property
    def is_shaped(self) -> bool:
        """Whether bytes are delayed or slowed."""
        ...

    def holds(self, is_request: bool) -> bool:
        """Whether bytes of this direction are held back."""
        ...

    def draw_delay_s(self) -> float:
        """Return the delay of the next chunk."""
        ...

    def transfer_s(self, size_bytes: int) -> float:
        """Return the time for which a chunk occupies the link at its limited rate."""
        ...

    def remove_pump(self, pump: Pump) -> None:
        """Remove the pump of a closed connection."""
        ...


@attrs.frozen
class Chunk:
    """Bytes to deliver at `due` (seconds on the loop's clock); empty for the end of the stream."""

    due: float
    data: bytes


@attrs.define(eq=False)
class Pump(asyncio.Protocol):
    """Relays the bytes read from one side of a connection to the other side, in order.

    `is_request` is true when the bytes read here come from the daemon that dialled.
    """

    link: PumpedLink
    is_request: bool
    transport: asyncio.Transport | None = None
    other: Pump | None = None
    _chunks: deque[Chunk] = attrs.field(factory=deque)
    _waiting_bytes: int = 0
    _link_free_at: float = 0.0
    _timer: asyncio.TimerHandle | None = None
    other_is_full: bool = False
    """Whether the other side's write buffer is full; set by the other pump."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the connection, and pause reading until the other side is connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        transport.pause_reading()

    def start(self, other: Pump) -> None:
        """Start to relay bytes to the connection of `other`."""
        self.other = other
        self.refresh()

    def refresh(self) -> None:
        """Pause or resume reading according to the link's state and the buffers."""
        if self.other is None or self.transport is None or self.transport.is_closing():
            return
        is_full = self.other_is_full or self._waiting_bytes > HIGH_WATER_BYTES
        if is_full or self.link.holds(self.is_request):
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Relay bytes, immediately or after the link's delay."""
        if self._chunks or self.link.is_shaped:
            self._delay(data)
        else:
            self._write(data)

    def eof_received(self) -> bool:
        """Relay the end of this direction after the bytes before it; keep the connection open."""
        if self._chunks:
            self._delay(b"")
        else:
            self._write(b"")
        return True

    def pause_writing(self) -> None:
        """Stop reading the other side, as the write buffer towards this side is full."""
        if self.other is not None:
            self.other.other_is_full = True
            self.other.refresh()

    def resume_writing(self) -> None:
        """Resume reading the other side, as the write buffer towards this side has room again."""
        if self.other is not None:
            self.other.other_is_full = False
            self.other.refresh()

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other side as this side was closed: orderly, or by a reset."""
        self.link.remove_pump(self)
        other = self.other
        if other is None or other.transport is None:
            return
        if error is not None:
            other.abort()
        elif not self._chunks:
            other.transport.close()

    def abort(self) -> None:
        """Reset this connection, as an orderly end could look like that of a complete response."""
        if self.transport is None:
            return
        connection = self.transport.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()

    def _delay(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        arrives_at = max(loop.time() + self.link.draw_delay_s(), self._link_free_at)
        self._link_free_at = arrives_at + self.link.transfer_s(len(data))
        self._chunks.append(Chunk(self._link_free_at, data))
        self._waiting_bytes += len(data)
        if self._timer is None:
            self._timer = loop.call_at(self._link_free_at, self._release)
        self.refresh()

    def _release(self) -> None:
        chunk = self._chunks.popleft()
        self._waiting_bytes -= len(chunk.data)
        self._write(chunk.data)
        self._timer = None
        if self._chunks:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._chunks[0].due, self._release)
        self.refresh()

    def _write(self, data: bytes) -> None:
        target = None if self.other is None else self.other.transport
        if target is None or target.is_closing():
            return
        if data:
            target.write(data)
        elif target.can_write_eof():
            target.write_eof()
