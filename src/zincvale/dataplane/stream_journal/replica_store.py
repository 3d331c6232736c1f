"""Holder's side of the stream journal: pieces of other nodes' streams, fenced and bounded."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.dataplane.stream_journal.messages import (
    FenceCall,
    FenceReply,
    ReadReply,
    StreamContent,
    StreamFence,
    StreamWrite,
    WriteResult,
    WriteStatus,
)
from zincvale.dataplane.stream_journal.timings import JournalTimings

PIECE_OVERHEAD_BYTES = 64
ENTRY_OVERHEAD_BYTES = 512
NO_WRITER = StreamFence(0, "")


def size_of(pieces: list[str]) -> int:
    """Return the bytes accounted for pieces."""
    return sum(len(piece) + PIECE_OVERHEAD_BYTES for piece in pieces)


@attrs.define
class StreamEntry:
    """One stream.

    Attributes
    ----------
    fence : the newest take-over; writes below it are refused.
    writer : who wrote the pieces that are held.
    number : of the last write.
    is_copied : whether another node was given a copy since the writer was lost.
    """

    fence: StreamFence
    digest: str = ""
    writer: StreamFence = NO_WRITER
    number: int = 0
    pieces: list[str] = attrs.field(factory=list)
    end_count: int = 0
    bytes: int = 0
    expires_at: float = 0.0
    is_copied: bool = False


class JournalStore:
    """Streams by request identifier, the longest unchanged first."""

    def __init__(self, timings: JournalTimings) -> None:
        self._timings = timings
        self._entries: OrderedDict[str, StreamEntry] = OrderedDict()
        self.bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def write(self, write: StreamWrite, now: float) -> WriteResult:
        """Apply one write."""
        entry = self._entries.get(write.request_id)
        if entry is not None and write.fence < entry.fence:
            status = WriteStatus.FENCED
        elif entry is not None and self._is_late(entry, write):
            status = WriteStatus.KEPT
        elif not self._continues(entry, write):
            status = WriteStatus.GAP
        elif not self._has_room(entry, write):
            status = WriteStatus.FULL
        else:
            self._apply(write, now)
            status = WriteStatus.KEPT
        return WriteResult(write.request_id, write.number, status.value)

    def read(self, request_id: str) -> ReadReply:
        """Tell how much is held of a stream."""
        entry = self._entries.get(request_id)
        if entry is None:
            return ReadReply(None, 0)
        return ReadReply(entry.fence, len(entry.pieces))

    def fence(self, call: FenceCall, now: float) -> FenceReply:
        """Raise the fence, unless a greater one stands, and return what is held."""
        entry = self._touch(call.request_id, call.fence, now)
        entry.fence = max(entry.fence, call.fence)
        if entry.writer == NO_WRITER:
            return FenceReply(entry.fence, None)
        content = StreamContent(entry.digest, entry.writer, list(entry.pieces), entry.end_count)
        return FenceReply(entry.fence, content)

    def orphans(self, live_owners: set[str]) -> list[StreamWrite]:
        """Return, as writes, the running streams whose writers are lost and which have no copy."""
        return [
            StreamWrite(
                request_id,
                entry.digest,
                entry.writer,
                entry.number,
                1,
                list(entry.pieces),
                entry.end_count,
            )
            for request_id, entry in self._entries.items()
            if entry.pieces and not entry.is_copied and entry.writer.owner not in live_owners
        ]

    def copied(self, request_id: str) -> None:
        """Note that another node holds the stream as well."""
        entry = self._entries.get(request_id)
        if entry is not None:
            entry.is_copied = True

    def sweep(self, now: float) -> None:
        """Drop what expired."""
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if entry.expires_at > now:
                return
            self._drop(request_id)

    def _is_late(self, entry: StreamEntry, write: StreamWrite) -> bool:
        return write.fence == entry.writer and write.number <= entry.number

    def _continues(self, entry: StreamEntry | None, write: StreamWrite) -> bool:
        if write.first_index == 1:
            return True
        if entry is None or entry.writer != write.fence:
            return False
        return write.first_index == len(entry.pieces) + 1

    def _has_room(self, entry: StreamEntry | None, write: StreamWrite) -> bool:
        added = size_of(write.pieces)
        if entry is not None and write.first_index == 1:
            added -= size_of(entry.pieces)
        if self.bytes + added <= self._timings.max_bytes:
            return True
        self._drop_ended(keep=write.request_id)
        return self.bytes + added <= self._timings.max_bytes

    def _apply(self, write: StreamWrite, now: float) -> None:
        entry = self._touch(write.request_id, write.fence, now)
        entry.fence = write.fence
        if write.first_index == 1:
            self._resize(entry, -size_of(entry.pieces))
            entry.pieces = []
        entry.digest = write.digest
        entry.writer = write.fence
        entry.number = write.number
        entry.pieces.extend(write.pieces)
        entry.end_count = write.end_count
        self._resize(entry, size_of(write.pieces))
        if write.end_count:
            entry.expires_at = now + self._timings.ended_ttl_s

    def _touch(self, request_id: str, fence: StreamFence, now: float) -> StreamEntry:
        entry = self._entries.get(request_id)
        if entry is None:
            entry = StreamEntry(fence)
            self._entries[request_id] = entry
            self._resize(entry, ENTRY_OVERHEAD_BYTES)
        entry.expires_at = now + self._timings.idle_ttl_s
        self._entries.move_to_end(request_id)
        return entry

    def _drop_ended(self, keep: str) -> None:
        """Make room by forgetting streams that ended whole; running ones are never dropped."""
        ended = [
            request_id
            for request_id, entry in self._entries.items()
            if entry.end_count and request_id != keep
        ]
        for request_id in ended:
            self._drop(request_id)

    def _resize(self, entry: StreamEntry, added_bytes: int) -> None:
        entry.bytes += added_bytes
        self.bytes += added_bytes

    def _drop(self, request_id: str) -> None:
        self.bytes -= self._entries.pop(request_id).bytes
