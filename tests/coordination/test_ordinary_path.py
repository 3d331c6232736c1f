"""The ordinary path: creation, leases, changes in force, roles, topics, restart."""

from __future__ import annotations

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster
from zincvale.coordination.delivery.messages import PublishTopic


class OrdinaryPathTest(testtools.TestCase):
    def started(self, **options: object) -> Cluster:
        cluster = Cluster(**options)  # type: ignore[arg-type]
        ready = cluster.run_until(
            lambda: all(node.ready(cluster.now) for node in cluster.nodes()), 12.0
        )
        self.assertTrue(ready, list(cluster.logs))
        return cluster

    def test_a_change_is_in_force_everywhere_when_it_is_acknowledged(self) -> None:
        cluster = self.started()
        result = cluster.change("core-1", "order-1", {"Route/quotes": "one"})
        self.assertEqual(("in-force", 1), (result.status, result.version))
        for node in cluster.nodes():
            self.assertEqual(1, node.intent().version)
            self.assertEqual({"Route/quotes": b"one"}, node.intent().rows)

    def test_of_two_changes_on_one_version_one_wins(self) -> None:
        cluster = self.started()
        cluster.change("core-1", "order-1", {"a": "1"})
        first = cluster.propose("core-1", "order-2", {"a": "2"}, base=1)
        second = cluster.propose("core-2", "order-3", {"a": "3"}, base=1)
        cluster.run(5.0)
        statuses = sorted(cluster.replies[token].status for token in (first, second))
        self.assertEqual(["conflict", "in-force"], statuses)

    def test_a_resent_order_gets_its_first_answer(self) -> None:
        cluster = self.started()
        cluster.change("core-1", "order-1", {"a": "1"}, base=0)
        for index in range(300):
            cluster.propose("core-1", f"more-{index}", {"b": str(index)})
        cluster.run(5.0)
        again = cluster.change("core-2", "order-1", {"a": "1"}, base=0)
        self.assertEqual(("in-force", 1, 301), (again.status, again.version, again.current_version))

    def test_an_invalid_change_changes_nothing(self) -> None:
        cluster = self.started()
        result = cluster.change("core-3", "order-1", {"a": "bad"})
        self.assertEqual(("invalid", "row is bad"), (result.status, result.problem))
        self.assertEqual(0, cluster.core("core-3").value("intent").version)

    def test_one_core_holds_a_role(self) -> None:
        cluster = self.started()
        cluster.run(3.0)
        holders = [
            core for core in CORES if cluster.core(core).role("placer", cluster.now).is_leader
        ]
        self.assertEqual(1, len(holders))
        before = cluster.core(holders[0]).role("placer", cluster.now).epoch
        cluster.kill(holders[0])
        cluster.run(10.0)
        rest = [core for core in CORES if core != holders[0]]
        states = [cluster.core(core).role("placer", cluster.now) for core in rest]
        self.assertEqual(1, sum(state.is_leader for state in states))
        self.assertGreater(max(state.epoch for state in states), before)

    def test_topics_reach_the_nodes_and_old_epochs_are_refused(self) -> None:
        cluster = self.started()
        cluster.call("core-1", PublishTopic("directory", 3, {"s1": b"up"}, []))
        cluster.call("core-1", PublishTopic("directory", 3, {"s2": b"up"}, ["s1"]))
        cluster.run(1.0)
        for node in cluster.nodes():
            self.assertEqual({"s2": b"up"}, node.topic("directory").rows)
        token = cluster.call("core-2", PublishTopic("directory", 2, {"s3": b"up"}, []))
        self.assertFalse(cluster.replies[token].accepted)

    def test_everything_restarts_with_the_newest_version(self) -> None:
        cluster = self.started()
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
