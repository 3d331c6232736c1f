"""Stream writers of an ingress node, the order of peers, and the choice of a copy in a failover."""

from __future__ import annotations

import testtools

from zincvale.dataplane.inference.dependencies import JournalAppend
from zincvale.dataplane.stream_journal.failover import (
    FailoverCompleted,
    JournalRequest,
    StreamFailover,
)
from zincvale.dataplane.stream_journal.messages import (
    AppendReply,
    FenceCall,
    FenceReply,
    ReadReply,
    StreamContent,
    StreamFence,
    WriteResult,
    WriteStatus,
)
from zincvale.dataplane.stream_journal.peer_choice import journal_peers
from zincvale.dataplane.stream_journal.timings import JournalTimings
from zincvale.dataplane.stream_journal.writer import (
    AppendResult,
    PeerReplaced,
    SendBatch,
    StreamWriter,
    StreamWriters,
)
from zincvale.model.identifiers import MemberId, ZoneName

FENCE = StreamFence(1, "node-1/a")
PEER, OTHER = MemberId("node-2"), MemberId("node-3")


def reply_to(batch: SendBatch, status: WriteStatus = WriteStatus.STORED) -> AppendReply:
    return AppendReply(
        [WriteResult(write.request_id, write.number, status.value) for write in batch.call.writes]
    )


class StreamWritersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timings = JournalTimings()
        self.writers = StreamWriters(self.timings)
        self.writers.set_peers([PEER, OTHER], 0.0)

    def _writer(self, request_id: str = "s") -> StreamWriter:
        writer = StreamWriter(request_id, "d", FENCE)
        self.writers.add(writer, 0.0)
        return writer

    def test_appends_complete_once_a_peer_stores_them(self) -> None:
        writer = self._writer()
        [batch] = self.writers.append("t1", writer, 1, ["a"], 0.0)
        self.assertEqual([], self.writers.append("t2", writer, 2, ["b"], 0.001))
        effects = self.writers.on_batch_reply(PEER, reply_to(batch), 0.002)
        self.assertEqual([AppendResult("t1", JournalAppend.REPLICATED)], effects)
        [batch] = self.writers.flush_due(0.003)
        self.assertEqual(
            (2, ["b"]), (batch.call.writes[0].first_index, batch.call.writes[0].chunks)
        )
        effects = self.writers.on_batch_reply(PEER, reply_to(batch), 0.005)
        self.assertEqual([AppendResult("t2", JournalAppend.REPLICATED)], effects)

    def test_one_call_carries_the_new_chunks_of_all_streams(self) -> None:
        [batch] = self.writers.append("t", self._writer(), 1, ["a"], 0.0)
        for number in range(200):
            writer = self._writer(f"s{number}")
            self.assertEqual([], self.writers.append(f"t{number}", writer, 1, ["a"], 0.001))
        self.writers.on_batch_reply(PEER, reply_to(batch), 0.002)
        [batch] = self.writers.flush_due(0.004)
        self.assertEqual(200, len(batch.call.writes))

    def test_the_replacement_of_a_failed_peer_gets_all_chunks(self) -> None:
        writer = self._writer()
        [batch] = self.writers.append("t1", writer, 1, ["a"], 0.0)
        self.writers.on_batch_reply(PEER, reply_to(batch), 0.001)
        self.writers.append("t2", writer, 2, ["b"], 0.01)
        moved, batch = self.writers.on_batch_failure(PEER, 0.26)
        self.assertEqual(PeerReplaced(PEER, 1), moved)
        self.assertEqual(OTHER, batch.peer)
        self.assertEqual(["a", "b"], batch.call.writes[0].chunks)
        effects = self.writers.on_batch_reply(OTHER, reply_to(batch), 0.27)
        self.assertEqual([AppendResult("t2", JournalAppend.REPLICATED)], effects)

    def test_a_full_peer_is_replaced(self) -> None:
        [batch] = self.writers.append("t1", self._writer(), 1, ["a"], 0.0)
        effects = self.writers.on_batch_reply(PEER, reply_to(batch, WriteStatus.FULL), 0.001)
        self.assertEqual(
            [OTHER], [effect.peer for effect in effects if isinstance(effect, SendBatch)]
        )

    def test_an_append_without_any_peer_is_unreplicated_at_once(self) -> None:
        self.writers.set_peers([], 0.0)
        effects = self.writers.append("t1", self._writer(), 1, ["a"], 0.0)
        self.assertEqual([AppendResult("t1", JournalAppend.UNREPLICATED)], effects)

    def test_a_writer_fenced_by_its_peer_fails_every_append(self) -> None:
        writer = self._writer()
        [batch] = self.writers.append("t1", writer, 1, ["a"], 0.0)
        effects = self.writers.on_batch_reply(PEER, reply_to(batch, WriteStatus.FENCED), 0.001)
        self.assertEqual([AppendResult("t1", JournalAppend.FENCED)], effects)
        effects = self.writers.append("t2", writer, 2, ["b"], 0.002)
        self.assertEqual([AppendResult("t2", JournalAppend.FENCED)], effects)

    def test_a_fence_at_the_ingress_node_stops_its_writer(self) -> None:
        writer = self._writer()
        self.writers.append("t1", writer, 1, ["a"], 0.0)
        reply, effects = self.writers.fence(FenceCall("s", StreamFence(2, "node-9/z")))
        self.assertEqual([AppendResult("t1", JournalAppend.FENCED)], effects)
        self.assertEqual(["a"], reply.content.chunks if reply and reply.content else None)

    def test_a_freeze_extends_the_timeouts_of_appends(self) -> None:
        self.writers.tick(0.0)
        self.writers.append("t1", self._writer(), 1, ["a"], 0.01)
        self.assertEqual([], self.writers.tick(4.0))
        later = [self.writers.tick(4.0 + tenth / 10) for tenth in range(1, 10)]
        completed = [effects for effects in later if effects]
        self.assertEqual([[AppendResult("t1", JournalAppend.UNREPLICATED)]], completed)

    def test_streams_of_a_lost_peer_move_without_a_new_chunk(self) -> None:
        [batch] = self.writers.append("t1", self._writer(), 1, ["a"], 0.0)
        self.writers.on_batch_reply(PEER, reply_to(batch), 0.001)
        [batch] = self.writers.set_peers([OTHER], 1.0)
        self.assertEqual((OTHER, ["a"]), (batch.peer, batch.call.writes[0].chunks))

    def test_peers_of_other_zones_come_first(self) -> None:
        zones = {MemberId(f"node-{number}"): ZoneName(f"zone-{number % 3}") for number in range(9)}
        peers = journal_peers(MemberId("node-0"), ZoneName("zone-0"), zones)
        self.assertEqual(8, len(peers))
        self.assertEqual({"node-3", "node-6"}, set(peers[-2:]))


class StreamFailoverTest(testtools.TestCase):
    def _failover(
        self, contents: list[StreamContent | None], after: int
    ) -> FailoverCompleted | None:
        members = [MemberId(f"node-{number}") for number in range(len(contents))]
        failover = StreamFailover("s", "node-9/z", after, members, JournalTimings())
        failover.begin(0.0)
        effects: list[object] = []
        for member, content in zip(members, contents, strict=True):
            fence = content.writer if content else None
            length = len(content.chunks) if content else 0
            effects = failover.on_reply(member, 1, ReadReply(fence, length), 0.01)
        requests = [effect for effect in effects if isinstance(effect, JournalRequest)]
        self.assertEqual(members, [request.member for request in requests])
        for request, content in zip(requests, contents, strict=True):
            assert isinstance(request.message, FenceCall)
            reply = FenceReply(request.message.fence, content)
            effects = failover.on_reply(request.member, 2, reply, 0.02)
        return effects[0] if effects else None  # type: ignore[return-value]

    def test_the_newest_writer_wins_over_a_longer_copy(self) -> None:
        old = StreamContent("d", StreamFence(1, "node-1/a"), ["a", "b", "c"], 0)
        new = StreamContent("d", StreamFence(2, "node-2/b"), ["a", "X"], 0)
        completed = self._failover([old, None, new], after=2)
        self.assertEqual(FailoverCompleted(StreamFence(3, "node-9/z"), new), completed)

    def test_the_longest_copy_of_one_writer_wins(self) -> None:
        short = StreamContent("d", FENCE, ["a"], 0)
        complete = StreamContent("d", FENCE, ["a", "b"], 2)
        completed = self._failover([short, complete], after=1)
        self.assertEqual(complete, completed.content if completed else None)

    def test_a_copy_with_fewer_chunks_than_the_caller_is_not_used(self) -> None:
        short = StreamContent("d", FENCE, ["a"], 0)
        completed = self._failover([short, None], after=2)
        self.assertEqual(FailoverCompleted(StreamFence(2, "node-9/z"), None), completed)
