"""Each rule of the stream journal is necessary: without it, some seed loses or splices a stream."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import testtools

from tests.dataplane.claims.test_mutations import Patch, mutated
from tests.dataplane.stream_journal.journal_cluster import SimulatedStreams
from zincvale.dataplane.stream_journal.failover import StreamFailover
from zincvale.dataplane.stream_journal.messages import FenceCall, StreamFence
from zincvale.dataplane.stream_journal.replica_store import ReplicaStore
from zincvale.dataplane.stream_journal.writer import StreamWriter

SEEDS = (1, 5, 13)


def failover_keeps_the_epoch(patch: Patch) -> None:
    """A failover does not raise the epoch, so that earlier writers are not fenced."""

    def request_fences(self: StreamFailover, now: float) -> list:
        effects = original(self, now)
        self._fence = StreamFence(1, self._owner)
        call = FenceCall(self._request_id, self._fence)
        return [attrs.evolve(effect, message=call) for effect in effects]

    original = StreamFailover._request_fences
    patch(StreamFailover, "_request_fences", request_fences)


def new_peer_gets_no_prefix(patch: Patch) -> None:
    """A stream that moves to another peer continues there without its earlier chunks."""

    def move_to(self: StreamWriter, peer: object) -> None:
        self.peer = peer  # type: ignore[assignment]

    patch(StreamWriter, "move_to", move_to)
    patch(ReplicaStore, "_continues", lambda self, replica, write: True)


MUTATIONS: tuple[Callable[[Patch], None], ...] = (
    failover_keeps_the_epoch,
    new_peer_gets_no_prefix,
)


class StreamMutationsTest(testtools.TestCase):
    def test_each_mutation_loses_or_splices_a_stream(self) -> None:
        for mutation in MUTATIONS:
            with mutated(mutation):
                is_detected = any(self._violates_guarantee(seed) for seed in SEEDS)
            self.assertTrue(is_detected, mutation.__name__)

    def _violates_guarantee(self, seed: int) -> bool:
        cluster = SimulatedStreams(seed)
        cluster.run_workload()
        return bool(cluster.problems or cluster.unfinished())
