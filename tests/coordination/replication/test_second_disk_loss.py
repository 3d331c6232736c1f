"""Loss of a second disk as soon as an empty core counts as caught up."""

from __future__ import annotations

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster
from zincvale.daemons.forwarding_timings import forwarding_timings

CATCH_UP_S = 4.0
"""Time from a core's start after which its disk counts, in the operators' settings."""
PROCESS_START_S = 3.2
"""Part of that time in which a process on a busy machine starts, before its machine runs."""
JOIN_S = CATCH_UP_S - PROCESS_START_S
DETECTION_S = 2.0
RECOVERY_S = 12.0
SEEDS = range(1, 11)


class SecondDiskLossTest(testtools.TestCase):
    def cluster_without(self, seed: int, lost: str) -> Cluster:
        cluster = Cluster(seed, timings=forwarding_timings()).run_until_ready()
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.kill(lost)
        cluster.lose_disk(lost)
        cluster.run(DETECTION_S)
        return cluster

    def lose_disk_and_all_power(self, cluster: Cluster, lost: str) -> list[str]:
        """Acknowledge a change, then lose one disk and the power of every process."""
        cores = [member for member in cluster.processes if member.startswith("core")]
        cluster.change(next(core for core in cores if core != lost), "o2", {"b": "2"})
        for member in list(cluster.processes):
            cluster.kill(member)
        cluster.lose_disk(lost)
        for core in cores:
            cluster.start_core(core, seeds=cores)
        for index in range(3):
            cluster.start_node(f"node-{index + 1}", seeds=cores)
        return cores

    def assert_change_is_served(self, cluster: Cluster, cores: list[str]) -> None:
        def is_served() -> bool:
            rows = [cluster.core(core).value("intent").rows for core in cores]
            return {"a": b"1", "b": b"2"} in rows and cluster.all_ready()

        self.assertTrue(cluster.run_until(is_served, RECOVERY_S))

    def test_a_disk_lost_once_a_replaced_core_counts_loses_nothing_acknowledged(self) -> None:
        for seed in SEEDS:
            for lost in CORES[:2]:
                with self.subTest(seed=seed, lost=lost):
                    cluster = self.cluster_without(seed, "core-3")
                    cluster.start_core("core-4")
                    cluster.run(JOIN_S)
                    cores = self.lose_disk_and_all_power(cluster, lost)
                    self.assert_change_is_served(cluster, cores)

    def test_a_disk_lost_once_an_emptied_core_counts_loses_nothing_acknowledged(self) -> None:
        for seed in SEEDS:
            for lost in CORES[:2]:
                with self.subTest(seed=seed, lost=lost):
                    cluster = self.cluster_without(seed, "core-3")
                    cluster.start_core("core-3")
                    cluster.run(JOIN_S)
                    cores = self.lose_disk_and_all_power(cluster, lost)
                    self.assert_change_is_served(cluster, cores)
