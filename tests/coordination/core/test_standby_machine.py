"""A standby, which is a core process without a disk: it has no vote and redirects to the cores."""

from __future__ import annotations

import random

import testtools

from tests.coordination.simulated_cluster import CORES, Cluster
from zincvale.coordination import log_events
from zincvale.coordination.core.messages import RequestCores
from zincvale.coordination.core.standby_machine import (
    DISCOVERY_INTERVAL_S,
    REFRESH_INTERVAL_S,
    REMOVE_CORE_AFTER_S,
    RESPONSIVE_WITHIN_S,
    StandbyConfig,
    StandbyMachine,
)
from zincvale.coordination.leases.messages import LeaseRedirect
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.model.identifiers import Address, MemberId, ZoneName
from zincvale.model.machine import Effect, Log, MessageReceived, Send, Tick

STANDBY = "standby-9"


def core_info(name: str, zone: str = "z2") -> MemberInfo:
    return MemberInfo(name, "core", zone, f"{name}:api", f"{name}:peer", "run")


class StandbyMachineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        config = StandbyConfig(MemberId(STANDBY), ZoneName("z1"), (Address("seed:1"),))
        self.machine = StandbyMachine(config, random.Random(1))

    def request_targets(self, now: float) -> list[str]:
        effects = self.machine.handle(Tick(), now)
        return [effect.to for effect in effects if isinstance(effect, Send)]

    def receive_redirect(self, sender: str, *cores: MemberInfo, now: float) -> list[Effect]:
        message = LeaseRedirect(list(cores), "asked")
        return self.machine.handle(MessageReceived(MemberId(sender), message), now)

    def test_a_standby_logs_once_that_it_has_no_vote(self) -> None:
        first = [effect for effect in self.machine.handle(Tick(), 0.0) if isinstance(effect, Log)]
        later = [effect for effect in self.machine.handle(Tick(), 9.0) if isinstance(effect, Log)]
        self.assertEqual([log_events.CORE_STANDS_BY], [log.number for log in first])
        self.assertEqual([], later)

    def test_a_standby_asks_its_seeds_for_cores_until_one_responds(self) -> None:
        self.assertEqual(["@seed:1"], self.request_targets(0.0))
        self.assertEqual([], self.request_targets(DISCOVERY_INTERVAL_S / 2))
        self.assertEqual(["@seed:1"], self.request_targets(DISCOVERY_INTERVAL_S))

    def test_a_standby_refreshes_its_cores_from_one_core_in_its_zone(self) -> None:
        self.request_targets(0.0)
        near, far = core_info("near", "z1"), core_info("far")
        self.receive_redirect("near", near, far, now=0.1)
        self.receive_redirect("far", near, far, now=0.1)
        self.assertEqual(["near"], self.request_targets(DISCOVERY_INTERVAL_S))
        self.assertEqual([], self.request_targets(DISCOVERY_INTERVAL_S + REFRESH_INTERVAL_S / 2))

    def test_a_standby_redirects_only_to_cores_that_were_named(self) -> None:
        request = MessageReceived(MemberId("node-1"), RequestCores())
        self.assertEqual([], self.machine.handle(request, 0.0))
        self.receive_redirect("a", core_info("a"), core_info("b"), now=0.1)
        (response,) = self.machine.handle(request, 0.2)
        self.assertEqual(["a", "b"], [info.member for info in response.message.cores])
        self.assertFalse(response.message.can_grant)

    def test_operators_are_redirected_to_a_responsive_core(self) -> None:
        self.assertIsNone(self.machine.core_for_operators(0.0))
        self.receive_redirect("a", core_info("a"), core_info("b"), now=0.0)
        self.assertEqual("a:api", self.machine.core_for_operators(1.0))
        self.receive_redirect("b", core_info("a"), core_info("b"), now=RESPONSIVE_WITHIN_S + 0.1)
        self.assertEqual("b:api", self.machine.core_for_operators(RESPONSIVE_WITHIN_S + 0.2))

    def test_operators_are_redirected_to_any_known_core_if_none_is_responsive(self) -> None:
        self.receive_redirect("a", core_info("a"), now=0.0)
        self.assertEqual("a:api", self.machine.core_for_operators(100.0))

    def test_a_core_that_only_another_process_named_is_not_responsive(self) -> None:
        self.receive_redirect("node-1", core_info("a"), core_info("b"), now=0.0)
        self.assertEqual({"a", "b", "@seed:1"}, set(self.request_targets(0.0)))

    def test_a_core_that_is_no_longer_named_is_removed(self) -> None:
        self.receive_redirect("a", core_info("a"), core_info("gone"), now=0.0)
        self.receive_redirect("a", core_info("a"), now=REMOVE_CORE_AFTER_S + 1.0)
        self.request_targets(REMOVE_CORE_AFTER_S + 2.0)
        self.assertIsNone(self.machine.address_of(MemberId("gone")))
        self.assertEqual("a:peer", self.machine.address_of(MemberId("a")))

    def test_no_core_is_removed_while_no_response_arrives(self) -> None:
        self.receive_redirect("a", core_info("a"), core_info("b"), now=0.0)
        self.request_targets(10 * REMOVE_CORE_AFTER_S)
        self.assertEqual("b:peer", self.machine.address_of(MemberId("b")))

    def test_requests_go_to_the_new_seeds_after_they_are_replaced(self) -> None:
        self.machine.use_seeds(("other:1",))
        self.assertEqual(["@other:1"], self.request_targets(0.0))


class StandbyInClusterTest(testtools.TestCase):
    def ready_cluster(self, group_size: int = 3) -> Cluster:
        cluster = Cluster(nodes=1, group_size=group_size)
        cluster.start_standby(STANDBY)
        return cluster.run_until_ready()

    def test_a_node_whose_only_seed_is_a_standby_becomes_ready(self) -> None:
        cluster = self.ready_cluster()
        cluster.start_node("node-2", seeds=(STANDBY,))
        self.assertTrue(cluster.run_until(cluster.all_ready, 6.0))

    def test_an_empty_core_whose_only_seed_is_a_standby_joins(self) -> None:
        cluster = self.ready_cluster(group_size=5)
        cluster.start_core("core-4", seeds=(STANDBY,))
        self.assertTrue(cluster.run_until(lambda: self.voters(cluster) == 4, 20.0))

    def test_a_standby_is_no_member_and_has_no_vote_and_no_role(self) -> None:
        cluster = self.ready_cluster()
        cluster.run(20.0)
        for name in CORES:
            machine = cluster.core(name)
            self.assertNotIn(STANDBY, str(machine.replica_sets()))
            self.assertNotIn(STANDBY, str(machine.members(cluster.now)))
            self.assertNotIn(STANDBY, str(machine.role_holders(cluster.now)))

    def test_changes_are_in_force_after_a_standby_failed(self) -> None:
        cluster = self.ready_cluster()
        cluster.kill(STANDBY)
        result = cluster.change("core-1", "o1", {"a": "1"})
        self.assertEqual("in-force", result.status)

    def test_a_standby_knows_the_cores_after_all_were_replaced(self) -> None:
        cluster = self.ready_cluster()
        for number, old in enumerate(CORES, start=4):
            cluster.start_core(f"core-{number}", seeds=(STANDBY,))
            cluster.run(4.0)
            cluster.kill(old)
            cluster.run(20.0)
        standby = cluster.processes[STANDBY].machine
        replaced = {cluster.address(f"core-{number}") for number in (4, 5, 6)}
        self.assertIn(standby.core_for_operators(cluster.now), replaced)

    def voters(self, cluster: Cluster) -> int:
        return len(cluster.core("core-1").replica_sets().grantors().replicas)


class FiveReplicasTest(testtools.TestCase):
    """Five replicas, of which two may be lost: three create the cluster and two join it."""

    def cluster_of_five(self, seed: int) -> Cluster:
        cluster = Cluster(seed, nodes=1, group_size=5)
        for name in ("core-4", "core-5"):
            cluster.start_core(name)
        cluster.run_until_ready()
        sets = cluster.core("core-1").replica_sets
        has_five_replicas = cluster.run_until(
            lambda: len(sets().grantors().replicas) == 5 and not sets().grantors().previous, 40.0
        )
        self.assertTrue(has_five_replicas)
        return cluster

    def test_an_acknowledged_change_survives_two_lost_disks_and_a_restart_of_everything(
        self,
    ) -> None:
        names = [*CORES, "core-4", "core-5"]
        for seed in range(1, 9):
            cluster = self.cluster_of_five(seed)
            result = cluster.change("core-5", "o1", {"a": "1"})
            self.assertEqual("in-force", result.status)
            lost = cluster.random.sample(names, 2)
            for name in [*names, "node-1"]:
                cluster.kill(name)
            for name in lost:
                cluster.lose_disk(name)
            for name in names:
                cluster.start_core(name, seeds=tuple(names))
            cluster.start_node("node-1", seeds=tuple(names))
            self.assertTrue(cluster.run_until(cluster.all_ready, 12.0), (seed, lost))
            self.assertEqual({"a": b"1"}, cluster.node("node-1").intent().rows, (seed, lost))

    def test_changes_continue_after_any_two_cores_failed(self) -> None:
        for seed in range(1, 5):
            cluster = self.cluster_of_five(seed)
            names = [*CORES, "core-4", "core-5"]
            lost = cluster.random.sample(names, 2)
            for name in lost:
                cluster.kill(name)
            remaining_core = next(name for name in names if name not in lost)
            self.assertEqual("in-force", cluster.change(remaining_core, "o1", {"a": "1"}).status)
