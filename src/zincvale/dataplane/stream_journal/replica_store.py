"""Replica's side of the stream journal: stores chunks of other nodes' streams up to a limit."""

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

CHUNK_OVERHEAD_BYTES = 64
"""Estimate of the memory of a stored chunk besides its text.

If it were too small, the store would use more memory than its limit allows.
"""
STREAM_OVERHEAD_BYTES = 512
"""Estimate of the memory of a stored stream besides its chunks."""
NO_WRITER = StreamFence(0, "")


def size_of(chunks: list[str]) -> int:
    """Return the estimated memory of the chunks in bytes."""
    return sum(len(chunk) + CHUNK_OVERHEAD_BYTES for chunk in chunks)


@attrs.define
class StreamReplica:
    """Stored copy of one stream.

    Attributes
    ----------
    fence : the newest known fence; writes with a smaller one are refused.
    writer : fence with which the stored chunks were written.
    number : sequence number of the latest write of this writer.
    end_count : number of chunks of the whole stream if it has ended, else 0.
    size_bytes : estimated memory of the copy.
    is_copied : whether another node stored a copy since the writer was lost.
    """

    fence: StreamFence
    digest: str = ""
    writer: StreamFence = NO_WRITER
    number: int = 0
    chunks: list[str] = attrs.field(factory=list)
    end_count: int = 0
    size_bytes: int = 0
    expires_at: float = 0.0
    is_copied: bool = False


class ReplicaStore:
    """Replicas of streams by request identifier, the least recently changed first."""

    def __init__(self, timings: JournalTimings) -> None:
        self._timings = timings
        self._replicas: OrderedDict[str, StreamReplica] = OrderedDict()
        self.total_bytes = 0

    def __len__(self) -> int:
        return len(self._replicas)

    def write(self, write: StreamWrite, now: float) -> WriteResult:
        """Store the chunks of one write if it is accepted, and return the result."""
        replica = self._replicas.get(write.request_id)
        if replica is not None and write.fence < replica.fence:
            status = WriteStatus.FENCED
        elif replica is not None and self._is_late(replica, write):
            status = WriteStatus.STORED
        elif not self._continues(replica, write):
            status = WriteStatus.GAP
        elif not self._has_room(replica, write):
            status = WriteStatus.FULL
        else:
            self._apply(write, now)
            status = WriteStatus.STORED
        return WriteResult(write.request_id, write.number, status.value)

    def read(self, request_id: str) -> ReadReply:
        """Return how much of a stream is stored."""
        replica = self._replicas.get(request_id)
        if replica is None:
            return ReadReply(None, 0)
        return ReadReply(replica.fence, len(replica.chunks))

    def fence(self, call: FenceCall, now: float) -> FenceReply:
        """Raise the fence of a stream, unless it is greater already, and return the stored copy."""
        replica = self._touch(call.request_id, call.fence, now)
        replica.fence = max(replica.fence, call.fence)
        if replica.writer == NO_WRITER:
            return FenceReply(replica.fence, None)
        content = StreamContent(
            replica.digest, replica.writer, list(replica.chunks), replica.end_count
        )
        return FenceReply(replica.fence, content)

    def orphaned_streams(self, live_owners: set[str]) -> list[StreamWrite]:
        """Return writes of the streams whose writers are lost and which were not copied yet."""
        return [
            StreamWrite(
                request_id,
                replica.digest,
                replica.writer,
                replica.number,
                1,
                list(replica.chunks),
                replica.end_count,
            )
            for request_id, replica in self._replicas.items()
            if replica.chunks and not replica.is_copied and replica.writer.owner not in live_owners
        ]

    def mark_copied(self, request_id: str) -> None:
        """Record that another node stores the stream as well."""
        replica = self._replicas.get(request_id)
        if replica is not None:
            replica.is_copied = True

    def sweep(self, now: float) -> None:
        """Drop expired streams."""
        while self._replicas:
            request_id, replica = next(iter(self._replicas.items()))
            if replica.expires_at > now:
                return
            self._drop(request_id)

    def _is_late(self, replica: StreamReplica, write: StreamWrite) -> bool:
        return write.fence == replica.writer and write.number <= replica.number

    def _continues(self, replica: StreamReplica | None, write: StreamWrite) -> bool:
        if write.first_index == 1:
            return True
        if replica is None or replica.writer != write.fence:
            return False
        return write.first_index == len(replica.chunks) + 1

    def _has_room(self, replica: StreamReplica | None, write: StreamWrite) -> bool:
        added = size_of(write.chunks)
        if replica is not None and write.first_index == 1:
            added -= size_of(replica.chunks)
        if self.total_bytes + added <= self._timings.max_bytes:
            return True
        self._drop_ended(except_for=write.request_id)
        return self.total_bytes + added <= self._timings.max_bytes

    def _apply(self, write: StreamWrite, now: float) -> None:
        replica = self._touch(write.request_id, write.fence, now)
        replica.fence = write.fence
        if write.first_index == 1:
            self._adjust_size(replica, -size_of(replica.chunks))
            replica.chunks = []
        replica.digest = write.digest
        replica.writer = write.fence
        replica.number = write.number
        replica.chunks.extend(write.chunks)
        replica.end_count = write.end_count
        self._adjust_size(replica, size_of(write.chunks))
        if write.end_count:
            replica.expires_at = now + self._timings.ended_ttl_s

    def _touch(self, request_id: str, fence: StreamFence, now: float) -> StreamReplica:
        replica = self._replicas.get(request_id)
        if replica is None:
            replica = StreamReplica(fence)
            self._replicas[request_id] = replica
            self._adjust_size(replica, STREAM_OVERHEAD_BYTES)
        replica.expires_at = now + self._timings.idle_ttl_s
        self._replicas.move_to_end(request_id)
        return replica

    def _drop_ended(self, except_for: str) -> None:
        """Drop all complete streams to make room; running ones are never dropped."""
        ended = [
            request_id
            for request_id, replica in self._replicas.items()
            if replica.end_count and request_id != except_for
        ]
        for request_id in ended:
            self._drop(request_id)

    def _adjust_size(self, replica: StreamReplica, added_bytes: int) -> None:
        replica.size_bytes += added_bytes
        self.total_bytes += added_bytes

    def _drop(self, request_id: str) -> None:
        self.total_bytes -= self._replicas.pop(request_id).size_bytes
