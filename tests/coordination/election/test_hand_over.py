"""Leader handover: planned stops, returning candidates, and the time without a leader."""

from __future__ import annotations

import random

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster
from zincvale.coordination.config import Timings
from zincvale.daemons.forwarding_timings import forwarding_timings
from zincvale.model.machine import ShutdownRequested

ROLE = "placer"


def leader_of(cluster: Cluster) -> str:
    for core in CORES:
        if core in cluster.processes and cluster.core(core).role(ROLE, cluster.now).is_leader:
            return core
    return ""


def cluster_with_leader(seed: int = 1, timings: Timings | None = None) -> Cluster:
    cluster = Cluster(seed=seed, timings=timings).run_until_ready()
    assert cluster.run_until(lambda: bool(leader_of(cluster)), 30.0)
    cluster.run(1.0)
    return cluster


class StoppingCoreTest(testtools.TestCase):
    def test_a_stopping_leader_is_replaced_within_seconds(self) -> None:
        cluster = cluster_with_leader(timings=Timings(candidate_stagger_s=0.3))
        leader = leader_of(cluster)
        cluster._handle_input(cluster.processes[leader], ShutdownRequested())
        self.assertFalse(cluster.core(leader).role(ROLE, cluster.now).is_leader)
        self.assertTrue(cluster.run_until(lambda: leader_of(cluster) not in ("", leader), 2.5))

    def test_changes_succeed_while_the_owner_of_the_key_stops(self) -> None:
        cluster = cluster_with_leader()
        owner = cluster.owner_of("intent")
        other_cores = [core for core in CORES if core != owner]
        cluster._handle_input(cluster.processes[owner], ShutdownRequested())
        result = cluster.change(other_cores[0], "o1", {"a": "1"})
        self.assertEqual("in-force", result.status)
        repeated = cluster.change(other_cores[1], "o1", {"a": "1"})
        self.assertEqual(("in-force", result.version), (repeated.status, repeated.version))

    def test_a_learner_replaces_the_replica_of_a_stopping_core(self) -> None:
        cluster = cluster_with_leader(
            timings=Timings(role_lease_s=1.6, role_renew_s=0.4, role_margin_s=0.3)
        )
        cluster.start_core("core-4")
        cluster.run(1.0)
        cluster._handle_input(cluster.processes["core-2"], ShutdownRequested())
        self.assertFalse(cluster.core("core-2").may_stop(cluster.now))

        def moved() -> bool:
            replicas = cluster.core("core-1").state(cluster.now).replicas
            members = {replica.partition("/")[0] for replica in replicas}
            return members == {"core-1", "core-3", "core-4"}

        self.assertTrue(cluster.run_until(moved, 6.0))
        self.assertTrue(
            cluster.run_until(lambda: cluster.core("core-2").may_stop(cluster.now), 2.0)
        )


class CandidateTest(testtools.TestCase):
    def test_a_restarted_core_does_not_end_a_live_lease_that_it_no_longer_knows(self) -> None:
        for seed in range(1, 9):
            cluster = cluster_with_leader(seed)
            leader = leader_of(cluster)
            epoch = cluster.core(leader).role(ROLE, cluster.now).epoch
            for core in CORES:
                if core == leader:
                    continue
                cluster.kill(core)
                cluster.run(0.3)
                cluster.start_core(core, bootstrap=True)
                cluster.run(12.0)
                state = cluster.core(leader).role(ROLE, cluster.now)
                self.assertEqual((True, epoch), (state.is_leader, state.epoch), (seed, core))

    def test_a_core_that_was_cut_off_does_not_end_a_live_lease_when_it_reconnects(self) -> None:
        for seed in range(1, 9):
            cluster = cluster_with_leader(seed)
            leader = leader_of(cluster)
            epoch = cluster.core(leader).role(ROLE, cluster.now).epoch
            other = next(core for core in CORES if core != leader)
            cluster.isolate([other])
            cluster.run(10.0)
            cluster.heal()
            cluster.run(10.0)
            state = cluster.core(leader).role(ROLE, cluster.now)
            self.assertEqual((True, epoch), (state.is_leader, state.epoch), seed)

    def test_restarted_cores_elect_a_leader_before_leases_from_before_the_restart_expire(
        self,
    ) -> None:
        cluster = cluster_with_leader()
        for core in CORES:
            cluster.kill(core)
        cluster.run(0.5)
        for core in CORES:
            cluster.start_core(core, bootstrap=True)
        # The lease lifetime is 6 s; after a few heartbeats, the cores know that no lease is live.
        self.assertTrue(cluster.run_until(lambda: bool(leader_of(cluster)), 4.0))


class RestartTest(testtools.TestCase):
    def test_nodes_are_ready_soon_after_a_restart_of_every_process(self) -> None:
        for seed in range(1, 6):
            cluster = cluster_with_leader(seed)
            self.assertEqual("in-force", cluster.change("core-1", "o1", {"a": "1"}).status)
            nodes = ["node-1", "node-2", "node-3"]
            for member in (*CORES, *nodes):
                cluster.kill(member)
            cluster.run(0.5)
            for core in CORES:
                cluster.start_core(core, bootstrap=True)
            for node in nodes:
                cluster.start_node(node)
            self.assertTrue(cluster.run_until(cluster.all_ready, 1.0), seed)
            self.assertEqual([1, 1, 1], [node.intent().version for node in cluster.nodes()])


class RestartOfAllTest(testtools.TestCase):
    """Every process is killed; measures the time from the cores' start until nodes are ready."""

    READY_WITHIN_S = 0.45

    def seconds_until_ready(self, seed: int) -> float:
        cluster = Cluster(seed=seed, timings=forwarding_timings()).run_until_ready()
        cluster.run(4.0)
        nodes = [member for member in cluster.processes if member not in CORES]
        for member in list(cluster.processes):
            cluster.kill(member)
        for node in nodes:
            cluster.start_node(node)
        cluster.run(0.1)
        started_at = cluster.now
        random_source = random.Random(seed)
        for core in random_source.sample(CORES, len(CORES)):
            cluster.start_core(core)
            cluster.run(random_source.choice((0.0, 0.02, 0.05)))
        assert cluster.run_until(
            lambda: all(cluster.node(node).ready(cluster.now) for node in nodes), 10.0
        )
        return cluster.now - started_at

    def test_cores_learn_of_each_other_without_waiting_for_periodic_heartbeats(self) -> None:
        slowest = max(self.seconds_until_ready(seed) for seed in range(1, 31))
        self.assertLess(slowest, self.READY_WITHIN_S)
