"""One request at one back end in virtual time, seen from its node."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from zincvale.dataplane.inference.events import (
    ChunksReceived,
    Input,
    ResponseReceived,
    ServerFailed,
    ServerRefused,
    StreamEnded,
)
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.model.identifiers import ServerId
from zincvale.simulator.what_if.clock import VirtualClock
from zincvale.simulator.what_if.servers import VirtualServer
from zincvale.simulator.what_if.timings import Timings
from zincvale.standins.generation import GenerationKey


class ExchangeNode(Protocol):
    """The parts of a node that an exchange uses."""

    @property
    def clock(self) -> VirtualClock:
        """Virtual time."""
        ...

    @property
    def timings(self) -> Timings:
        """Modelled delays."""
        ...

    @property
    def servers(self) -> dict[ServerId, VirtualServer]:
        """Every back end, by name."""
        ...


class ExchangeOwner(Protocol):
    """The request that an exchange is for (`request.VirtualRequest`)."""

    @property
    def node(self) -> ExchangeNode:
        """The request's node."""
        ...

    @property
    def machine(self) -> RequestMachine:
        """The state machine of the request."""
        ...

    @property
    def hang_up_after_chunks(self) -> int:
        """Number of chunks after which the caller hangs up; 0 means never."""
        ...

    def on_exchange(self, exchange: VirtualExchange, event: Input) -> None:
        """Handle an event of the exchange, after its delay on the way to the node."""
        ...


class VirtualExchange:
    """One request at one server, seen from the node; each direction has its delay."""

    def __init__(self, request: ExchangeOwner, prefix_tokens: int, started_at: float) -> None:
        self.started_at = started_at
        self.first_chunk_s = 0.0
        self.is_closed = False
        self.chunk_count = prefix_tokens
        self._request = request
        self._prefix_tokens = prefix_tokens
        self._close_at_server: Callable[[], None] | None = None

    def start(self, state: ServerState) -> None:
        """Send the request to the server."""
        node = self._request.node
        server = node.servers[state.row.server]
        node.clock.call_later(node.timings.server_hop_s, lambda: self._arrive(server))

    def close(self) -> None:
        """Close the connection; its later events are dropped."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._close_at_server is not None:
            node = self._request.node
            node.clock.call_later(node.timings.server_hop_s, self._close_at_server)

    def _arrive(self, server: VirtualServer) -> None:
        if self.is_closed:
            return
        if not server.is_up:
            self._notify(ServerFailed("connection refused", False))
            return
        inference_request = self._request.machine.request.inference_request
        key = GenerationKey(
            inference_request.model,
            inference_request.adapter or "",
            inference_request.prompt,
            inference_request.max_tokens,
        )
        self._close_at_server = server.submit(
            self, key, self._prefix_tokens, self._request.hang_up_after_chunks
        )

    # Calls of the server at the time of sending, before the delay to the node.

    def on_refused(self, end: ExchangeEnd, missing: tuple[str, ...], is_final: bool) -> None:
        """Handle a refusal: nothing ran."""
        self._notify(ServerRefused(end, end.value, missing, is_final))

    def on_tokens(self, chunk_count: int) -> None:
        """Forward the tokens generated since the last call."""
        self._forward_chunks(chunk_count)

    def on_finished(self, chunk_count: int) -> None:
        """Handle the complete response."""
        if self._request.machine.request.inference_request.stream:
            self._forward_chunks(chunk_count)
            self._notify(StreamEnded(chunk_count))
        else:
            self._notify(ResponseReceived(b"{}", chunk_count))

    def on_broken(self, chunk_count: int, was_sent: bool) -> None:
        """Handle that the connection broke."""
        if self._request.machine.request.inference_request.stream:
            self._forward_chunks(chunk_count)
        self._notify(ServerFailed("the connection broke", was_sent))

    def _forward_chunks(self, chunk_count: int) -> None:
        if (
            not self._request.machine.request.inference_request.stream
            or chunk_count <= self.chunk_count
        ):
            return
        first_index = self.chunk_count + 1
        chunks = [""] * (chunk_count - self.chunk_count)
        self.chunk_count = chunk_count
        self._notify(ChunksReceived(first_index, chunks))

    def _notify(self, event: Input) -> None:
        node = self._request.node
        node.clock.call_later(node.timings.server_hop_s, lambda: self._on_event(event))

    def _on_event(self, event: Input) -> None:
        if isinstance(event, ChunksReceived) and not self.first_chunk_s:
            self.first_chunk_s = self._request.node.clock.now - self.started_at
        self._request.on_exchange(self, event)
