"""Simulated servers with the failures that back ends may have, and the client that reaches them."""

from __future__ import annotations

import asyncio
import enum
import functools
from collections.abc import Callable
from http import HTTPStatus
from random import Random

import attrs

from zincvale.dataplane.forwarding.native_dialect import INCARNATION, LAST_EVENT_ID, NEVER_RAN
from zincvale.simulator.forwarding.journal import Arrival, ForwardingJournal, Run
from zincvale.transport.server_client import PresenceCheck
from zincvale.transport.server_exchange import OutgoingRequest, ResponseHead, ResponseListener

REQUEST_ID = "x-request-id"
STREAM_EVENTS = 6
"""Number of events in a complete stream."""
EVENT_INTERVAL_S = 0.03
"""Interval between two events of a stream."""
CONNECT_TIMEOUT_S = 0.5
PRESENCE_CHECK_S = 0.002
"""How long a server takes to accept or refuse a connection."""
DELAY_RANGE_S = (0.001, 0.02)
"""Shortest and longest time that a request takes to reach a server."""
RUN_DURATION_RANGE_S = (0.01, 0.4)
"""Shortest and longest time until a run begins to respond."""


class Behavior(enum.Enum):
    """The current behavior of a server."""

    HEALTHY = "well"
    OVERLOADED = "full"
    """The server refuses requests and states that they did not run."""
    FAILING_AFTER_RUN = "grey"
    """The server runs requests and then responds with an error."""
    BREAKING_OFF = "breaks"
    """The server breaks off its responses before they are complete."""
    SILENT = "silent"
    """The server runs requests and never responds."""
    REFUSING_CONNECTIONS = "down"
    """The server refuses connections."""
    UNREACHABLE = "dark"
    """Attempts to connect to the server time out."""


@attrs.define(eq=False)
class ModelServer:
    """A simulated server; each restart creates a new incarnation."""

    name: str
    address: str
    zone: str
    starts: int = 1
    behavior: Behavior = Behavior.HEALTHY
    slow_start_until: float = 0.0
    draining: bool = False

    @property
    def incarnation(self) -> str:
        """The id of the running incarnation."""
        return f"{self.name}.{self.starts}"


@attrs.define(eq=False)
class ModelExchange:
    """The handle by which a node controls an exchange with a server."""

    is_cancelled: bool = False
    run: Run | None = None
    """The run of the request at the server, once it began."""

    def cancel(self) -> None:
        """Cancel the exchange; its listener is not called again."""
        self.is_cancelled = True
        if self.run is not None and self.run.responded_at is None:
            self.run.cancelled_at = asyncio.get_running_loop().time()

    def pause(self) -> None:
        """Do nothing: simulated callers read without delay."""

    def resume(self) -> None:
        """Do nothing: simulated callers read without delay."""


@attrs.define(eq=False)
class ModelClient:
    """Replaces the client with which a node connects to servers.

    Parameters
    ----------
    knows_draining, knows_evacuated : return whether this node currently knows that a server is
        draining or in an evacuated zone, for the journal.
    """

    node: str
    servers: dict[str, ModelServer]
    journal: ForwardingJournal
    random: Random
    knows_draining: Callable[[ModelServer], bool]
    knows_evacuated: Callable[[ModelServer], bool]

    def start(
        self, address: str, incarnation: str, request: OutgoingRequest, listener: ResponseListener
    ) -> ModelExchange:
        """Begin an exchange; its listener is called later, never within this call."""
        exchange = ModelExchange()
        task = _ServerExchange(self, self.servers[address], request, listener, exchange)
        loop = asyncio.get_running_loop()
        server = self.servers[address]
        if server.behavior is Behavior.UNREACHABLE:
            loop.call_later(CONNECT_TIMEOUT_S, task.fail_to_connect)
        else:
            loop.call_later(self.random.uniform(*DELAY_RANGE_S), task.arrive, loop.time())
        return exchange

    def check_presence(
        self, address: str, incarnation: str, settle_s: float, on_result: Callable[[bool], None]
    ) -> PresenceCheck:
        """Report whether the incarnation of a server runs; a restart takes longer than a check."""
        server = self.servers[address]
        check = PresenceCheck(on_result)
        is_gone = server.incarnation != incarnation
        is_gone = is_gone or server.behavior is Behavior.REFUSING_CONNECTIONS
        loop = asyncio.get_running_loop()
        finish = functools.partial(check.finish, is_present=not is_gone)
        loop.call_later(PRESENCE_CHECK_S + settle_s, finish)
        return check

    def keep_only(self, targets: set[tuple[str, str]]) -> None:
        """Do nothing: simulated connections are not pooled."""

    def close(self) -> None:
        """Do nothing: no connections are open."""


class _ServerExchange:
    """The server's side of an exchange."""

    def __init__(
        self,
        client: ModelClient,
        server: ModelServer,
        request: OutgoingRequest,
        listener: ResponseListener,
        exchange: ModelExchange,
    ) -> None:
        self._client = client
        self._server = server
        self._listener = listener
        self._exchange = exchange
        self._headers = {name.lower(): value for name, value in request.headers}
        self._request_id = self._headers[REQUEST_ID]
        self._is_stream = request.target.startswith("/stream")
        self._incarnation = server.incarnation
        self._node_knowledge = (client.knows_draining(server), client.knows_evacuated(server))
        self._resumed_after = int(self._headers.get(LAST_EVENT_ID, "") or 0)

    def fail_to_connect(self) -> None:
        """Report that the connection attempt timed out."""
        if not self._exchange.is_cancelled:
            self._listener.on_not_sent("no connection")

    def arrive(self, sent_at: float) -> None:
        """Handle the arrival of the request at the server, unless the exchange was cancelled."""
        if self._exchange.is_cancelled:
            return
        server = self._server
        if server.behavior in (Behavior.REFUSING_CONNECTIONS, Behavior.UNREACHABLE):
            self._listener.on_not_sent("refused")
            return
        now = self._loop.time()
        is_misdirected = self._headers[INCARNATION] != server.incarnation
        self._client.journal.arrivals.append(
            Arrival(
                self._request_id,
                server.name,
                server.incarnation,
                self._client.node,
                sent_at,
                now,
                now < server.slow_start_until,
                *self._node_knowledge,
                is_misdirected,
            )
        )
        if is_misdirected:
            self._head(421)
            self._end()
        elif server.behavior is Behavior.OVERLOADED:
            self._head(503, (NEVER_RAN, "1"))
            self._end()
        else:
            self._run(now)

    @property
    def _loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    def _run(self, now: float) -> None:
        body = self._body()
        run = Run(self._request_id, self._server.incarnation, now, self._resumed_after, body)
        self._client.journal.runs.append(run)
        self._exchange.run = run
        duration_s = self._client.random.uniform(*RUN_DURATION_RANGE_S)
        self._loop.call_later(duration_s, self._respond, self._chunks_of(body))

    def _body(self) -> bytes:
        """Return a body that is unique to this run: it names the incarnation and the request."""
        name = f"{self._server.incarnation}/{self._request_id}"
        if not self._is_stream:
            return f"{name} answered".encode()
        numbers = range(self._resumed_after + 1, STREAM_EVENTS + 1)
        return b"".join(f"id: {each}\ndata: {name}\n\n".encode() for each in numbers)

    def _chunks_of(self, body: bytes) -> list[bytes]:
        if not self._is_stream:
            return [body]
        return [event + b"\n\n" for event in body.split(b"\n\n") if event]

    def _respond(self, chunks: list[bytes]) -> None:
        behavior = self._server.behavior
        if self._exchange.is_cancelled or behavior is Behavior.SILENT:
            return
        if self._server.incarnation != self._incarnation or behavior in (
            Behavior.REFUSING_CONNECTIONS,
            Behavior.UNREACHABLE,
        ):
            self._mark_responded()
            self._listener.on_broken("reset")
        elif behavior is Behavior.FAILING_AFTER_RUN:
            self._head(500)
            self._end()
        else:
            self._head(200)
            self._write(chunks)

    def _write(self, chunks: list[bytes]) -> None:
        if self._exchange.is_cancelled or self._server.behavior is Behavior.SILENT:
            return
        has_restarted = self._server.incarnation != self._incarnation
        if has_restarted or self._server.behavior in (
            Behavior.BREAKING_OFF,
            Behavior.REFUSING_CONNECTIONS,
            Behavior.UNREACHABLE,
        ):
            self._break_off(chunks)
            return
        if not chunks:
            self._end()
            return
        self._listener.on_content(chunks[0])
        self._loop.call_later(EVENT_INTERVAL_S if self._is_stream else 0.0, self._write, chunks[1:])

    def _mark_responded(self) -> None:
        run = self._exchange.run
        if run is not None and run.responded_at is None:
            run.responded_at = self._loop.time()

    def _break_off(self, chunks: list[bytes]) -> None:
        """End a response early: by a reset, or one without a length by its connection's end.

        The latter is told from a complete response only within an event, or if the server is gone.
        """
        self._mark_responded()
        cut = self._client.random.randrange(len(chunks[0])) if chunks else 0
        if chunks:
            self._listener.on_content(chunks[0][:cut])
        if self._exchange.is_cancelled:
            return
        behavior = self._server.behavior
        has_crashed = (
            self._server.incarnation != self._incarnation
            or behavior is Behavior.REFUSING_CONNECTIONS
        )
        if (self._is_stream and cut % 2) or (has_crashed and cut % 2 == 0):
            self._listener.on_complete(is_delimited=False)
        else:
            self._listener.on_broken("reset")

    def _head(self, status: int, *headers: tuple[str, str]) -> None:
        kind = "text/event-stream" if self._is_stream and status == HTTPStatus.OK else "text/plain"
        named = [(REQUEST_ID, self._request_id), ("Content-Type", kind), *headers]
        self._listener.on_head(ResponseHead(status, "", named))

    def _end(self) -> None:
        self._mark_responded()
        if not self._exchange.is_cancelled:
            self._listener.on_complete(is_delimited=True)
