"""The journal's holder: fences, gaps, late writes and bounds."""

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
    ENTRY_OVERHEAD_BYTES,
    PIECE_OVERHEAD_BYTES,
    JournalStore,
)
from zincvale.dataplane.stream_journal.timings import JournalTimings

FIRST = StreamFence(1, "node-1/a")
SECOND = StreamFence(2, "node-2/b")


def write(
    number: int, first_index: int, pieces: str, fence: StreamFence = FIRST, end: int = 0
) -> StreamWrite:
    return StreamWrite("s", "d", fence, number, first_index, list(pieces), end)


class JournalStoreTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store = JournalStore(JournalTimings())

    def _write(self, *arguments: object, **options: object) -> str:
        return self.store.write(write(*arguments, **options), 0.0).status  # type: ignore[arg-type]

    def _pieces(self) -> str:
        content = self.store.fence(FenceCall("s", StreamFence(0, "")), 0.0).content
        return "".join(content.pieces) if content else ""

    def test_pieces_follow_each_other(self) -> None:
        self.assertEqual(WriteStatus.KEPT, self._write(1, 1, "ab"))
        self.assertEqual(WriteStatus.KEPT, self._write(2, 3, "c"))
        self.assertEqual(WriteStatus.GAP, self._write(3, 5, "e"))
        self.assertEqual("abc", self._pieces())

    def test_a_gap_at_an_empty_journal_asks_for_the_whole(self) -> None:
        self.assertEqual(WriteStatus.GAP, self._write(7, 4, "d"))
        self.assertEqual(WriteStatus.KEPT, self._write(8, 1, "abcd"))

    def test_a_late_write_changes_nothing(self) -> None:
        self._write(1, 1, "a")
        self._write(2, 2, "b")
        self.assertEqual(WriteStatus.KEPT, self._write(1, 1, "a"))
        self.assertEqual("ab", self._pieces())

    def test_a_fence_stops_the_earlier_writer(self) -> None:
        self._write(1, 1, "ab")
        reply = self.store.fence(FenceCall("s", SECOND), 0.0)
        self.assertEqual(["a", "b"], reply.content.pieces if reply.content else None)
        self.assertEqual(WriteStatus.FENCED, self._write(2, 3, "c"))
        self.assertEqual(WriteStatus.KEPT, self._write(1, 1, "abX", fence=SECOND))
        self.assertEqual("abX", self._pieces())

    def test_a_fence_holds_where_nothing_was_written(self) -> None:
        self.store.fence(FenceCall("s", SECOND), 0.0)
        self.assertEqual(WriteStatus.FENCED, self._write(1, 1, "a"))

    def test_an_older_fence_does_not_win(self) -> None:
        self._write(1, 1, "a", fence=SECOND)
        self.assertEqual(SECOND, self.store.fence(FenceCall("s", FIRST), 0.0).fence)

    def test_only_whole_streams_make_room(self) -> None:
        size = ENTRY_OVERHEAD_BYTES + PIECE_OVERHEAD_BYTES + 1
        store = JournalStore(JournalTimings(max_bytes=2 * size))
        ended = attrs.evolve(write(1, 1, "a", end=1), request_id="ended")
        running = attrs.evolve(write(1, 1, "a"), request_id="running")
        third = attrs.evolve(write(1, 1, "a"), request_id="third")
        fourth = attrs.evolve(write(1, 1, "a"), request_id="fourth")
        statuses = [store.write(one, 0.0).status for one in (ended, running, third, fourth)]
        self.assertEqual(["kept", "kept", "kept", "full"], statuses)
        self.assertEqual(0, store.read("ended").length)
        self.assertEqual(2 * size, store.bytes)

    def test_streams_expire(self) -> None:
        timings = JournalTimings()
        self._write(1, 1, "a")
        self.store.sweep(timings.idle_ttl_s - 0.1)
        self.assertEqual(1, self.store.read("s").length)
        self.store.sweep(timings.idle_ttl_s + 0.1)
        self.assertEqual((0, 0), (len(self.store), self.store.bytes))
