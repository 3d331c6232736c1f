"""HTTP client with a pool of connections, which are reused where that is safe.

The client never repeats a request by itself. Idle connections are pooled by server and incarnation,
and the most recently used one is reused first. How long a server keeps an idle connection open is
taken from its Keep-Alive header and learned from the connections that it closed or reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping

import attrs

from zincvale.model.addresses import split_address
from zincvale.transport.server_connection import ServerConnection, set_socket_options
from zincvale.transport.server_exchange import OutgoingRequest, ResponseListener

CONNECT_TIMEOUT_S = 0.5
"""Time limit for establishing a connection, after which a retry at another server can start. A
shorter one fails on slow links between zones."""
PRESENCE_ATTEMPTS = 3
"""Attempts to connect to a server that may have ended. While its port closes, the system may drop
an attempt without an answer; the next one is refused."""
MAX_IDLE_PER_SERVER = 8
"""Maximum number of idle connections to a server. More take up file descriptors on both sides;
fewer require new connections in a burst of requests."""
INITIAL_IDLE_LIMIT_S = 10.0
"""How long a server is assumed to keep an idle connection open before anything else is known."""
MIN_IDLE_LIMIT_S = 0.2
"""Smallest learned limit: one early close must not prevent reuse within a burst of requests."""
IDLE_LIMIT_FACTOR = 0.7
"""Factor on a known limit, as the server starts its timer at another moment. With a factor of 1 a
request may be sent on a connection that its server is closing."""
NON_REPEATABLE_IDLE_FACTOR = 0.6
"""Additional factor for requests that may not be repeated: if one is sent on a connection that is
being closed, its outcome stays unknown."""


@attrs.define(eq=False)
class _ConnectionPool:
    """Idle connections to one incarnation of a server, and how long they may be idle for reuse."""

    idle: list[ServerConnection] = attrs.field(factory=list)
    idle_limit_s: float = INITIAL_IDLE_LIMIT_S


class ServerExchange:
    """One request in flight.

    Attributes
    ----------
    reused : the request was sent on a connection that had served another request.
    """

    def __init__(self) -> None:
        self.reused = False
        self._connection: ServerConnection | None = None
        self._cancelled = False

    def cancel(self) -> None:
        """Abandon the exchange: its connection is closed and its listener not called any more."""
        self._cancelled = True
        if self._connection is not None:
            self._connection.close()

    def pause(self) -> None:
        """Stop reading from the server until `resume`."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Continue reading from the server."""
        if self._connection is not None:
            self._connection.resume()

    @property
    def is_cancelled(self) -> bool:
        """Whether the exchange was cancelled."""
        return self._cancelled

    @property
    def is_attached(self) -> bool:
        """Whether the request was sent."""
        return self._connection is not None

    def attach(self, connection: ServerConnection, *, reused: bool) -> None:
        """Record that the request was sent on `connection`."""
        self._connection = connection
        self.reused = reused


class PresenceCheck:
    """A check whether a server still accepts connections; stands for the exchange before it.

    Parameters
    ----------
    on_result : called once with the result, unless the check is cancelled.
    """

    def __init__(self, on_result: Callable[[bool], None]) -> None:
        self._on_result = on_result
        self._is_cancelled = False

    def cancel(self) -> None:
        """Drop the result."""
        self._is_cancelled = True

    def pause(self) -> None:
        """Do nothing: nothing is read from the server."""

    def resume(self) -> None:
        """Do nothing: nothing is read from the server."""

    def finish(self, *, is_present: bool) -> None:
        """Report the result."""
        if not self._is_cancelled:
            self._on_result(is_present)


@attrs.define
class ClientCounts:
    """Connections opened and reused since the start, for metrics."""

    opened: int = 0
    reused: int = 0


class ServerClient:
    """All connections of one process to servers, on the running event loop.

    Parameters
    ----------
    clock : monotonic clock, in seconds.
    address_map : addresses to connect to, by the advertised addresses that they replace.
    prepare : sets the options of a socket before it is connected.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        address_map: Mapping[str, str] | None = None,
        prepare: Callable[[socket.socket], None] = set_socket_options,
    ) -> None:
        self._clock = clock
        self._prepare = prepare
        self._address_map = address_map or {}
        self._pools: dict[tuple[str, str], _ConnectionPool] = {}
        self._open: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self.counts = ClientCounts()

    def start(
        self, address: str, incarnation: str, request: OutgoingRequest, listener: ResponseListener
    ) -> ServerExchange:
        """Start an exchange; the listener is called only after this returns."""
        exchange = ServerExchange()
        pool = self._pools.setdefault((address, incarnation), _ConnectionPool())
        if not self._send_on_idle(pool, request, listener, exchange):
            connecting = asyncio.ensure_future(
                self._send_on_new(address, pool, request, listener, exchange)
            )
            self._connecting.add(connecting)
            connecting.add_done_callback(self._connecting.discard)
        return exchange

    def check_presence(
        self, address: str, incarnation: str, settle_s: float, on_result: Callable[[bool], None]
    ) -> PresenceCheck:
        """Find out whether a server has gone that has just closed a connection.

        When its process ends, the system closes its connections in the same way, and its port with
        them. The result is False only if a new connection is refused or reset: a server that is
        overloaded or cut off is still there. The connection is kept for the next request.

        Parameters
        ----------
        settle_s : how long the new connection is watched. The port may close a moment after the
            connections, above all on a busy machine; a connection made in between is reset then.
        """
        check = PresenceCheck(on_result)
        pool = self._pools.setdefault((address, incarnation), _ConnectionPool())
        checking = asyncio.ensure_future(self._check_presence(address, pool, settle_s, check))
        self._connecting.add(checking)
        checking.add_done_callback(self._connecting.discard)
        return check

    async def _check_presence(
        self, address: str, pool: _ConnectionPool, settle_s: float, check: PresenceCheck
    ) -> None:
        for _ in range(PRESENCE_ATTEMPTS):
            try:
                connection = await self._connect(address, pool)
            except (ConnectionRefusedError, ConnectionResetError):
                check.finish(is_present=False)
                return
            except TimeoutError:
                continue
            except OSError:
                break
            self._return_to_pool(pool, connection)
            await asyncio.sleep(settle_s)
            check.finish(is_present=not connection.was_reset)
            return
        check.finish(is_present=True)

    def keep_only(self, targets: set[tuple[str, str]]) -> None:
        """Close the idle connections to all but `targets`, which are (address, incarnation)."""
        for key in [key for key in self._pools if key not in targets]:
            for connection in list(self._pools.pop(key).idle):
                connection.close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._open):
            connection.close()

    async def _send_on_new(
        self,
        address: str,
        pool: _ConnectionPool,
        request: OutgoingRequest,
        listener: ResponseListener,
        exchange: ServerExchange,
    ) -> None:
        if exchange.is_cancelled:
            return
        try:
            connection = await self._connect(address, pool)
        except (TimeoutError, OSError) as error:
            if not exchange.is_cancelled:
                listener.on_not_sent(f"{address}: {error or type(error).__name__}")
            return
        if exchange.is_cancelled:
            self._return_to_pool(pool, connection)
            return
        self._send_on_connection(connection, request, listener, exchange)

    def _send_on_idle(
        self,
        pool: _ConnectionPool,
        request: OutgoingRequest,
        listener: ResponseListener,
        exchange: ServerExchange,
    ) -> bool:
        limit_factor = 1.0 if request.may_repeat else NON_REPEATABLE_IDLE_FACTOR
        while pool.idle:
            connection = pool.idle.pop()
            idle_s = self._clock() - connection.idle_since
            limit_s = pool.idle_limit_s
            if connection.keep_alive_s is not None:
                limit_s = min(limit_s, connection.keep_alive_s * IDLE_LIMIT_FACTOR)
            if idle_s > limit_s * limit_factor:
                connection.close()
                continue
            if connection.send(request, listener):
                exchange.attach(connection, reused=True)
                self.counts.reused += 1
                return True
        return False

    def _send_on_connection(
        self,
        connection: ServerConnection,
        request: OutgoingRequest,
        listener: ResponseListener,
        exchange: ServerExchange,
    ) -> None:
        if connection.send(request, listener):
            exchange.attach(connection, reused=False)
        else:
            listener.on_not_sent("the connection was closed before the request was sent")

    async def _connect(self, address: str, pool: _ConnectionPool) -> ServerConnection:
        host, port = split_address(self._address_map.get(address, address))
        loop = asyncio.get_running_loop()
        client_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        client_socket.setblocking(False)
        try:
            self._prepare(client_socket)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(client_socket, (host, port))
        except BaseException:
            client_socket.close()
            raise
        self.counts.opened += 1
        connection = ServerConnection(
            self._clock,
            lambda each: self._return_to_pool(pool, each),
            lambda each: self._handle_closed(pool, each),
        )
        self._open.add(connection)
        await loop.create_connection(lambda: connection, sock=client_socket)
        return connection

    def _return_to_pool(self, pool: _ConnectionPool, connection: ServerConnection) -> None:
        if not connection.is_open:
            return
        pool.idle.append(connection)
        if len(pool.idle) > MAX_IDLE_PER_SERVER:
            pool.idle[0].close()

    def _handle_closed(self, pool: _ConnectionPool, connection: ServerConnection) -> None:
        self._open.discard(connection)
        if connection not in pool.idle:
            return
        pool.idle.remove(connection)
        idle_s = self._clock() - connection.idle_since
        if connection.used and idle_s < pool.idle_limit_s:
            self._learn_idle_limit(pool, idle_s)

    def _learn_idle_limit(self, pool: _ConnectionPool, idle_s: float) -> None:
        """Lower the idle limit after the server closed a connection that was idle for `idle_s`."""
        pool.idle_limit_s = max(MIN_IDLE_LIMIT_S, idle_s * IDLE_LIMIT_FACTOR)
