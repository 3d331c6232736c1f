"""Nodes that stop in an orderly way hold up no acknowledgement, however many of them stop."""

from __future__ import annotations

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster
from zincvale.coordination.leases.messages import RenewLease
from zincvale.coordination.membership.registry_reconciler import DEPARTED_DEREGISTER_S
from zincvale.daemons.forwarding_timings import forwarding_timings
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import MessageReceived, ShutdownRequested

NODES = 7
LEAVE_S = 0.1
PROMPT_S = 1.0
"""Less than a lease lives: the change waits for no lease to expire."""
ACKNOWLEDGE_S = 4.0


class DepartedNodesTest(testtools.TestCase):
    def cluster(self, seed: int = 1) -> Cluster:
        cluster = Cluster(seed, nodes=NODES, timings=forwarding_timings()).run_until_ready()
        cluster.run(5.0)
        return cluster

    def stop(self, cluster: Cluster, member: str) -> None:
        """Stop a node in an orderly way, as its daemon does after the drain."""
        cluster.deliver(member, ShutdownRequested())
        cluster.run(LEAVE_S)
        cluster.kill(member)

    def is_acknowledged(self, cluster: Cluster, order: str, within_s: float) -> bool:
        token = cluster.propose("core-1", order, {order: "1"})
        return cluster.run_until(
            lambda: token in cluster.replies and cluster.replies[token].status == "in-force",
            within_s,
        )

    def test_changes_are_acknowledged_after_most_nodes_have_left(self) -> None:
        for seed in range(1, 4):
            cluster = self.cluster(seed)
            for number in range(2, NODES + 1):
                self.stop(cluster, f"node-{number}")
            self.assertTrue(self.is_acknowledged(cluster, "o1", ACKNOWLEDGE_S), seed)

    def test_a_change_does_not_wait_for_the_lease_of_a_node_that_has_left(self) -> None:
        cluster = self.cluster()
        self.stop(cluster, "node-2")
        self.assertTrue(self.is_acknowledged(cluster, "o1", PROMPT_S))

    def test_a_node_that_has_left_is_removed_from_the_registry_soon(self) -> None:
        cluster = self.cluster()
        for number in range(2, NODES + 1):
            self.stop(cluster, f"node-{number}")
        cluster.run(DEPARTED_DEREGISTER_S + 3.0)
        self.assertEqual({"node-1"}, set(cluster.core("core-1").value("registry").rows))

    def test_a_node_that_returns_counts_again(self) -> None:
        cluster = self.cluster()
        self.stop(cluster, "node-2")
        cluster.start_node("node-2")
        self.assertTrue(cluster.run_until(cluster.all_ready, 3.0))
        grantor = cluster.core("core-1")._components.member_leases.grantor
        self.assertNotIn("node-2", grantor.departed)
        self.assertTrue(self.is_acknowledged(cluster, "o1", PROMPT_S))
        self.assertEqual({"o1": b"1"}, cluster.node("node-2").intent().rows)

    def test_a_renewal_that_arrives_after_its_node_has_left_grants_nothing(self) -> None:
        cluster = self.cluster()
        core = cluster.core("core-1")
        grantor = core._components.member_leases.grantor
        lease = grantor.leases["node-2"]
        late = RenewLease(lease.info, cluster.now, True, lease.applied_versions, True, "", 0, 0)
        self.stop(cluster, "node-2")
        core.handle(MessageReceived(MemberId("node-2"), late), cluster.now)
        self.assertNotIn("node-2", grantor.leases)

    def test_a_node_whose_evidence_may_be_in_use_keeps_its_lease_until_it_expires(self) -> None:
        cluster = self.cluster()
        cluster.isolate(["node-1", "node-2", "node-3", "node-4"])
        cluster.run(3.0)
        cluster.heal()
        cluster.run_until(lambda: cluster.node("node-2").has_lease(cluster.now), 3.0)
        self.assertFalse(cluster.node("node-2")._partition_guard.may_confirm(cluster.now))
        self.stop(cluster, "node-2")
        for core in CORES:
            grantor = cluster.core(core)._components.member_leases.grantor
            self.assertNotIn("node-2", grantor.departed)

    def test_a_node_that_has_left_is_not_fresh(self) -> None:
        cluster = self.cluster()
        cluster.deliver("node-2", ShutdownRequested())
        self.assertFalse(cluster.node("node-2").fresh(cluster.now))
