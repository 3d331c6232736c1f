"""Failures of cores, nodes, disks and links; the simulated cluster checks the invariants."""

from __future__ import annotations

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster

NO_SPACE = "No space left on device"


class FailuresTest(testtools.TestCase):
    def cores_except(self, member: str) -> list[str]:
        return [core for core in CORES if core != member]

    def test_changes_continue_after_the_owner_fails(self) -> None:
        cluster = Cluster().run_until_ready()
        cluster.change("core-1", "o1", {"a": "1"})
        owner = cluster.owner_of("intent")
        cluster.kill(owner)
        other_cores = self.cores_except(owner)
        result = cluster.change(other_cores[0], "o2", {"a": "2"}, base_version=1)
        self.assertEqual(("in-force", 2), (result.status, result.version))
        resent = cluster.change(other_cores[1], "o1", {"a": "1"})
        self.assertEqual(("in-force", 1), (resent.status, resent.version))

    def test_a_new_owner_returns_the_result_of_a_change_whose_reply_was_lost(self) -> None:
        cluster = Cluster().run_until_ready()
        owner = cluster.owner_of("intent")
        cluster.propose(owner, "o1", {"a": "1"}, base_version=0)
        cluster.run(0.03)
        cluster.kill(owner)
        result = cluster.change(self.cores_except(owner)[0], "o1", {"a": "1"}, base_version=0)
        self.assertEqual(("in-force", 1), (result.status, result.version))

    def test_a_frozen_owner_does_not_revert_later_changes(self) -> None:
        cluster = Cluster().run_until_ready()
        owner = cluster.owner_of("intent")
        cluster.change(owner, "o1", {"a": "1"})
        cluster.freeze(owner)
        other_cores = self.cores_except(owner)
        cluster.change(other_cores[0], "o2", {"a": "2"})
        cluster.run(20.0)
        cluster.thaw(owner)
        late_result = cluster.change(owner, "o3", {"a": "3"}, base_version=1)
        self.assertEqual("conflict", late_result.status)
        cluster.run(2.0)
        self.assertEqual({"a": b"2"}, cluster.core(owner).value("intent").rows)

    def test_a_frozen_role_holder_resumes_without_its_role(self) -> None:
        cluster = Cluster().run_until_ready()
        cluster.run(5.0)
        holder = next(
            core for core in CORES if cluster.core(core).role("placer", cluster.now).is_leader
        )
        epoch = cluster.core(holder).role("placer", cluster.now).epoch
        cluster.freeze(holder)
        cluster.run(20.0)
        cluster.thaw(holder)
        self.assertFalse(cluster.core(holder).role("placer", cluster.now).is_leader)
        states = [
            cluster.core(core).role("placer", cluster.now) for core in self.cores_except(holder)
        ]
        self.assertGreater(max(state.epoch for state in states), epoch)

    def test_an_isolated_owner_confirms_no_change(self) -> None:
        cluster = Cluster().run_until_ready()
        owner = cluster.owner_of("intent")
        cluster.isolate([owner])
        isolated_result = cluster.change(owner, "o1", {"a": "1"})
        self.assertEqual("not-confirmed", isolated_result.status)
        result = cluster.change(self.cores_except(owner)[0], "o2", {"a": "2"})
        self.assertEqual("in-force", result.status)
        cluster.heal()
        cluster.run(3.0)
        self.assertEqual({"a": b"2"}, cluster.core(owner).value("intent").rows)

    def test_a_node_that_polls_an_isolated_core_still_gets_changes(self) -> None:
        cluster = Cluster(nodes=6).run_until_ready()
        for core in self.cores_except("core-1"):
            cluster.cut("core-1", core)
        cluster.run(3.0)
        result = cluster.change("core-2", "o1", {"a": "1"})
        self.assertEqual("in-force", result.status)
        self.assertTrue(cluster.all_ready())

    def test_a_failed_node_does_not_block_changes(self) -> None:
        cluster = Cluster(nodes=5).run_until_ready()
        cluster.run(2.0)
        cluster.kill("node-1")
        self.assertEqual("in-force", cluster.change("core-1", "o1", {"a": "1"}).status)

    def test_a_node_that_was_frozen_is_not_ready_until_it_has_caught_up(self) -> None:
        cluster = Cluster(nodes=5).run_until_ready()
        cluster.run(2.0)
        cluster.freeze("node-1")
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.run(5.0)
        cluster.thaw("node-1")
        self.assertFalse(cluster.node("node-1").ready(cluster.now))
        cluster.run(1.0)
        self.assertTrue(cluster.node("node-1").ready(cluster.now))
        self.assertEqual(1, cluster.node("node-1").intent().version)

    def test_a_core_does_not_vote_while_its_disk_is_full(self) -> None:
        cluster = Cluster().run_until_ready()
        cluster.disks["core-1"].error = NO_SPACE
        self.assertEqual("in-force", cluster.change("core-1", "o1", {"a": "1"}).status)
        self.assertEqual("in-force", cluster.change("core-2", "o2", {"a": "2"}).status)
        cluster.run(1.0)
        state = cluster.core("core-1").state(cluster.now)
        self.assertEqual((False, NO_SPACE), (state.voting, state.disk_failure))
        self.assertEqual(2, cluster.core("core-1").value("intent").version)
        cluster.disks["core-2"].error = NO_SPACE
        self.assertEqual("not-confirmed", cluster.change("core-3", "o3", {"a": "3"}).status)
        cluster.disks["core-1"].error = ""
        cluster.run(3.0)
        self.assertTrue(cluster.core("core-1").state(cluster.now).voting)
        self.assertEqual("in-force", cluster.change("core-3", "o3", {"a": "3"}).status)

    def test_nodes_stay_ready_during_a_restart_of_every_core(self) -> None:
        cluster = Cluster(nodes=5).run_until_ready()
        cluster.run(2.0)
        for core in CORES:
            cluster.kill(core)
        for _ in range(100):
            cluster.run(0.1)
            self.assertTrue(cluster.all_ready())
        for core in CORES:
            cluster.start_core(core, bootstrap=True)
        for _ in range(100):
            cluster.run(0.1)
            self.assertTrue(cluster.all_ready())
        self.assertEqual("in-force", cluster.change("core-1", "o1", {"a": "1"}).status)


class PartitionsTest(testtools.TestCase):
    def test_an_isolated_minority_of_nodes_becomes_unready_and_changes_continue(self) -> None:
        cluster = Cluster(nodes=5).run_until_ready()
        cluster.run(2.0)
        cluster.isolate(["node-1", "node-2"])
        result = cluster.change("core-1", "o1", {"a": "1"})
        self.assertEqual("in-force", result.status)
        self.assertFalse(cluster.node("node-1").ready(cluster.now))
        cluster.heal()
        cluster.run(2.0)
        self.assertTrue(cluster.all_ready())

    def test_an_isolated_majority_of_nodes_stays_ready_and_no_change_is_acknowledged(self) -> None:
        cluster = Cluster(nodes=5).run_until_ready()
        cluster.run(2.0)
        isolated_nodes = ["node-1", "node-2", "node-3"]
        cluster.isolate(isolated_nodes)
        result = cluster.change("core-1", "o1", {"a": "1"})
        self.assertEqual("not-confirmed", result.status)
        cluster.run(10.0)
        for node in isolated_nodes:
            self.assertTrue(cluster.node(node).ready(cluster.now))
        cluster.heal()
        cluster.run(3.0)
        self.assertEqual("in-force", cluster.change("core-1", "o1", {"a": "1"}).status)

    def test_no_change_is_acknowledged_whenever_a_majority_of_nodes_is_isolated(self) -> None:
        """The nodes are also isolated at times when the registry does not contain all of them."""
        for seed in range(1, 4):
            for delay_s in (0.0, 0.3, 0.7, 1.0, 1.5):
                cluster = Cluster(seed=seed, nodes=5).run_until_ready()
                cluster.run(delay_s)
                cluster.isolate(["node-1", "node-2", "node-3"])
                result = cluster.change("core-1", "o1", {"a": "1"})
                self.assertEqual("not-confirmed", result.status, (seed, delay_s))

    def test_a_node_that_reaches_no_core_gets_changes_through_a_peer(self) -> None:
        cluster = Cluster(nodes=3).run_until_ready()
        cluster.run(2.0)
        for core in CORES:
            cluster.cut("node-1", core)
        cluster.run(8.0)
        self.assertTrue(cluster.node("node-1").ready(cluster.now))
        self.assertEqual("in-force", cluster.change("core-1", "o1", {"a": "1"}).status)
        self.assertEqual(1, cluster.node("node-1").intent().version)


class ReplacementTest(testtools.TestCase):
    def replicas(self, cluster: Cluster, core: str) -> list[str]:
        replicas = cluster.core(core).state(cluster.now).replicas
        return sorted(replica.partition("/")[0] for replica in replicas)

    def test_an_empty_core_at_a_new_address_replaces_a_failed_one(self) -> None:
        cluster = Cluster(nodes=5).run_until_ready()
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.kill("core-3")
        cluster.start_core("core-4")
        is_replaced = cluster.run_until(
            lambda: self.replicas(cluster, "core-1") == ["core-1", "core-2", "core-4"], 40.0
        )
        self.assertTrue(is_replaced)
        cluster.run(2.0)
        cluster.kill("core-1")
        cluster.lose_disk("core-1")
        result = cluster.change("core-2", "o2", {"b": "2"}, base_version=1)
        self.assertEqual(("in-force", 2), (result.status, result.version))
        self.assertEqual({"a": b"1", "b": b"2"}, cluster.core("core-4").value("intent").rows)

    def test_all_initial_cores_are_replaced_one_after_another(self) -> None:
        cluster = Cluster(nodes=5).run_until_ready()
        cluster.change("core-1", "o1", {"a": "1"})
        for index, old in enumerate(CORES):
            cluster.kill(old)
            cluster.lose_disk(old)
            cluster.start_core(f"core-{index + 4}", seeds=("node-1", "node-2"))
            cluster.run(25.0)
        self.assertEqual(["core-4", "core-5", "core-6"], self.replicas(cluster, "core-4"))
        self.assertTrue(cluster.all_ready())
        self.assertEqual(
            "in-force", cluster.change("core-5", "o2", {"a": "2"}, base_version=1).status
        )

    def test_a_core_that_lost_its_disk_has_no_vote_until_it_has_copied_every_record(self) -> None:
        cluster = Cluster(nodes=3).run_until_ready()
        cluster.change("core-1", "o1", {"a": "1"})
        cluster.kill("core-2")
        cluster.lose_disk("core-2")
        cluster.start_core("core-2", bootstrap=True)
        self.assertFalse(cluster.core("core-2").state(cluster.now).voting)
        self.assertEqual("in-force", cluster.change("core-2", "o2", {"a": "2"}).status)
        cluster.run(25.0)
        self.assertTrue(cluster.core("core-2").state(cluster.now).voting)
        self.assertEqual(["core-1", "core-2", "core-3"], self.replicas(cluster, "core-1"))

    def test_cores_that_lost_their_disks_do_not_create_a_second_cluster(self) -> None:
        cluster = Cluster(nodes=3).run_until_ready()
        cluster.change("core-1", "o1", {"a": "1"})
        for core in CORES:
            cluster.kill(core)
            cluster.lose_disk(core)
        for core in CORES:
            cluster.start_core(core, bootstrap=True)
        cluster.run(10.0)
        self.assertEqual("not-confirmed", cluster.change("core-1", "o2", {"a": "2"}).status)
        self.assertIn(2011, [log.number for _, _, log in cluster.logs])

    def test_a_recovery_restores_from_nodes_what_every_disk_lost(self) -> None:
        cluster = Cluster(nodes=3).run_until_ready()
        cluster.run(5.0)
        cluster.change("core-1", "o1", {"a": "1"})
        epoch = max(cluster.core(core).role("placer", cluster.now).epoch for core in CORES)
        for core in CORES:
            cluster.kill(core)
            cluster.lose_disk(core)
        for core in CORES:
            cluster.start_core(core, bootstrap=True, recover=True)
        cluster.run(20.0)
        result = cluster.change("core-1", "o2", {"b": "2"}, base_version=1)
        self.assertEqual(("in-force", 2), (result.status, result.version))
        self.assertEqual({"a": b"1", "b": b"2"}, cluster.node("node-1").intent().rows)
        self.assertGreaterEqual(epoch, 1)
