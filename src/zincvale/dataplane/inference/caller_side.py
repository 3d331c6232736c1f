"""The caller's side of one request: it gets a complete response or a relayed stream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from zincvale.dataplane import log_events
from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.context import NodeContext
from zincvale.dataplane.inference.events import RelayChunks, SendResponse
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_trace import RequestTrace
from zincvale.dataplane.inference.stream_relay import CallerSink, StreamRelay


@attrs.define(eq=False)
class CallerSide:
    """Sends the caller what the request machine decided.

    Attributes
    ----------
    is_response_complete : a complete response was sent, or the caller has disconnected.
    on_backpressure, on_caller_disconnected, on_fenced : see `StreamRelay`.
    """

    context: NodeContext
    machine: RequestMachine
    trace: RequestTrace
    sink: CallerSink
    on_backpressure: Callable[[bool], None]
    on_caller_disconnected: Callable[[], None]
    on_fenced: Callable[[], None]
    is_response_complete: bool = False
    is_request_finished: bool = False
    _relay: StreamRelay | None = None
    _relay_task: asyncio.Task[None] | None = None

    @property
    def is_backpressured(self) -> bool:
        """Whether the caller reads its stream too slowly, so that the server is paused."""
        return self._relay is not None and self._relay.is_backpressured

    def send_response(self, effect: SendResponse) -> None:
        """Send a complete response, unless one was sent or the caller has disconnected."""
        if self.is_response_complete:
            return
        self.is_response_complete = True
        headers = dict(effect.headers)
        self.trace.add_trace_header(headers)
        self.sink.send_response(effect.status, headers, effect.body)

    def open_stream(self) -> None:
        """Start the event stream and its relay."""
        request = self.machine.request
        headers = responses.stream_headers(request.request_id)
        self.trace.add_trace_header(headers)
        self.sink.open_stream(headers)
        self._relay = StreamRelay(
            request.request_id,
            request.digest,
            self.machine.epoch,
            self.sink,
            self.context.journal,
            self.on_backpressure,
            self.on_caller_disconnected,
            self.on_fenced,
        )
        loop = asyncio.get_running_loop()
        self._relay_task = loop.create_task(self._run_relay(self._relay))

    # The relay may end before its stream: when the caller disconnects or the stream is fenced.

    def relay(self, effect: RelayChunks) -> None:
        """Queue chunks for the caller."""
        self.trace.record_chunks(effect.first_index, len(effect.chunks))
        if self._relay is not None:
            self._relay.push(effect.first_index, effect.chunks, effect.journal)

    def end_stream(self, count: int) -> None:
        """End the stream as complete after the queued chunks."""
        if self._relay is not None:
            self._relay.finish(count)

    def break_stream(self, resumable: bool, reason: str) -> None:
        """End the stream with an error event and cut the connection."""
        request_id = self.machine.request.request_id
        self.context.log(log_events.STREAM_BROKEN, request_id=request_id, reason=reason)
        if self._relay is not None:
            self._relay.interrupt(resumable, reason)

    def detach_runner(self) -> None:
        """Drop the references to the runner of a finished request, to leave no reference cycle.

        While a relay still runs, this waits for its end.
        """
        self.is_request_finished = True
        if self._relay is None:
            self.on_backpressure = self.on_caller_disconnected = self.on_fenced = _ignore

    def abandon(self) -> None:
        """Stop sending: the caller has disconnected."""
        if self._relay is not None:
            self._relay.abandon()
        self.is_response_complete = True

    async def _run_relay(self, relay: StreamRelay) -> None:
        try:
            await relay.run()
        finally:
            self._relay = None
            if self.is_request_finished:
                self.detach_runner()


def _ignore(*_arguments: object) -> None:
    """Ignore a late notification: the request has finished."""
