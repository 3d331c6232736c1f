"""Replica store of the stream journal: fences, gaps, late writes, limits and expiry."""

from __future__ import annotations

import attrs
import testtools

from zincvale.dataplane.stream_journal.messages import (
    FenceCall,
    StreamFence,
    StreamWrite,
    WriteStatus,
)
from zincvale.dataplane.stream_journal.replica_store import (
    CHUNK_OVERHEAD_BYTES,
    STREAM_OVERHEAD_BYTES,
    ReplicaStore,
)
from zincvale.dataplane.stream_journal.timings import JournalTimings

FIRST = StreamFence(1, "node-1/a")
SECOND = StreamFence(2, "node-2/b")


def write(
    number: int, first_index: int, chunks: str, fence: StreamFence = FIRST, end: int = 0
) -> StreamWrite:
    return StreamWrite("s", "d", fence, number, first_index, list(chunks), end)


class ReplicaStoreTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = ReplicaStore(JournalTimings())

    def _write(self, *arguments: object, **options: object) -> str:
        return self.store.write(write(*arguments, **options), 0.0).status  # type: ignore[arg-type]

    def _chunks(self) -> str:
        content = self.store.fence(FenceCall("s", StreamFence(0, "")), 0.0).content
        return "".join(content.chunks) if content else ""

    def test_chunks_are_stored_without_gaps(self) -> None:
        self.assertEqual(WriteStatus.STORED, self._write(1, 1, "ab"))
        self.assertEqual(WriteStatus.STORED, self._write(2, 3, "c"))
        self.assertEqual(WriteStatus.GAP, self._write(3, 5, "e"))
        self.assertEqual("abc", self._chunks())

    def test_an_unknown_stream_must_start_with_its_first_chunk(self) -> None:
        self.assertEqual(WriteStatus.GAP, self._write(7, 4, "d"))
        self.assertEqual(WriteStatus.STORED, self._write(8, 1, "abcd"))

    def test_a_late_write_changes_nothing(self) -> None:
        self._write(1, 1, "a")
        self._write(2, 2, "b")
        self.assertEqual(WriteStatus.STORED, self._write(1, 1, "a"))
        self.assertEqual("ab", self._chunks())

    def test_a_fence_stops_the_earlier_writer(self) -> None:
        self._write(1, 1, "ab")
        reply = self.store.fence(FenceCall("s", SECOND), 0.0)
        self.assertEqual(["a", "b"], reply.content.chunks if reply.content else None)
        self.assertEqual(WriteStatus.FENCED, self._write(2, 3, "c"))
        self.assertEqual(WriteStatus.STORED, self._write(1, 1, "abX", fence=SECOND))
        self.assertEqual("abX", self._chunks())

    def test_a_fence_of_an_unknown_stream_stops_earlier_writers(self) -> None:
        self.store.fence(FenceCall("s", SECOND), 0.0)
        self.assertEqual(WriteStatus.FENCED, self._write(1, 1, "a"))

    def test_an_older_fence_does_not_replace_a_newer_one(self) -> None:
        self._write(1, 1, "a", fence=SECOND)
        self.assertEqual(SECOND, self.store.fence(FenceCall("s", FIRST), 0.0).fence)

    def test_only_complete_streams_are_dropped_to_make_room(self) -> None:
        size = STREAM_OVERHEAD_BYTES + CHUNK_OVERHEAD_BYTES + 1
        store = ReplicaStore(JournalTimings(max_bytes=2 * size))
        ended = attrs.evolve(write(1, 1, "a", end=1), request_id="ended")
        running = attrs.evolve(write(1, 1, "a"), request_id="running")
        third = attrs.evolve(write(1, 1, "a"), request_id="third")
        fourth = attrs.evolve(write(1, 1, "a"), request_id="fourth")
        statuses = [store.write(one, 0.0).status for one in (ended, running, third, fourth)]
        self.assertEqual(["kept", "kept", "kept", "full"], statuses)
        self.assertEqual(0, store.read("ended").length)
        self.assertEqual(2 * size, store.total_bytes)

    def test_idle_streams_expire(self) -> None:
        timings = JournalTimings()
        self._write(1, 1, "a")
        self.store.sweep(timings.idle_ttl_s - 0.1)
        self.assertEqual(1, self.store.read("s").length)
        self.store.sweep(timings.idle_ttl_s + 0.1)
        self.assertEqual((0, 0), (len(self.store), self.store.total_bytes))
