"""A core that replaces a lost one joins, however late the cores can hear each other."""

from __future__ import annotations

from functools import partial

import testtools

from tests.coordination.membership.test_heartbeats import RecordingCluster
from tests.coordination.simulated_cluster import Cluster
from zincvale.coordination.core.messages import Heartbeat
from zincvale.daemons.forwarding_timings import forwarding_timings
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import MessageReceived

LOST, SUCCESSOR = "core-3", "core-4"
CUT_S = 5.0
JOIN_S = 6.0


class ReplacedCoreTest(testtools.TestCase):
    def cluster_without_one(self, seed: int = 1) -> Cluster:
        cluster = Cluster(seed, timings=forwarding_timings()).run_until_ready()
        cluster.kill(LOST)
        cluster.lose_disk(LOST)
        return cluster

    def has_joined(self, cluster: Cluster) -> bool:
        members = cluster.core("core-1")._context.replica_sets.grantors().members()
        return SUCCESSOR in members and LOST not in members

    def test_a_core_that_starts_cut_off_with_itself_among_its_seeds_joins_after_the_cut(
        self,
    ) -> None:
        for seed in range(1, 6):
            with self.subTest(seed=seed):
                cluster = self.cluster_without_one(seed)
                cluster.start_core(SUCCESSOR, seeds=("core-1", "core-2", SUCCESSOR))
                cluster.isolate([SUCCESSOR])
                cluster.run(CUT_S)
                cluster.heal()
                self.assertTrue(cluster.run_until(partial(self.has_joined, cluster), JOIN_S))

    def test_a_core_that_hears_only_another_newcomer_goes_on_looking_for_the_cluster(self) -> None:
        cluster = self.cluster_without_one()
        newcomers = (SUCCESSOR, "core-5")
        for newcomer in newcomers:
            cluster.start_core(newcomer, seeds=("core-1", *newcomers))
        cluster.isolate(list(newcomers))
        cluster.run(CUT_S)
        cluster.heal()
        cluster.run(JOIN_S)
        self.assertEqual(3, len(cluster.core("core-1")._context.replica_sets.grantors().members()))
        self.assertNotIn(LOST, cluster.core("core-1")._context.replica_sets.grantors().members())

    def test_a_core_whose_seeds_are_outdated_is_found_by_the_others(self) -> None:
        cluster = self.cluster_without_one()
        cluster.start_core(SUCCESSOR, seeds=(LOST, SUCCESSOR))
        for core in ("core-1", "core-2"):
            cluster.core(core).use_seeds((str(cluster.address(SUCCESSOR)),))
        self.assertTrue(cluster.run_until(partial(self.has_joined, cluster), JOIN_S))

    def test_a_core_ignores_its_own_heartbeat(self) -> None:
        cluster = Cluster(timings=forwarding_timings()).run_until_ready()
        core = cluster.core("core-1")
        heartbeat = core._context.cores.heartbeat_of(MemberId("core-2"))
        event = MessageReceived(MemberId("core-1"), heartbeat)
        self.assertEqual([], core.handle(event, cluster.now))
        self.assertNotIn("core-1", core.live_cores(cluster.now))

    def test_seeds_are_not_contacted_while_every_replica_is_heard(self) -> None:
        cluster = RecordingCluster(nodes=1).run_until_ready()
        cluster.run(5.0)
        cluster.sent_messages.clear()
        cluster.core("core-1").use_seeds(("10.0.9.9:7000",))
        cluster.run(2.0)
        self.assertEqual([], [sent for sent in cluster.sent_messages if sent.to.startswith("@")])
        self.assertEqual([], cluster.messages_of(Heartbeat))
