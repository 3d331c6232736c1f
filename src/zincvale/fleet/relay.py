"""TCP relays with which the rig cuts, delays and slows links between processes.

Each link has a listener of its own. A link that ignores connections fills its own accept queue
with connections of the relay itself, so that the kernel drops further SYN packets: a daemon
observes the same as in a network that drops packets. Bytes held by a cut are delivered when it
heals, as TCP does.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Iterator

import attrs

from zincvale.fleet.relay_links import Connecting, Link, LinkState, Passing
from zincvale.fleet.relay_pump import Pump

ACCEPT_BACKLOG = 128
FILLER_CONNECTIONS = 4
"""Connections that fill an accept queue of length 0: one does, the others are a margin."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@attrs.define(eq=False)
class RelayedLink:
    """One listener with its connections and the current state of its link."""

    link: Link
    random: random.Random
    state: LinkState = attrs.field(factory=LinkState)
    _listener: socket.socket | None = None
    _fillers: list[socket.socket] = attrs.field(factory=list)
    _pumps: set[Pump] = attrs.field(factory=set)
    _connecting: set[asyncio.Task[None]] = attrs.field(factory=set)

    def open(self) -> None:
        """Listen on the link's address; raises `OSError` when it is taken."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        try:
            listener.bind(split_address(self.link.listen))
        except OSError:
            listener.close()
            raise
        self._listener = listener
        self._accept_connections()

    def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        self._close_fillers()
        for pump in list(self._pumps):
            pump.abort()

    def change(self, state: LinkState) -> None:
        """Set the state of the link, which takes effect on open connections immediately."""
        before = self.state.connecting
        self.state = state
        if before is not state.connecting:
            self._change_connecting(before, state.connecting)
        for pump in list(self._pumps):
            pump.refresh()

    def holds(self, is_request: bool) -> bool:
        """Whether bytes of this direction are held back."""
        passing = self.state.request if is_request else self.state.reply
        return passing is Passing.HOLD

    @property
    def is_shaped(self) -> bool:
        """Whether bytes are delayed or slowed."""
        return bool(self.state.delay_s or self.state.jitter_s or self.state.bytes_per_second)

    def draw_delay_s(self) -> float:
        """Return the delay of the next chunk."""
        return self.state.delay_s + self.random.uniform(0.0, self.state.jitter_s)

    def transfer_s(self, size_bytes: int) -> float:
        """Return the time for which a chunk occupies the link at its limited rate."""
        if not self.state.bytes_per_second:
            return 0.0
        return size_bytes / self.state.bytes_per_second

    def remove_pump(self, pump: Pump) -> None:
        """Remove the pump of a closed connection."""
        self._pumps.discard(pump)

    def _change_connecting(self, before: Connecting, after: Connecting) -> None:
        if before is Connecting.REFUSE:
            self.open()
        elif before is Connecting.IGNORE:
            self._accept_queued()
            self._accept_connections()
        if after is Connecting.REFUSE:
            self.close()
        elif after is Connecting.IGNORE:
            self._ignore_connections()

    def _accept_connections(self) -> None:
        if self._listener is None:
            return
        self._listener.listen(ACCEPT_BACKLOG)
        asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _ignore_connections(self) -> None:
        if self._listener is None:
            return
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.listen(0)
        for _ in range(FILLER_CONNECTIONS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(split_address(self.link.listen))
            self._fillers.append(filler)

    def _accept_queued(self) -> None:
        """Accept the queued connections: close the relay's own, relay those of daemons."""
        if self._listener is None:
            return
        own = {filler.getsockname() for filler in self._fillers}
        self._close_fillers()
        for connection, peer in _accept_all(self._listener):
            if peer in own:
                connection.close()
            else:
                self._relay(connection)

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _accept(self) -> None:
        if self._listener is None:
            return
        for connection, _ in _accept_all(self._listener):
            self._relay(connection)

    def _relay(self, connection: socket.socket) -> None:
        task = asyncio.get_running_loop().create_task(self._connect_through(connection))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect_through(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        near = Pump(self, is_request=True)
        far = Pump(self, is_request=False)
        self._pumps |= {near, far}
        await loop.connect_accepted_socket(lambda: near, connection)
        source = (self.link.source_host, 0) if self.link.source_host else None
        host, port = split_address(self.link.dial)
        try:
            await loop.create_connection(lambda: far, host, port, local_addr=source)
        except OSError:
            self._pumps -= {near, far}
            near.abort()
            return
        if near not in self._pumps:
            # The near side disconnected while the far one was being dialled.
            far.abort()
            return
        near.start(far)
        far.start(near)


def _accept_all(listener: socket.socket) -> Iterator[tuple[socket.socket, object]]:
    while True:
        try:
            connection, peer = listener.accept()
        except OSError:
            return
        connection.setblocking(False)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        yield connection, peer
