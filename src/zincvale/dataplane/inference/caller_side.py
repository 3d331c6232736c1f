"""The caller's side of one request: a whole answer, or a relayed stream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from zincvale.dataplane import log_events
from zincvale.dataplane.inference import responses as answers
from zincvale.dataplane.inference.context import NodeContext
from zincvale.dataplane.inference.events import RelayPieces, SendAnswer
from zincvale.dataplane.inference.request_machine import RequestMachine
from zincvale.dataplane.inference.request_record import RequestRecord
from zincvale.dataplane.inference.stream_relay import CallerSink, StreamRelay


@attrs.define(eq=False)
class CallerSide:
    """Sends what the machine decided.

    Attributes
    ----------
    answered : the response is complete, or its caller is gone.
    on_pressure, on_lost, on_taken_over : see `StreamRelay`.
    """

    context: NodeContext
    machine: RequestMachine
    record: RequestRecord
    sink: CallerSink
    on_pressure: Callable[[bool], None]
    on_lost: Callable[[], None]
    on_taken_over: Callable[[], None]
    answered: bool = False
    is_over: bool = False
    _relay: StreamRelay | None = None
    _relaying: asyncio.Task[None] | None = None

    @property
    def pressed(self) -> bool:
        """Whether the caller is too slow for its stream."""
        return self._relay is not None and self._relay.pressed

    def send_answer(self, effect: SendAnswer) -> None:
        """Send a whole response, unless there was one or the caller is gone."""
        if self.answered:
            return
        self.answered = True
        headers = dict(effect.headers)
        self.record.answered(headers)
        self.sink.send_answer(effect.status, headers, effect.body)

    def open_stream(self) -> None:
        """Begin the event stream."""
        request = self.machine.request
        headers = answers.stream_headers(request.request_id)
        self.record.answered(headers)
        self.sink.open_stream(headers)
        self._relay = StreamRelay(
            request.request_id,
            request.digest,
            self.machine.epoch,
            self.sink,
            self.context.journal,
            self.on_pressure,
            self.on_lost,
            self.on_taken_over,
        )
        loop = asyncio.get_running_loop()
        self._relaying = loop.create_task(self._run(self._relay))

    # The relay may have ended before its stream did: its caller left, or it was taken over.

    def relay(self, effect: RelayPieces) -> None:
        """Pass pieces on."""
        self.record.pieces(effect.first_index, len(effect.pieces))
        if self._relay is not None:
            self._relay.push(effect.first_index, effect.pieces, effect.journal)

    def end_stream(self, count: int) -> None:
        """Close the stream whole."""
        if self._relay is not None:
            self._relay.finish(count)

    def break_stream(self, resumable: bool, reason: str) -> None:
        """End the stream with an error event and a cut connection."""
        request_id = self.machine.request.request_id
        self.context.log(log_events.STREAM_BROKEN, request_id=request_id, reason=reason)
        if self._relay is not None:
            self._relay.interrupt(resumable, reason)

    def release(self) -> None:
        """Let go of the runner once the request is over, so that no reference cycle stays."""
        self.is_over = True
        if self._relay is None:
            self.on_pressure = self.on_lost = self.on_taken_over = _ignore

    def abandon(self) -> None:
        """Stop sending: the caller is gone."""
        if self._relay is not None:
            self._relay.abandon()
        self.answered = True

    async def _run(self, relay: StreamRelay) -> None:
        try:
            await relay.run()
        finally:
            self._relay = None
            if self.is_over:
                self.release()


def _ignore(*_news: object) -> None:
    """Take no more news: the request is over."""
