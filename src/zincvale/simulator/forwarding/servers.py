"""Model servers that fail in every way the back ends' rules allow, and the way to them."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable
from http import HTTPStatus
from random import Random

import attrs

from zincvale.dataplane.forwarding.native_dialect import INCARNATION, LAST_EVENT_ID, NEVER_RAN
from zincvale.simulator.forwarding.journal import Arrival, ForwardingJournal, Run
from zincvale.transport.server_exchange import OutgoingRequest, ResponseHead, ResponseListener

REQUEST_ID = "x-request-id"
STREAM_EVENTS = 6
EVENT_GAP_S = 0.03
CONNECT_LIMIT_S = 0.5
DELAY_S = (0.001, 0.02)
WORK_S = (0.01, 0.4)


class Behavior(enum.Enum):
    """How a server behaves at a time."""

    WELL = "well"
    FULL = "full"
    """It refuses, and says so."""
    GREY = "grey"
    """It fails some requests after it ran them."""
    BREAKS = "breaks"
    """It breaks its responses off."""
    SILENT = "silent"
    """It runs requests and sends nothing."""
    DOWN = "down"
    """Connections are refused."""
    DARK = "dark"
    """Connections do not come up."""


@attrs.define(eq=False)
class ModelServer:
    """One server; a restart is another incarnation."""

    name: str
    address: str
    zone: str
    starts: int = 1
    behavior: Behavior = Behavior.WELL
    slow_start_until: float = 0.0
    draining: bool = False

    @property
    def incarnation(self) -> str:
        """The name of the running incarnation."""
        return f"{self.name}.{self.starts}"


@attrs.define(eq=False)
class ModelExchange:
    """The node's handle of one exchange."""

    is_cancelled: bool = False
    run: Run | None = None
    """What the server does of it, once it began."""

    def cancel(self) -> None:
        """Cancel it: the listener is not called again."""
        self.is_cancelled = True
        if self.run is not None and self.run.responded_at is None:
            self.run.cancelled_at = asyncio.get_running_loop().time()

    def pause(self) -> None:
        """Model callers read as fast as they are written to."""

    def resume(self) -> None:
        """See `pause`."""


@attrs.define(eq=False)
class ModelClient:
    """Takes the place of a node's connections to servers.

    Parameters
    ----------
    knows_draining, knows_evacuated : return what this node knows of a server now, for the journal.
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
        """Begin an exchange; the listener is called later, never from here."""
        exchange = ModelExchange()
        task = _Visit(self, self.servers[address], request, listener, exchange)
        loop = asyncio.get_running_loop()
        server = self.servers[address]
        if server.behavior is Behavior.DARK:
            loop.call_later(CONNECT_LIMIT_S, task.not_connected)
        else:
            loop.call_later(self.random.uniform(*DELAY_S), task.arrive, loop.time())
        return exchange

    def keep_only(self, targets: set[tuple[str, str]]) -> None:
        """Model connections are not pooled."""

    def close(self) -> None:
        """Nothing is open."""


class _Visit:
    """One request at one server."""

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
        self._node_knew = (client.knows_draining(server), client.knows_evacuated(server))
        self._resumed_after = int(self._headers.get(LAST_EVENT_ID, "") or 0)

    def not_connected(self) -> None:
        """No connection came up in time."""
        if not self._exchange.is_cancelled:
            self._listener.on_not_sent("no connection")

    def arrive(self, sent_at: float) -> None:
        """The request is at the server, unless its caller gave it up before."""
        if self._exchange.is_cancelled:
            return
        server = self._server
        if server.behavior in (Behavior.DOWN, Behavior.DARK):
            self._listener.on_not_sent("refused")
            return
        now = self._loop.time()
        misdirected = self._headers[INCARNATION] != server.incarnation
        self._client.journal.arrivals.append(
            Arrival(
                self._request_id,
                server.name,
                server.incarnation,
                self._client.node,
                sent_at,
                now,
                now < server.slow_start_until,
                *self._node_knew,
                misdirected,
            )
        )
        if misdirected:
            self._head(421)
            self._end()
        elif server.behavior is Behavior.FULL:
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
        work_s = self._client.random.uniform(*WORK_S)
        self._loop.call_later(work_s, self._respond, self._chunks_of(body))

    def _body(self) -> bytes:
        """Return a body that no other run has: incarnation and request are in each event."""
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
            Behavior.DOWN,
            Behavior.DARK,
        ):
            self._mark_responded()
            self._listener.on_broken("reset")
        elif behavior is Behavior.GREY:
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
            Behavior.BREAKS,
            Behavior.DOWN,
            Behavior.DARK,
        ):
            self._break_off(chunks)
            return
        if not chunks:
            self._end()
            return
        self._listener.on_content(chunks[0])
        self._loop.call_later(EVENT_GAP_S if self._is_stream else 0.0, self._write, chunks[1:])

    def _mark_responded(self) -> None:
        run = self._exchange.run
        if run is not None and run.responded_at is None:
            run.responded_at = self._loop.time()

    def _break_off(self, chunks: list[bytes]) -> None:
        self._mark_responded()
        if chunks:
            self._listener.on_content(chunks[0][: self._client.random.randrange(len(chunks[0]))])
        if not self._exchange.is_cancelled:
            self._listener.on_broken("reset")

    def _head(self, status: int, *headers: tuple[str, str]) -> None:
        kind = "text/event-stream" if self._is_stream and status == HTTPStatus.OK else "text/plain"
        named = [(REQUEST_ID, self._request_id), ("Content-Type", kind), *headers]
        self._listener.on_head(ResponseHead(status, "", named))

    def _end(self) -> None:
        self._mark_responded()
        if not self._exchange.is_cancelled:
            self._listener.on_complete()
