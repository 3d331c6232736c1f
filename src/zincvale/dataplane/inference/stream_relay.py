"""Relay of one stream to its caller: chunks are journalled, then written, with a bounded buffer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

import attrs

from zincvale.dataplane.inference import responses
from zincvale.dataplane.inference.dependencies import JournalAppend, StreamJournal
from zincvale.model.identifiers import RequestId

HIGH_WATER_CHUNKS = 64
"""The server is paused when more chunks than this wait to be written to the caller."""
LOW_WATER_CHUNKS = 16
"""The server is resumed when no more chunks than this wait. A value nearer to HIGH_WATER_CHUNKS
would pause and resume it often."""


class CallerDisconnectedError(Exception):
    """The caller's connection is closed."""


class CallerSink(Protocol):
    """The caller's connection, as one request uses it."""

    def send_response(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete response."""
        ...

    def open_stream(self, headers: dict[str, str]) -> None:
        """Prepare the response head of an event stream."""
        ...

    async def write(self, data: bytes) -> None:
        """Write, then wait until more data is accepted; raises `CallerDisconnectedError`."""
        ...

    async def end(self) -> None:
        """Close the response as complete; raises `CallerDisconnectedError`."""
        ...

    def cut(self) -> None:
        """Close the connection without the final HTTP chunk: the response is visibly incomplete."""
        ...


@attrs.frozen
class _Batch:
    first_index: int
    chunks: list[str]
    journal: bool


@attrs.define(eq=False)
class StreamRelay:
    """Writes chunks in order; at most one batch at a time is being journalled or written.

    Attributes
    ----------
    on_backpressure : called with True when the server should pause, with False when it may resume.
    on_caller_disconnected : called when the caller disconnected; the relay has stopped.
    on_fenced : called when another node resumed the stream; the relay has stopped.
    last_event_number : number of the last event written to the caller.
    """

    request_id: RequestId
    digest: str
    epoch: int
    sink: CallerSink
    journal: StreamJournal
    on_backpressure: Callable[[bool], None]
    on_caller_disconnected: Callable[[], None]
    on_fenced: Callable[[], None]
    is_backpressured: bool = False
    last_event_number: int = 0
    _batches: list[_Batch] = attrs.field(factory=list)
    _pending_chunks: int = 0
    _end_count: int | None = None
    _break_event: bytes | None = None
    _wakeup: asyncio.Future[None] | None = None
    _stopped: bool = False

    def push(self, first_index: int, chunks: list[str], journal: bool) -> None:
        """Queue chunks; those that wait are journalled and written together as one batch."""
        if self._stopped:
            return
        last = self._batches[-1] if self._batches else None
        if last is not None and last.journal == journal:
            last.chunks.extend(chunks)
        else:
            self._batches.append(_Batch(first_index, list(chunks), journal))
        self._pending_chunks += len(chunks)
        if not self.is_backpressured and self._pending_chunks > HIGH_WATER_CHUNKS:
            self.is_backpressured = True
            self.on_backpressure(True)
        self._wake_relay()

    def finish(self, count: int) -> None:
        """End the stream as complete once everything queued is written."""
        self._end_count = count
        self._wake_relay()

    def interrupt(self, resumable: bool, reason: str) -> None:
        """Send an error event once everything queued is written, then cut the connection."""
        self._break_event = responses.error_event(resumable, reason)
        self._wake_relay()

    def abandon(self) -> None:
        """Stop: the caller has disconnected."""
        self._stopped = True
        self.journal.forget(self.request_id)
        self._wake_relay()

    async def run(self) -> None:
        """Relay until the stream ends, breaks or is fenced, or the caller disconnects."""
        try:
            await self._relay()
        except CallerDisconnectedError:
            self._stopped = True
            self.journal.forget(self.request_id)
            self.on_caller_disconnected()

    async def _relay(self) -> None:
        while not self._stopped:
            if self._batches:
                if not await self._relay_batches():
                    return
            elif self._break_event is not None:
                await self._send_break_event(self._break_event)
                return
            elif self._end_count is not None:
                await self.sink.write(responses.end_event(self._end_count))
                await self.sink.end()
                await self.journal.close(self.request_id, self._end_count, self.epoch)
                return
            else:
                self._wakeup = asyncio.get_running_loop().create_future()
                await self._wakeup

    async def _relay_batches(self) -> bool:
        batches, self._batches = self._batches, []
        for batch in batches:
            if batch.journal and not await self._replicate(batch):
                return False
            await self.sink.write(_encode_events(batch))
            self.last_event_number = batch.first_index + len(batch.chunks) - 1
            self._pending_chunks -= len(batch.chunks)
            self._release_backpressure()
        return True

    async def _replicate(self, batch: _Batch) -> bool:
        appended = await self.journal.append(
            self.request_id, self.digest, batch.first_index, batch.chunks, self.epoch
        )
        if appended is not JournalAppend.FENCED:
            return True
        # The node that resumed the stream sends these chunks; sending them here would repeat them.
        self._stopped = True
        self.on_fenced()
        await self._send_break_event(responses.error_event(True, "resumed at another node"))
        return False

    async def _send_break_event(self, event: bytes) -> None:
        try:
            await self.sink.write(event)
        finally:
            self.sink.cut()

    def _release_backpressure(self) -> None:
        if self.is_backpressured and self._pending_chunks <= LOW_WATER_CHUNKS:
            self.is_backpressured = False
            self.on_backpressure(False)

    def _wake_relay(self) -> None:
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)


def _encode_events(batch: _Batch) -> bytes:
    numbered = enumerate(batch.chunks, start=batch.first_index)
    return b"".join([responses.event(number, text) for number, text in numbered])
