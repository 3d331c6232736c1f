"""Operation without failures: creation of a cluster, changes, roles, topics and restarts."""

from __future__ import annotations

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster
from zincvale.coordination.delivery.messages import PublishTopic


class OperationWithoutFailuresTest(testtools.TestCase):
    def ready_cluster(self, **options: object) -> Cluster:
        cluster = Cluster(**options)  # type: ignore[arg-type]
        is_ready = cluster.run_until(
            lambda: all(node.ready(cluster.now) for node in cluster.nodes()), 12.0
        )
        self.assertTrue(is_ready, list(cluster.logs))
        return cluster

    def test_an_acknowledged_change_is_applied_by_every_node(self) -> None:
        cluster = self.ready_cluster()
        result = cluster.change("core-1", "order-1", {"Route/quotes": "one"})
        self.assertEqual(("in-force", 1), (result.status, result.version))
        for node in cluster.nodes():
            self.assertEqual(1, node.intent().version)
            self.assertEqual({"Route/quotes": b"one"}, node.intent().rows)

    def test_one_of_two_concurrent_changes_to_the_same_version_is_rejected(self) -> None:
        cluster = self.ready_cluster()
        cluster.change("core-1", "order-1", {"a": "1"})
        first = cluster.propose("core-1", "order-2", {"a": "2"}, base_version=1)
        second = cluster.propose("core-2", "order-3", {"a": "3"}, base_version=1)
        cluster.run(5.0)
        statuses = sorted(cluster.replies[token].status for token in (first, second))
        self.assertEqual(["conflict", "in-force"], statuses)

    def test_a_resent_change_gets_its_first_result(self) -> None:
        cluster = self.ready_cluster()
        cluster.change("core-1", "order-1", {"a": "1"}, base_version=0)
        for index in range(300):
            cluster.propose("core-1", f"more-{index}", {"b": str(index)})
        cluster.run(5.0)
        resent = cluster.change("core-2", "order-1", {"a": "1"}, base_version=0)
        self.assertEqual(
            ("in-force", 1, 301), (resent.status, resent.version, resent.current_version)
        )

    def test_an_invalid_change_is_rejected_and_not_applied(self) -> None:
        cluster = self.ready_cluster()
        result = cluster.change("core-3", "order-1", {"a": "bad"})
        self.assertEqual(("invalid", "row is bad"), (result.status, result.problem))
        self.assertEqual(0, cluster.core("core-3").value("intent").version)

    def test_one_core_holds_a_role_and_another_takes_over_when_it_fails(self) -> None:
        cluster = self.ready_cluster()
        cluster.run(3.0)
        holders = [
            core for core in CORES if cluster.core(core).role("placer", cluster.now).is_leader
        ]
        self.assertEqual(1, len(holders))
        first_epoch = cluster.core(holders[0]).role("placer", cluster.now).epoch
        cluster.kill(holders[0])
        cluster.run(10.0)
        other_cores = [core for core in CORES if core != holders[0]]
        states = [cluster.core(core).role("placer", cluster.now) for core in other_cores]
        self.assertEqual(1, sum(state.is_leader for state in states))
        self.assertGreater(max(state.epoch for state in states), first_epoch)

    def test_topics_reach_the_nodes_and_publications_of_old_epochs_are_refused(self) -> None:
        cluster = self.ready_cluster()
        cluster.call("core-1", PublishTopic("directory", 3, {"s1": b"up"}, []))
        cluster.call("core-1", PublishTopic("directory", 3, {"s2": b"up"}, ["s1"]))
        cluster.run(1.0)
        for node in cluster.nodes():
            self.assertEqual({"s2": b"up"}, node.topic("directory").rows)
        token = cluster.call("core-2", PublishTopic("directory", 2, {"s3": b"up"}, []))
        self.assertFalse(cluster.replies[token].accepted)

    def test_the_newest_version_survives_a_restart_of_every_process(self) -> None:
        cluster = self.ready_cluster()
        for index in range(200):
            cluster.propose("core-2", f"order-{index}", {f"row-{index % 7}": str(index)})
        cluster.run(4.0)
        result = cluster.change("core-1", "last", {"last": "yes"})
        for member in list(cluster.processes):
            cluster.kill(member)
        for core in CORES:
            cluster.start_core(core, bootstrap=True)
        cluster.start_node("node-1")
        node = cluster.node("node-1")
        self.assertTrue(cluster.run_until(lambda: node.ready(cluster.now), 12.0))
        self.assertEqual(result.version, node.intent().version)
        self.assertEqual(b"yes", node.intent().rows["last"])
