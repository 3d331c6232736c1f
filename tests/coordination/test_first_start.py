"""The loss of one core machine during the first start does not prevent the cluster."""

from __future__ import annotations

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster
from zincvale.daemons.forwarding_timings import forwarding_timings

SUCCESSOR = "core-4"
CREATION_S = 12.0
JOIN_S = 16.0
LOST_AFTER_S = (0.0, 0.2, 0.5, 1.0, 1.5)


class FirstStartTest(testtools.TestCase):
    def cluster_that_loses(self, lost: str, after_s: float, seed: int) -> Cluster:
        """Start a cluster, and replace one of its core machines right after the start."""
        cluster = Cluster(seed, timings=forwarding_timings())
        cluster.run(after_s)
        cluster.kill(lost)
        cluster.lose_disk(lost)
        cluster.run(1.0)
        cluster.start_core(SUCCESSOR, seeds=(*(core for core in CORES if core != lost), SUCCESSOR))
        return cluster

    def replicas(self, cluster: Cluster, core: str) -> set[str]:
        return set(cluster.core(core)._context.replica_sets.grantors().members())

    def test_the_loss_of_any_core_during_the_first_start_leaves_a_cluster(self) -> None:
        for seed in range(1, 4):
            for lost in CORES:
                for after_s in LOST_AFTER_S:
                    with self.subTest(seed=seed, lost=lost, after_s=after_s):
                        cluster = self.cluster_that_loses(lost, after_s, seed)
                        self.assertTrue(cluster.run_until(cluster.all_ready, CREATION_S))
                        other = next(core for core in CORES if core != lost)
                        self.assertEqual("in-force", cluster.change(other, "o", {"a": "1"}).status)

    def test_the_successor_takes_the_place_of_the_lost_core(self) -> None:
        for lost in CORES:
            cluster = self.cluster_that_loses(lost, 0.2, 1)
            other = next(core for core in CORES if core != lost)
            expected = {*(core for core in CORES if core != lost), SUCCESSOR}

            def is_replaced(cluster=cluster, other=other, expected=expected) -> bool:
                return self.replicas(cluster, other) == expected

            self.assertTrue(cluster.run_until(is_replaced, CREATION_S + JOIN_S), lost)
            cluster.change(other, "o", {"a": "1"})
            cluster.run(JOIN_S)
            cluster.kill(other)
            cluster.lose_disk(other)
            third = next(core for core in CORES if core not in (lost, other))
            self.assertTrue(cluster.run_until(cluster.all_ready, CREATION_S))
            self.assertEqual({"a": b"1"}, dict(cluster.core(third).value("intent").rows))

    def test_a_core_that_is_only_late_joins_with_its_own_disk(self) -> None:
        for late in CORES:
            cluster = Cluster(1, timings=forwarding_timings())
            cluster.kill(late)
            cluster.lose_disk(late)
            self.assertTrue(cluster.run_until(cluster.all_ready, CREATION_S))
            cluster.start_core(late, bootstrap=True)
            disk = cluster.disks[late].identity
            other = next(core for core in CORES if core != late)

            def has_joined(cluster=cluster, other=other, replica=f"{late}/{disk}") -> bool:
                grantors = cluster.core(other)._context.replica_sets.grantors()
                return replica in grantors.replicas and not grantors.previous

            self.assertTrue(cluster.run_until(has_joined, JOIN_S), late)

    def test_cores_that_restart_with_an_empty_disk_do_not_prevent_the_cluster(self) -> None:
        """ACKS: a core that ended before it had a disk starts again without being told to create
        the cluster. It counted as present, and as the one to wait for."""
        for seed in range(1, 4):
            for restarted in CORES:
                for after_s in LOST_AFTER_S:
                    with self.subTest(seed=seed, restarted=restarted, after_s=after_s):
                        cluster = Cluster(seed, timings=forwarding_timings())
                        cluster.run(after_s)
                        cluster.kill(restarted)
                        cluster.lose_disk(restarted)
                        cluster.run(0.5)
                        cluster.start_core(restarted)
                        self.assertTrue(cluster.run_until(cluster.all_ready, CREATION_S))
                        result = cluster.change(restarted, "o", {"a": "1"})
                        self.assertEqual("in-force", result.status)

    def test_a_creator_that_is_lost_after_one_core_took_its_record_leaves_a_cluster(self) -> None:
        for seed in range(1, 4):
            for receiver, other in (CORES[1:], CORES[:0:-1]):
                cluster = Cluster(seed, timings=forwarding_timings())

                def has_taken(cluster=cluster, receiver=receiver) -> bool:
                    return bool(self.replicas(cluster, receiver))

                # The creator hears the other core until it has written the record.
                cluster.run_until(lambda cluster=cluster: self.replicas(cluster, CORES[0]), 9.0)
                cluster.cut(CORES[0], other)
                self.assertTrue(cluster.run_until(has_taken, 3.0))
                cluster.kill(CORES[0])
                cluster.lose_disk(CORES[0])
                cluster.heal()
                cluster.run(0.5)
                cluster.start_core(CORES[0])
                self.assertTrue(cluster.run_until(cluster.all_ready, CREATION_S), receiver)

    def test_no_cluster_is_created_by_a_minority(self) -> None:
        cluster = Cluster(1, timings=forwarding_timings())
        for lost in CORES[1:]:
            cluster.kill(lost)
        cluster.run(30.0)
        self.assertEqual("", cluster.core(CORES[0])._context.replica_sets.cluster_incarnation)

    def test_a_frozen_first_core_does_not_create_a_second_cluster_when_it_wakes(self) -> None:
        for seed in range(1, 6):
            cluster = Cluster(seed, timings=forwarding_timings())
            cluster.run(0.3)
            cluster.freeze(CORES[0])
            self.assertTrue(cluster.run_until(cluster.all_ready, CREATION_S))
            cluster.thaw(CORES[0])
            cluster.run(JOIN_S)
            incarnations = {
                cluster.core(core)._context.replica_sets.cluster_incarnation for core in CORES
            }
            self.assertEqual(1, len(incarnations))
            self.assertEqual("in-force", cluster.change(CORES[0], "o", {"a": "1"}).status)
