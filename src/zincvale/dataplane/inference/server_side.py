"""The server side of one request: its slot at a server and the exchange with it."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

import attrs

from zincvale.dataplane import log_events
from zincvale.dataplane.inference.backend_adapter import ADAPTER_BY_KIND
from zincvale.dataplane.inference.context import NodeContext
from zincvale.dataplane.inference.events import (
    ChunksReceived,
    Dispatch,
    FreeServer,
    Input,
    ServerFailed,
)
from zincvale.dataplane.inference.exchange_reader import ExchangeReader, is_mismatch
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_trace import RequestTrace
from zincvale.dataplane.inference.routing_state import PoolState, ServerState
from zincvale.dataplane.inference.scheduler import work_tokens
from zincvale.dataplane.resilience.exchange_evidence import ExchangeReport

FIRST_CHUNK_TIMEOUT_S = 10.0
"""Longest wait for a stream's first chunk; with a shorter one, the prefill of a long prompt is
repeated at other servers."""
NEXT_CHUNK_TIMEOUT_S = 3.0
"""Longest wait between two chunks; with a shorter one, busy servers lose streams that they would
finish."""
AT_MOST_ONCE_TIMEOUT_S = 15.0
"""Longest wait for any chunk on at-most-once routes, whose streams cannot continue elsewhere."""
DOWN_SERVER_IDLE_TIMEOUT_S = 1.0
"""How long an exchange must have received no data before it is given up because the directory
reports its server down."""
STREAM_CLOSE_TIMEOUT_S = 1.0
"""How long the connection of a complete stream may take to end before it is closed."""


@attrs.define(eq=False)
class ServerSide:
    """The slot and the exchange of one request, at one server at a time."""

    context: NodeContext
    machine: RequestMachine
    pool: PoolState | None
    trace: RequestTrace
    feed: Callable[[Input], None]
    server: ServerState | None = None
    _placed_at: float = 0.0
    _reader: ExchangeReader | None = None

    @property
    def sent(self) -> bool:
        """Whether a byte of the current exchange may have been sent."""
        reader = self._reader
        return reader is not None and reader.exchange is not None and reader.exchange.sent

    def on_placed(self, server: ServerState) -> None:
        """Record the server whose slot is reserved for the request."""
        self.server = server
        self._placed_at = self.context.clock()

    def dispatch(self, effect: Dispatch) -> bool:
        """Send the request; False when its claim is too old to permit that."""
        assert self.server is not None and self.pool is not None
        context = self.context
        request = self.machine.request
        if self.machine.route.at_most_once and not context.claims.may_dispatch(request.request_id):
            return False
        adapter = ADAPTER_BY_KIND[self.pool.spec.kind]
        reader = ExchangeReader(request, adapter, self._on_input, context.clock)
        reader.started_at = reader.last_received_at = context.clock()
        self._reader = reader
        self.trace.start_dispatch(self.server.row, effect.attempt, len(effect.prefix))
        client_request = adapter.build(request, self.server.row.address, effect.prefix)
        guarded = attrs.evolve(
            client_request, may_send=functools.partial(self._may_send, self.server)
        )
        reader.exchange = context.client.start(guarded, reader)
        return True

    def _may_send(self, server: ServerState) -> bool:
        """Whether the request may still be sent to `server`, checked when its first byte is sent.

        The process may have been frozen between the choice of the server and this moment.
        """
        if server.drained or server.evacuated or not self.context.ready():
            return False
        if not self.machine.route.at_most_once:
            return True
        return self.context.claims.may_dispatch(self.machine.request.request_id)

    def cancel(self) -> None:
        """Close the connection of the current exchange."""
        if self._reader is not None:
            self._reader.stop()

    def free(self, effect: FreeServer) -> None:
        """Free the server's slot and report how the exchange ended."""
        server, self.server = self.server, None
        reader, self._reader = self._reader, None
        if server is None or self.pool is None:
            return
        self.trace.end_dispatch(effect.end, effect.units)
        report = ExchangeReport(
            effect.end,
            self._placed_at if reader is None else reader.started_at,
            self.context.clock(),
            work_tokens(self.machine.request, self.pool.spec.kind),
            effect.units,
            effect.missing,
            0.0 if reader is None else reader.first_chunk_s,
        )
        self._close_after_linger(reader)
        self.context.finish_exchange(self.machine.request, server, report)

    def set_backpressure(self, is_backpressured: bool) -> None:
        """Pause the server's stream while the caller is slow, or resume it."""
        reader = self._reader
        if reader is None or reader.exchange is None:
            return
        if is_backpressured:
            reader.exchange.pause()
        else:
            reader.last_received_at = self.context.clock()
            reader.exchange.resume()

    def check_timeout(self, now: float, is_backpressured: bool) -> None:
        """Give up a stream whose server no longer sends, unless the stream is paused."""
        reader = self._reader
        if reader is None or reader.is_stopped or not self.machine.request.inference_request.stream:
            return
        if is_backpressured:
            reader.last_received_at = now
            return
        timeout_s = self._timeout_s(reader)
        if now - reader.last_received_at > timeout_s:
            self.give_up(f"no event for {timeout_s:.0f} s")

    def on_server_down(self, server: ServerState, now: float) -> None:
        """Give up an exchange with an unresponsive server that the directory reports down.

        At-most-once requests keep waiting, because their response may still arrive.
        """
        reader = self._reader
        if self.server is not server or reader is None or self.machine.route.at_most_once:
            return
        if now - reader.last_received_at >= DOWN_SERVER_IDLE_TIMEOUT_S:
            self.give_up("the server is down")

    def give_up(self, reason: str) -> None:
        """Close the exchange and report its failure to the machine."""
        sent = self.sent
        self.cancel()
        self.feed(ServerFailed(reason, sent))

    def detach_runner(self) -> None:
        """Drop the reference to the runner of a finished request, to leave no reference cycle."""
        self.feed = _ignore

    def _timeout_s(self, reader: ExchangeReader) -> float:
        if self.machine.route.at_most_once:
            return AT_MOST_ONCE_TIMEOUT_S
        return FIRST_CHUNK_TIMEOUT_S if reader.first_chunk_at is None else NEXT_CHUNK_TIMEOUT_S

    def _on_input(self, event: Input) -> None:
        if isinstance(event, ServerFailed) and is_mismatch(event):
            self._record_mismatch()
        elif isinstance(event, ChunksReceived) and not self.machine.chunks:
            seconds = self.context.clock() - self.machine.request.received_at
            self.context.metrics.record_first_piece(self.machine.request.route, seconds)
        self.feed(event)

    def _record_mismatch(self) -> None:
        self.context.metrics.mismatches.inc()
        self.context.log(
            log_events.RESPONSE_MISMATCHED,
            server="" if self.server is None else self.server.row.server,
            request_id=self.machine.request.request_id,
        )

    def _close_after_linger(self, reader: ExchangeReader | None) -> None:
        """Close a complete stream's connection after a delay, if it has not ended by itself."""
        if reader is None or reader.is_stopped or reader.exchange is None:
            return
        if self.machine.request.inference_request.stream:
            asyncio.get_running_loop().call_later(STREAM_CLOSE_TIMEOUT_S, reader.exchange.cancel)


def _ignore(event: Input) -> None:
    """Ignore an input: the request has finished."""
