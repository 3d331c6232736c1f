"""Entry node's side of the stream journal: streams being written, in batches for each peer.

One call is under way to a peer at a time, and carries what all streams placed there added
meanwhile (group commit). A peer that fails or is full is replaced; the next one gets each stream
from its first piece, out of this node's memory.
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

FREEZE_S = 0.4
"""A longer pause between two ticks is taken for a freeze."""


@attrs.frozen
class SendBatch:
    """Effect: call `peer` with `call`; `batch_replied` or `batch_failed` follows."""

    peer: MemberId
    call: AppendCall


@attrs.frozen
class Settled:
    """Effect: the answer to the append or close `token`."""

    token: str
    result: JournalAppend


@attrs.frozen
class PeerReplaced:
    """Effect: tell the operator that `peer` failed, or is full."""

    peer: MemberId
    streams: int


WriterEffect = SendBatch | Settled | PeerReplaced


@attrs.define
class _Waiter:
    token: str
    needed: int
    needs_end: bool
    give_up_at: float


@attrs.define
class StreamWriter:
    """One stream that this node entered.

    Attributes
    ----------
    fence : this node's right to write it.
    pieces : the whole stream so far.
    peer : where it is journalled, or None while no peer can be had.
    kept : number of pieces that `peer` holds.
    sent : number of pieces in the call under way, None when there is none for this stream.
    is_over : ended, taken over or forgotten; kept in memory for a take-over.
    """

    request_id: str
    digest: str
    fence: StreamFence
    pieces: list[str] = attrs.field(factory=list)
    end_count: int = 0
    is_end_kept: bool = False
    peer: MemberId | None = None
    kept: int = 0
    number: int = 0
    is_taken_over: bool = False
    is_over: bool = False
    bytes: int = 0
    expires_at: float = 0.0
    waiters: deque[_Waiter] = attrs.field(factory=deque)

    @property
    def is_dirty(self) -> bool:
        """Whether the peer lacks something."""
        if self.is_taken_over:
            return False
        return self.kept < len(self.pieces) or (self.end_count > 0 and not self.is_end_kept)

    def next_write(self) -> StreamWrite:
        """Return what the peer lacks."""
        self.number += 1
        return StreamWrite(
            self.request_id,
            self.digest,
            self.fence,
            self.number,
            self.kept + 1,
            self.pieces[self.kept :],
            self.end_count,
        )

    def move_to(self, peer: MemberId | None) -> None:
        """Journal at `peer` from now on, from the first piece."""
        self.peer = peer
        self.kept = 0
        self.is_end_kept = False


@attrs.define
class _Lane:
    """The calls to one peer."""

    dirty: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    under_way: list[StreamWrite] | None = None
    next_at: float = 0.0


class JournalWriters:
    """The streams this node entered; returns effects for each input."""

    def __init__(self, timings: JournalTimings) -> None:
        self._timings = timings
        self._writers: OrderedDict[str, StreamWriter] = OrderedDict()
        self._lanes: dict[MemberId, _Lane] = {}
        self._peers: list[MemberId] = []
        self._avoid_until: dict[MemberId, float] = {}
        self._ticked_at = float("inf")
        self.wake_at = float("inf")

    def set_peers(self, peers: list[MemberId], now: float) -> list[WriterEffect]:
        """Learn the peers that may keep streams, the preferred one first.

        Streams of a peer that is gone are journalled elsewhere at once, not at their next piece.
        """
        self._peers = peers
        effects: list[WriterEffect] = []
        for writer in list(self._writers.values()):
            if not writer.is_over and writer.peer is not None and writer.peer not in peers:
                effects += self._place(writer, now)
        return effects

    def find(self, request_id: str) -> StreamWriter | None:
        """Return a stream of this node."""
        return self._writers.get(request_id)

    def begin(self, writer: StreamWriter, now: float) -> None:
        """Take up a stream, in place of any older one with its identifier."""
        old = self._writers.pop(writer.request_id, None)
        if old is not None:
            writer.waiters = old.waiters
        self._writers[writer.request_id] = writer
        writer.bytes = size_of(writer.pieces)
        writer.expires_at = now + self._timings.idle_ttl_s

    def append(
        self, token: str, writer: StreamWriter, first_index: int, pieces: list[str], now: float
    ) -> list[WriterEffect]:
        """Add pieces; `Settled(token, ...)` follows once they are kept, or will not be."""
        expected = len(writer.pieces) + 1
        if writer.is_taken_over or writer.end_count or first_index != expected:
            return [Settled(token, JournalAppend.TAKEN_OVER)]
        writer.pieces.extend(pieces)
        writer.bytes += size_of(pieces)
        return self._wait_for(token, writer, needs_end=False, now=now)

    def end(self, token: str, writer: StreamWriter, count: int, now: float) -> list[WriterEffect]:
        """Note the whole stream's number of pieces; `Settled(token, ...)` follows."""
        if writer.is_taken_over or count != len(writer.pieces) or count == 0:
            return [Settled(token, JournalAppend.NOT_KEPT)]
        writer.end_count = count
        writer.is_over = True
        return self._wait_for(token, writer, needs_end=True, now=now)

    def forget(self, request_id: str) -> None:
        """Keep a stream only as long as there is room for those that are over."""
        writer = self._writers.get(request_id)
        if writer is not None:
            writer.is_over = True

    def read(self, request_id: str) -> ReadReply | None:
        """Tell how much of a stream this node has entered itself."""
        writer = self._writers.get(request_id)
        if writer is None:
            return None
        return ReadReply(writer.fence, len(writer.pieces))

    def fence(self, call: FenceCall) -> tuple[FenceReply | None, list[WriterEffect]]:
        """Stop writing a stream that another node takes over, and return its pieces."""
        writer = self._writers.get(call.request_id)
        if writer is None:
            return None, []
        content = StreamContent(writer.digest, writer.fence, list(writer.pieces), writer.end_count)
        if call.fence <= writer.fence:
            return FenceReply(writer.fence, content), []
        effects = self._stop(writer)
        return FenceReply(call.fence, content), effects

    def batch_replied(self, peer: MemberId, reply: AppendReply, now: float) -> list[WriterEffect]:
        """Apply the answers to the call under way to `peer`."""
        lane = self._lanes[peer]
        writes = lane.under_way or []
        lane.under_way = None
        effects: list[WriterEffect] = []
        for write, result in zip(writes, reply.results, strict=False):
            writer = self._writers.get(write.request_id)
            if writer is not None and writer.peer == peer and writer.fence == write.fence:
                effects += self._apply(writer, write, result, now)
        return effects + self._flush(peer, now)

    def batch_failed(self, peer: MemberId, now: float) -> list[WriterEffect]:
        """Journal the streams of a peer that does not answer elsewhere."""
        lane = self._lanes[peer]
        lane.under_way = None
        lane.dirty.clear()
        self._avoid_until[peer] = now + self._timings.avoid_s
        moved = [writer for writer in self._writers.values() if writer.peer == peer]
        effects: list[WriterEffect] = [PeerReplaced(peer, len(moved))] if moved else []
        for writer in moved:
            effects += self._place(writer, now)
        return effects

    def flush_due(self, now: float) -> list[WriterEffect]:
        """Send what waited for the end of a pause between two calls."""
        self.wake_at = float("inf")
        effects: list[WriterEffect] = []
        for peer in list(self._lanes):
            effects += self._flush(peer, now)
        return effects

    def tick(self, now: float) -> list[WriterEffect]:
        """Send what is due, give up what waited too long, forget what expired."""
        self._forgive_freeze(now)
        effects = self.flush_due(now)
        for writer in list(self._writers.values()):
            while writer.waiters and writer.waiters[0].give_up_at <= now:
                token = writer.waiters.popleft().token
                effects.append(Settled(token, JournalAppend.NOT_KEPT))
        self._sweep(now)
        return effects

    def _forgive_freeze(self, now: float) -> None:
        """Wait for answers again after a freeze: another node may have taken streams over."""
        gap_s = now - self._ticked_at
        self._ticked_at = now
        if gap_s < FREEZE_S:
            return
        for writer in self._writers.values():
            for waiter in writer.waiters:
                waiter.give_up_at += gap_s

    def _wait_for(
        self, token: str, writer: StreamWriter, needs_end: bool, now: float
    ) -> list[WriterEffect]:
        give_up_at = now + self._timings.append_timeout_s
        writer.waiters.append(_Waiter(token, len(writer.pieces), needs_end, give_up_at))
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
            Settled(waiter.token, JournalAppend.NOT_KEPT) for waiter in writer.waiters
        ]
        writer.waiters.clear()
        return effects

    def _choose_peer(self, now: float) -> MemberId | None:
        for peer in self._peers:
            if self._avoid_until.get(peer, 0.0) <= now:
                return peer
        return None

    def _mark_dirty(self, writer: StreamWriter, now: float) -> list[WriterEffect]:
        if writer.peer is None or not writer.is_dirty:
            return []
        lane = self._lanes.setdefault(writer.peer, _Lane())
        lane.dirty[writer.request_id] = None
        return self._flush(writer.peer, now)

    def _flush(self, peer: MemberId, now: float) -> list[WriterEffect]:
        """Send what waits for `peer`, unless a call is under way or was just begun."""
        lane = self._lanes[peer]
        if lane.under_way is not None or not lane.dirty:
            return []
        if now < lane.next_at:
            self.wake_at = min(self.wake_at, lane.next_at)
            return []
        writes = self._collect(peer, lane)
        if not writes:
            return []
        lane.under_way = writes
        lane.next_at = now + self._timings.batch_s
        return [SendBatch(peer, AppendCall(writes))]

    def _collect(self, peer: MemberId, lane: _Lane) -> list[StreamWrite]:
        writes: list[StreamWrite] = []
        size = 0
        while lane.dirty and size < self._timings.max_batch_bytes:
            request_id, _ = lane.dirty.popitem(last=False)
            writer = self._writers.get(request_id)
            if writer is None or writer.peer != peer or not writer.is_dirty:
                continue
            write = writer.next_write()
            size += size_of(write.pieces)
            writes.append(write)
        return writes

    def _apply(
        self, writer: StreamWriter, write: StreamWrite, result: WriteResult, now: float
    ) -> list[WriterEffect]:
        match result.status:
            case WriteStatus.KEPT:
                writer.kept = write.first_index - 1 + len(write.pieces)
                writer.is_end_kept = write.end_count > 0
                return self._settle_kept(writer) + self._mark_dirty(writer, now)
            case WriteStatus.FENCED:
                return self._stop(writer)
            case WriteStatus.GAP:
                writer.kept = 0
                return self._mark_dirty(writer, now)
            case _:
                assert writer.peer is not None
                self._avoid_until[writer.peer] = now + self._timings.avoid_s
                return [PeerReplaced(writer.peer, 1), *self._place(writer, now)]

    def _settle_kept(self, writer: StreamWriter) -> list[WriterEffect]:
        effects: list[WriterEffect] = []
        while writer.waiters:
            waiter = writer.waiters[0]
            if waiter.needed > writer.kept or (waiter.needs_end and not writer.is_end_kept):
                break
            writer.waiters.popleft()
            effects.append(Settled(waiter.token, JournalAppend.KEPT))
        return effects

    def _stop(self, writer: StreamWriter) -> list[WriterEffect]:
        writer.is_taken_over = True
        writer.is_over = True
        effects: list[WriterEffect] = [
            Settled(waiter.token, JournalAppend.TAKEN_OVER) for waiter in writer.waiters
        ]
        writer.waiters.clear()
        return effects

    def _sweep(self, now: float) -> None:
        """Forget expired streams, and those over when they take too much room."""
        over = [writer for writer in self._writers.values() if writer.is_over]
        spare = self._timings.max_own_bytes - sum(writer.bytes for writer in over)
        for writer in over:
            if spare < 0:
                spare += writer.bytes
                writer.expires_at = now
        for request_id, writer in list(self._writers.items()):
            if writer.expires_at <= now and not writer.waiters:
                del self._writers[request_id]
