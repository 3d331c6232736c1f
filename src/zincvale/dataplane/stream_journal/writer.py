"""Ingress node's side of the stream journal: writes streams to peers in batches.

One call is in flight to a peer at a time. It carries the chunks that all streams of this peer added
during the previous call (group commit). A peer that fails or is full is replaced, and the next one
gets each stream from its first chunk, which this node still has in memory.
"""

from __future__ import annotations

from collections import OrderedDict, deque

import attrs

from zincvale.dataplane.inference.dependencies import JournalAppend
from zincvale.dataplane.stream_journal.messages import (
    AppendCall,
    AppendReply,
    FenceCall,
    FenceReply,
    ReadReply,
    StreamContent,
    StreamFence,
    StreamWrite,
    WriteResult,
    WriteStatus,
)
from zincvale.dataplane.stream_journal.replica_store import size_of
from zincvale.dataplane.stream_journal.timings import JournalTimings
from zincvale.model.identifiers import MemberId

FREEZE_GAP_S = 0.4
"""Pause between two ticks above which the process is taken to have been stopped or suspended.

There is a tick every 50 ms. With a limit above `append_timeout_s`, appends could time out at once
after a freeze, although a reply may still tell that their streams were fenced meanwhile. With a
limit of less than a few ticks, a busy event loop would extend every timeout.
"""


@attrs.frozen
class SendBatch:
    """Effect: send `call` to `peer`, then call `on_batch_reply` or `on_batch_failure`."""

    peer: MemberId
    call: AppendCall


@attrs.frozen
class AppendResult:
    """Effect: complete the append or end `token` with this result."""

    token: str
    result: JournalAppend


@attrs.frozen
class PeerReplaced:
    """Effect: log that `peer` failed or is full, and that this many streams move to another one."""

    peer: MemberId
    streams: int


WriterEffect = SendBatch | AppendResult | PeerReplaced


@attrs.define
class _PendingAppend:
    token: str
    required_count: int
    needs_end: bool
    times_out_at: float


@attrs.define
class StreamWriter:
    """One stream of which this node is or was the ingress node.

    Attributes
    ----------
    fence : the fence with which this node writes the stream.
    chunks : the whole stream so far.
    end_count : number of chunks of the whole stream if it has ended, else 0.
    is_end_replicated : whether `peer` knows that the stream has ended.
    peer : the peer that stores the stream, or None while no peer is available.
    replicated_count : number of chunks that `peer` has confirmed.
    number : sequence number of the latest write.
    is_over : whether the stream ended, was fenced or lost its caller; it is retained in memory for
        a failover.
    size_bytes : estimated memory of the chunks.
    """

    request_id: str
    digest: str
    fence: StreamFence
    chunks: list[str] = attrs.field(factory=list)
    end_count: int = 0
    is_end_replicated: bool = False
    peer: MemberId | None = None
    replicated_count: int = 0
    number: int = 0
    is_fenced: bool = False
    is_over: bool = False
    size_bytes: int = 0
    expires_at: float = 0.0
    pending_appends: deque[_PendingAppend] = attrs.field(factory=deque)

    @property
    def is_dirty(self) -> bool:
        """Whether the peer lacks chunks or the end of the stream."""
        if self.is_fenced:
            return False
        return self.replicated_count < len(self.chunks) or (
            self.end_count > 0 and not self.is_end_replicated
        )

    def next_write(self) -> StreamWrite:
        """Return the next write, with all chunks that the peer has not confirmed."""
        self.number += 1
        return StreamWrite(
            self.request_id,
            self.digest,
            self.fence,
            self.number,
            self.replicated_count + 1,
            self.chunks[self.replicated_count :],
            self.end_count,
        )

    def move_to(self, peer: MemberId | None) -> None:
        """Store the stream at `peer` from now on, starting again with the first chunk."""
        self.peer = peer
        self.replicated_count = 0
        self.is_end_replicated = False


@attrs.define
class _PeerQueue:
    """The writes to one peer.

    Attributes
    ----------
    dirty : streams with chunks or an end to write, as the keys of an ordered set.
    in_flight : the writes in the call in flight, None if there is none.
    next_at : the earliest time of the next call.
    """

    dirty: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    in_flight: list[StreamWrite] | None = None
    next_at: float = 0.0


class StreamWriters:
    """The streams of which this node is or was the ingress node; each input returns effects."""

    def __init__(self, timings: JournalTimings) -> None:
        self._timings = timings
        self._writers: OrderedDict[str, StreamWriter] = OrderedDict()
        self._queues: dict[MemberId, _PeerQueue] = {}
        self._peers: list[MemberId] = []
        self._avoid_until: dict[MemberId, float] = {}
        self._last_tick_at = float("inf")
        self.wake_at = float("inf")

    def set_peers(self, peers: list[MemberId], now: float) -> list[WriterEffect]:
        """Replace the peers that may store streams, the preferred one first.

        Streams of a peer that is gone move to another one immediately, not at their next chunk.
        """
        self._peers = peers
        effects: list[WriterEffect] = []
        for writer in list(self._writers.values()):
            if not writer.is_over and writer.peer is not None and writer.peer not in peers:
                effects += self._place(writer, now)
        return effects

    def find(self, request_id: str) -> StreamWriter | None:
        """Return the writer of a stream, or None if this node has none."""
        return self._writers.get(request_id)

    def add(self, writer: StreamWriter, now: float) -> None:
        """Add a stream, which replaces an older one of the same request and gets its appends."""
        replaced = self._writers.pop(writer.request_id, None)
        if replaced is not None:
            writer.pending_appends = replaced.pending_appends
        self._writers[writer.request_id] = writer
        writer.size_bytes = size_of(writer.chunks)
        writer.expires_at = now + self._timings.idle_ttl_s

    def append(
        self, token: str, writer: StreamWriter, first_index: int, chunks: list[str], now: float
    ) -> list[WriterEffect]:
        """Add chunks; `AppendResult(token, ...)` follows once they are stored or on failure."""
        expected = len(writer.chunks) + 1
        if writer.is_fenced or writer.end_count or first_index != expected:
            return [AppendResult(token, JournalAppend.FENCED)]
        writer.chunks.extend(chunks)
        writer.size_bytes += size_of(chunks)
        return self._wait_for(token, writer, needs_end=False, now=now)

    def end(self, token: str, writer: StreamWriter, count: int, now: float) -> list[WriterEffect]:
        """Record that the stream ended with `count` chunks; `AppendResult(token, ...)` follows."""
        if writer.is_fenced or count != len(writer.chunks) or count == 0:
            return [AppendResult(token, JournalAppend.UNREPLICATED)]
        writer.end_count = count
        writer.is_over = True
        return self._wait_for(token, writer, needs_end=True, now=now)

    def forget(self, request_id: str) -> None:
        """Mark a stream as over, so that it may be dropped early to make room."""
        writer = self._writers.get(request_id)
        if writer is not None:
            writer.is_over = True

    def read(self, request_id: str) -> ReadReply | None:
        """Return how much of a stream this node has written; None if it has no writer for it."""
        writer = self._writers.get(request_id)
        if writer is None:
            return None
        return ReadReply(writer.fence, len(writer.chunks))

    def fence(self, call: FenceCall) -> tuple[FenceReply | None, list[WriterEffect]]:
        """Stop writing a stream that another node takes over, and return its chunks.

        A call whose fence is not greater than the writer's returns the chunks but stops nothing.
        """
        writer = self._writers.get(call.request_id)
        if writer is None:
            return None, []
        content = StreamContent(writer.digest, writer.fence, list(writer.chunks), writer.end_count)
        if call.fence <= writer.fence:
            return FenceReply(writer.fence, content), []
        effects = self._stop(writer)
        return FenceReply(call.fence, content), effects

    def on_batch_reply(self, peer: MemberId, reply: AppendReply, now: float) -> list[WriterEffect]:
        """Apply the results of the call in flight to `peer`, and send the next batch."""
        queue = self._queues[peer]
        writes = queue.in_flight or []
        queue.in_flight = None
        effects: list[WriterEffect] = []
        for write, result in zip(writes, reply.results, strict=False):
            writer = self._writers.get(write.request_id)
            if writer is not None and writer.peer == peer and writer.fence == write.fence:
                effects += self._apply_result(writer, write, result, now)
        return effects + self._flush(peer, now)

    def on_batch_failure(self, peer: MemberId, now: float) -> list[WriterEffect]:
        """Move the streams of a peer that did not respond to another peer."""
        queue = self._queues[peer]
        queue.in_flight = None
        queue.dirty.clear()
        self._avoid_until[peer] = now + self._timings.avoid_failed_peer_s
        moved = [writer for writer in self._writers.values() if writer.peer == peer]
        effects: list[WriterEffect] = [PeerReplaced(peer, len(moved))] if moved else []
        for writer in moved:
            effects += self._place(writer, now)
        return effects

    def flush_due(self, now: float) -> list[WriterEffect]:
        """Send the batches whose minimum interval since the previous call has passed."""
        self.wake_at = float("inf")
        effects: list[WriterEffect] = []
        for peer in list(self._queues):
            effects += self._flush(peer, now)
        return effects

    def tick(self, now: float) -> list[WriterEffect]:
        """Send due batches, time out appends and drop expired streams."""
        self._extend_timeouts_after_freeze(now)
        effects = self.flush_due(now)
        for writer in list(self._writers.values()):
            while writer.pending_appends and writer.pending_appends[0].times_out_at <= now:
                token = writer.pending_appends.popleft().token
                effects.append(AppendResult(token, JournalAppend.UNREPLICATED))
        self._sweep(now)
        return effects

    def _extend_timeouts_after_freeze(self, now: float) -> None:
        """Extend the timeouts of pending appends by the time that the process was frozen.

        Another node may have fenced streams meanwhile, which the replies will tell.
        """
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        if gap_s < FREEZE_GAP_S:
            return
        for writer in self._writers.values():
            for pending in writer.pending_appends:
                pending.times_out_at += gap_s

    def _wait_for(
        self, token: str, writer: StreamWriter, needs_end: bool, now: float
    ) -> list[WriterEffect]:
        times_out_at = now + self._timings.append_timeout_s
        writer.pending_appends.append(
            _PendingAppend(token, len(writer.chunks), needs_end, times_out_at)
        )
        writer.expires_at = now + self._timings.idle_ttl_s
        self._writers.move_to_end(writer.request_id)
        if writer.peer is None:
            return self._place(writer, now)
        return self._mark_dirty(writer, now)

    def _place(self, writer: StreamWriter, now: float) -> list[WriterEffect]:
        peer = self._choose_peer(now)
        writer.move_to(peer)
        if peer is not None:
            return self._mark_dirty(writer, now)
        effects: list[WriterEffect] = [
            AppendResult(pending.token, JournalAppend.UNREPLICATED)
            for pending in writer.pending_appends
        ]
        writer.pending_appends.clear()
        return effects

    def _choose_peer(self, now: float) -> MemberId | None:
        for peer in self._peers:
            if self._avoid_until.get(peer, 0.0) <= now:
                return peer
        return None

    def _mark_dirty(self, writer: StreamWriter, now: float) -> list[WriterEffect]:
        if writer.peer is None or not writer.is_dirty:
            return []
        queue = self._queues.setdefault(writer.peer, _PeerQueue())
        queue.dirty[writer.request_id] = None
        return self._flush(writer.peer, now)

    def _flush(self, peer: MemberId, now: float) -> list[WriterEffect]:
        """Send the dirty streams of `peer`, unless a call is in flight or was just started."""
        queue = self._queues[peer]
        if queue.in_flight is not None or not queue.dirty:
            return []
        if now < queue.next_at:
            self.wake_at = min(self.wake_at, queue.next_at)
            return []
        writes = self._collect(peer, queue)
        if not writes:
            return []
        queue.in_flight = writes
        queue.next_at = now + self._timings.min_batch_interval_s
        return [SendBatch(peer, AppendCall(writes))]

    def _collect(self, peer: MemberId, queue: _PeerQueue) -> list[StreamWrite]:
        writes: list[StreamWrite] = []
        size = 0
        while queue.dirty and size < self._timings.max_batch_bytes:
            request_id, _ = queue.dirty.popitem(last=False)
            writer = self._writers.get(request_id)
            if writer is None or writer.peer != peer or not writer.is_dirty:
                continue
            write = writer.next_write()
            size += size_of(write.chunks)
            writes.append(write)
        return writes

    def _apply_result(
        self, writer: StreamWriter, write: StreamWrite, result: WriteResult, now: float
    ) -> list[WriterEffect]:
        match result.status:
            case WriteStatus.STORED:
                writer.replicated_count = write.first_index - 1 + len(write.chunks)
                writer.is_end_replicated = write.end_count > 0
                return self._complete_replicated(writer) + self._mark_dirty(writer, now)
            case WriteStatus.FENCED:
                return self._stop(writer)
            case WriteStatus.GAP:
                writer.replicated_count = 0
                return self._mark_dirty(writer, now)
            case _:
                assert writer.peer is not None
                self._avoid_until[writer.peer] = now + self._timings.avoid_failed_peer_s
                return [PeerReplaced(writer.peer, 1), *self._place(writer, now)]

    def _complete_replicated(self, writer: StreamWriter) -> list[WriterEffect]:
        effects: list[WriterEffect] = []
        while writer.pending_appends:
            pending = writer.pending_appends[0]
            if pending.required_count > writer.replicated_count or (
                pending.needs_end and not writer.is_end_replicated
            ):
                break
            writer.pending_appends.popleft()
            effects.append(AppendResult(pending.token, JournalAppend.REPLICATED))
        return effects

    def _stop(self, writer: StreamWriter) -> list[WriterEffect]:
        writer.is_fenced = True
        writer.is_over = True
        effects: list[WriterEffect] = [
            AppendResult(pending.token, JournalAppend.FENCED) for pending in writer.pending_appends
        ]
        writer.pending_appends.clear()
        return effects

    def _sweep(self, now: float) -> None:
        """Drop expired streams, and streams that are over while they exceed `max_own_bytes`."""
        over = [writer for writer in self._writers.values() if writer.is_over]
        spare_bytes = self._timings.max_own_bytes - sum(writer.size_bytes for writer in over)
        for writer in over:
            if spare_bytes < 0:
                spare_bytes += writer.size_bytes
                writer.expires_at = now
        for request_id, writer in list(self._writers.items()):
            if writer.expires_at <= now and not writer.pending_appends:
                del self._writers[request_id]
