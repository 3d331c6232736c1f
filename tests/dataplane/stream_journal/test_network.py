"""Streams over failing nodes: each caller gets every chunk once, and no stream is spliced."""

from __future__ import annotations

import testtools

from tests.dataplane.stream_journal.journal_cluster import Caller, SimulatedStreams, StreamProfile
from zincvale.dataplane.inference.dependencies import JournalAppend

SEEDS = range(1, 6)


class StreamNetworkTest(testtools.TestCase):
    def test_no_stream_is_lost_or_spliced(self) -> None:
        resumes = 0
        for seed in SEEDS:
            cluster = SimulatedStreams(seed)
            cluster.run_workload()
            self.assertEqual([], cluster.problems, f"seed {seed}")
            self.assertEqual([], cluster.unfinished(), f"seed {seed}")
            resumes += sum(caller.resumes for caller in cluster.callers.values())
        self.assertTrue(resumes > 20, resumes)

    def test_lost_messages_lose_no_stream(self) -> None:
        cluster = SimulatedStreams(1, StreamProfile(loss=0.05, faults=("leave",), streams=8))
        cluster.run_workload()
        self.assertEqual([], cluster.problems)
        self.assertEqual([], cluster.unfinished())

    def test_chunks_of_many_streams_share_calls(self) -> None:
        cluster = SimulatedStreams(
            1, StreamProfile(faults=(), fault_interval_s=1e9, streams=100), nodes=3
        )
        cluster.run_workload()
        chunks = cluster.append_results[JournalAppend.REPLICATED]
        self.assertEqual(100 * 120, chunks)
        self.assertTrue(cluster.call_counts["AppendCall"] < chunks * 0.6, cluster.call_counts)

    def test_a_copied_stream_survives_the_loss_of_both_its_nodes(self) -> None:
        cluster = SimulatedStreams(1, StreamProfile(faults=(), streams=0))
        caller = Caller("stream-0", 100)
        cluster.callers[caller.request_id] = caller
        cluster.run_for(1.0)
        cluster.connect(caller)
        cluster.run_for(1.0)
        ingress, replica = (cluster.nodes[name] for name in cluster.nodes_storing("stream-0"))
        received = len(caller.chunks)
        cluster.crash(ingress)
        cluster.run_for(4.0)
        cluster.crash(replica)
        cluster.connect(caller)
        cluster.run_for(6.0)
        self.assertTrue(0 < received < 100, received)
        self.assertEqual(([], []), (cluster.problems, cluster.unfinished()))
