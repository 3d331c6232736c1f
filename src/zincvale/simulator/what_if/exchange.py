"""One request at one back end in virtual time, seen from its node."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from zincvale.dataplane.inference.events import (
    ChunksReceived,
    Input,
    ResponseReceived,
    ServerFailed,
    ServerRefused,
    StreamEnded,
)
from zincvale.dataplane.inference.routing_state import ServerState
from zincvale.dataplane.resilience.exchange_evidence import ExchangeEnd
from zincvale.simulator.what_if.servers import VirtualServer
from zincvale.standins.generation import GenerationKey

if TYPE_CHECKING:
    from zincvale.simulator.what_if.request import VirtualRequest as ExchangeOwner


class VirtualExchange:
    """One request at one server, seen from the node; each way takes its delay."""

    def __init__(self, request: ExchangeOwner, prefix_tokens: int, started_at: float) -> None:
        self.started_at = started_at
        self.first_piece_s = 0.0
        self.closed = False
        self.count = prefix_tokens
        self._request = request
        self._prefix_tokens = prefix_tokens
        self._close_at_server: Callable[[], None] | None = None

    def start(self, state: ServerState) -> None:
        """Send the request to the server."""
        node = self._request.node
        server = node.servers[state.row.server]
        node.clock.call_later(node.timings.server_hop_s, lambda: self._arrive(server))

    def close(self) -> None:
        """Close the connection; nothing more is heard of it."""
        if self.closed:
            return
        self.closed = True
        if self._close_at_server is not None:
            node = self._request.node
            node.clock.call_later(node.timings.server_hop_s, self._close_at_server)

    def _arrive(self, server: VirtualServer) -> None:
        if self.closed:
            return
        if not server.up:
            self._hear(ServerFailed("connection refused", False))
            return
        question = self._request.machine.request.inference_request
        key = GenerationKey(
            question.model, question.adapter or "", question.prompt, question.max_tokens
        )
        self._close_at_server = server.ask(
            self, key, self._prefix_tokens, self._request.hang_up_after
        )

    # what the server says, at its time

    def on_refused(self, end: ExchangeEnd, missing: tuple[str, ...], final: bool) -> None:
        """Take a refusal: nothing ran."""
        self._hear(ServerRefused(end, end.value, missing, final))

    def on_tokens(self, count: int) -> None:
        """Take the tokens that came since the last call."""
        self._pieces(count)

    def on_finished(self, count: int) -> None:
        """Take the whole answer."""
        if self._request.machine.request.inference_request.stream:
            self._pieces(count)
            self._hear(StreamEnded(count))
        else:
            self._hear(ResponseReceived(b"{}", count))

    def on_broken(self, count: int, sent: bool) -> None:
        """Take a connection that broke."""
        if self._request.machine.request.inference_request.stream:
            self._pieces(count)
        self._hear(ServerFailed("the connection broke", sent))

    def _pieces(self, count: int) -> None:
        if not self._request.machine.request.inference_request.stream or count <= self.count:
            return
        first_index = self.count + 1
        chunks = [""] * (count - self.count)
        self.count = count
        self._hear(ChunksReceived(first_index, chunks))

    def _hear(self, event: Input) -> None:
        node = self._request.node
        node.clock.call_later(node.timings.server_hop_s, lambda: self._take(event))

    def _take(self, event: Input) -> None:
        if isinstance(event, ChunksReceived) and not self.first_piece_s:
            self.first_piece_s = self._request.node.clock.now - self.started_at
        self._request.on_exchange(self, event)
