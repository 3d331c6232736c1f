"""Connections to servers: reused where that is safe, never repeating a request by themselves.

Connections rest per server and incarnation, and the one used last is used first. How long a server
lets a connection rest is its own word, or learned from the connections that it closed or reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping

import attrs

from zincvale.model.addresses import split_address
from zincvale.transport.server_connection import ServerConnection, set_options
from zincvale.transport.server_exchange import AnswerListener, OutgoingRequest

CONNECT_TIMEOUT_S = 0.5
MAX_RESTING_PER_SERVER = 8
FIRST_REST_LIMIT_S = 10.0
"""How long a connection is taken to live at rest before anything was learned."""
REST_MARGIN = 0.7
"""Part of a known limit that is used: the server counts from another moment."""
UNREPEATABLE_REST_PART = 0.6
"""Part of that again for requests that may not be repeated."""


@attrs.define(eq=False)
class _Target:
    """What is known of one incarnation of a server."""

    resting: list[ServerConnection] = attrs.field(factory=list)
    rest_limit_s: float = FIRST_REST_LIMIT_S


class Exchange:
    """One request on its way; `cancel` closes its connection.

    Attributes
    ----------
    reused : the request left on a connection that had served another one.
    """

    def __init__(self) -> None:
        self.reused = False
        self._connection: ServerConnection | None = None
        self._cancelled = False

    def cancel(self) -> None:
        """Give the exchange up: nothing more is told, its connection is closed."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.close()

    def pause(self) -> None:
        """Read nothing more from the server for now."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read on."""
        if self._connection is not None:
            self._connection.resume()

    @property
    def is_cancelled(self) -> bool:
        """Whether the exchange was given up."""
        return self._cancelled

    @property
    def is_attached(self) -> bool:
        """Whether the request left."""
        return self._connection is not None

    def attach(self, connection: ServerConnection, reused: bool) -> None:
        """The request left on `connection`."""
        self._connection = connection
        self.reused = reused


@attrs.define
class ClientCounts:
    """Totals since the start, for metrics."""

    opened: int = 0
    reused: int = 0


class ServerClient:
    """All connections of one node to servers, on the running event loop.

    Parameters
    ----------
    clock : seconds.
    address_map : advertised address to the address that is dialled instead.
    prepare : sets the options of a socket before it is connected.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        address_map: Mapping[str, str] | None = None,
        prepare: Callable[[socket.socket], None] = set_options,
    ) -> None:
        self._clock = clock
        self._prepare = prepare
        self._address_map = address_map or {}
        self._targets: dict[tuple[str, str], _Target] = {}
        self._open: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self.counts = ClientCounts()

    def start(
        self, address: str, incarnation: str, request: OutgoingRequest, listener: AnswerListener
    ) -> Exchange:
        """Begin an exchange; the listener is called later, never from here."""
        exchange = Exchange()
        target = self._targets.setdefault((address, incarnation), _Target())
        if not self._send_on_resting(target, request, listener, exchange):
            connecting = asyncio.ensure_future(
                self._send_on_new(address, target, request, listener, exchange)
            )
            self._connecting.add(connecting)
            connecting.add_done_callback(self._connecting.discard)
        return exchange

    def keep_only(self, targets: set[tuple[str, str]]) -> None:
        """Close the resting connections of servers that are gone."""
        for key in [key for key in self._targets if key not in targets]:
            for connection in list(self._targets.pop(key).resting):
                connection.close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.close()

    async def _send_on_new(
        self,
        address: str,
        target: _Target,
        request: OutgoingRequest,
        listener: AnswerListener,
        exchange: Exchange,
    ) -> None:
        if exchange.is_cancelled:
            return
        try:
            connection = await self._connect(address, target)
        except (TimeoutError, OSError) as error:
            if not exchange.is_cancelled:
                listener.not_sent(f"{address}: {error or type(error).__name__}")
            return
        if exchange.is_cancelled:
            self._rest(target, connection)
            return
        self._send_on(connection, request, listener, exchange)

    def _send_on_resting(
        self,
        target: _Target,
        request: OutgoingRequest,
        listener: AnswerListener,
        exchange: Exchange,
    ) -> bool:
        part = 1.0 if request.may_repeat else UNREPEATABLE_REST_PART
        while target.resting:
            connection = target.resting.pop()
            rested_s = self._clock() - connection.rests_since
            limit_s = target.rest_limit_s
            if connection.keep_alive_s is not None:
                limit_s = min(limit_s, connection.keep_alive_s * REST_MARGIN)
            if rested_s > limit_s * part:
                connection.close()
                continue
            if connection.send(request, listener):
                exchange.attach(connection, reused=True)
                self.counts.reused += 1
                return True
        return False

    def _send_on(
        self,
        connection: ServerConnection,
        request: OutgoingRequest,
        listener: AnswerListener,
        exchange: Exchange,
    ) -> None:
        if connection.send(request, listener):
            exchange.attach(connection, reused=False)
        else:
            listener.not_sent("the connection was closed at once")

    async def _connect(self, address: str, target: _Target) -> ServerConnection:
        host, port = split_address(self._address_map.get(address, address))
        loop = asyncio.get_running_loop()
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connected.setblocking(False)
        try:
            self._prepare(connected)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(connected, (host, port))
        except BaseException:
            connected.close()
            raise
        self.counts.opened += 1
        connection = ServerConnection(
            self._clock,
            lambda each: self._rest(target, each),
            lambda each: self._closed(target, each),
        )
        self._open.add(connection)
        await loop.create_connection(lambda: connection, sock=connected)
        return connection

    def _rest(self, target: _Target, connection: ServerConnection) -> None:
        if not connection.is_open:
            return
        target.resting.append(connection)
        if len(target.resting) > MAX_RESTING_PER_SERVER:
            target.resting[0].close()

    def _closed(self, target: _Target, connection: ServerConnection) -> None:
        self._open.discard(connection)
        if connection not in target.resting:
            return
        target.resting.remove(connection)
        rested_s = self._clock() - connection.rests_since
        if connection.used and rested_s < target.rest_limit_s:
            self._learn_rest(target, rested_s)

    def _learn_rest(self, target: _Target, rested_s: float) -> None:
        """The server closed a connection at rest: others will not live longer."""
        target.rest_limit_s = max(0.2, rested_s * REST_MARGIN)
