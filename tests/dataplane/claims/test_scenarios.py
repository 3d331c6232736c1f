"""Step-by-step simulations of the races that single rules of the claim protocol prevent."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import testtools

from tests.dataplane.claims.claims_cluster import PROFILES, SimulatedCluster
from tests.dataplane.claims.test_mutations import (
    Mutation,
    blocks_are_not_stored,
    mutated,
    no_dispatch_window,
    one_source_is_enough,
    restarted_voter_reads_at_once,
    restarted_voter_votes_at_once,
    view_is_ignored,
)
from zincvale.dataplane.claims.messages import ViewList
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId

REQUEST = "request-x"
RUNS_WITH_RESPONSE = 0.5
"""Value of `fixed_outcome_draw` with which each dispatch runs and gets a response."""


@attrs.define
class ScenarioSetup:
    """A cluster after its start, the five voters of `REQUEST`, and its other nodes."""

    cluster: SimulatedCluster
    voters: list[MemberId]
    ingress_nodes: list[MemberId]


def start_cluster() -> ScenarioSetup:
    cluster = SimulatedCluster(1, PROFILES["calm"])
    cluster.fixed_outcome_draw = RUNS_WITH_RESPONSE
    cluster.fixed_dispatch_delay_s = 0.001
    cluster.run_for(9.0)
    view = cluster.nodes[MemberId("node-1")].machine.readiness.view
    assert view is not None
    voters = list(view.voters(REQUEST))
    return ScenarioSetup(cluster, voters, [name for name in cluster.nodes if name not in voters])


def run_with_three_votes_and_crash(setup: ScenarioSetup) -> None:
    """Run the request at the first ingress node with the votes of three voters, and crash it."""
    cluster, ingress_node = setup.cluster, setup.ingress_nodes[0]
    cluster.cut_links(ingress_node, *setup.voters[3:])
    cluster.send_request(cluster.nodes[ingress_node], REQUEST)
    run_until(cluster, lambda: bool(cluster.runs))
    cluster.crash(cluster.nodes[ingress_node])
    cluster.restore_links()


def run_until(cluster: SimulatedCluster, is_reached: Callable[[], bool]) -> None:
    end = cluster.now + 10.0
    while cluster.now < end and not is_reached():
        cluster.run_for(0.001)


def resend(setup: ScenarioSetup, ingress_node: MemberId, *voters: MemberId) -> None:
    """Send the request to another ingress node, which reaches only the given voters."""
    cluster = setup.cluster
    cluster.restore_links()
    others = [voter for voter in cluster.nodes if voter not in (*voters, ingress_node)]
    cluster.cut_links(ingress_node, *others)
    cluster.send_request(cluster.nodes[ingress_node], REQUEST)
    cluster.run_for(5.0)


def restarted_voter_reads_one_source() -> SimulatedCluster:
    """A voter that voted restarts, and reaches only a voter that did not vote."""
    setup = start_cluster()
    cluster, (first, *_, fourth, fifth) = setup.cluster, setup.voters
    run_with_three_votes_and_crash(setup)
    cluster.crash(cluster.nodes[first])
    cluster.cut_links(first, *[name for name in cluster.nodes if name != fourth])
    cluster.start(cluster.nodes[first])
    cluster.run_for(4.0)
    resend(setup, setup.ingress_nodes[1], first, fourth, fifth)
    return cluster


def voter_restarts_before_the_other_votes() -> SimulatedCluster:
    """A voter restarts before two others vote, and must not read from them before that."""
    setup = start_cluster()
    cluster, (first, second, third, fourth, fifth) = setup.cluster, setup.voters
    ingress_node = setup.ingress_nodes[0]
    cluster.cut_links(ingress_node, fourth, fifth)
    cluster.link_delays[ingress_node, second] = cluster.link_delays[ingress_node, third] = 0.4
    cluster.send_request(cluster.nodes[ingress_node], REQUEST)
    cluster.run_for(0.02)
    cluster.crash(cluster.nodes[first])
    cluster.cut_links(first, ingress_node)
    cluster.start(cluster.nodes[first])
    run_until(cluster, lambda: bool(cluster.runs))
    cluster.crash(cluster.nodes[ingress_node])
    cluster.run_for(4.0)
    resend(setup, setup.ingress_nodes[1], first, fourth, fifth)
    return cluster


def owner_is_frozen_during_a_restart_of_all_others() -> SimulatedCluster:
    """An ingress node freezes between grant and dispatch; the others restart and get a resend."""
    setup = start_cluster()
    cluster, ingress_node = setup.cluster, setup.ingress_nodes[0]
    cluster.fixed_dispatch_delay_s = 0.5
    cluster.send_request(cluster.nodes[ingress_node], REQUEST)
    cluster.run_for(0.1)
    cluster.freeze(cluster.nodes[ingress_node], 11.0)
    for node in cluster.nodes.values():
        if node.name != ingress_node:
            cluster.crash(node)
            cluster.start(node)
    cluster.run_for(9.0)
    cluster.send_request(cluster.nodes[setup.ingress_nodes[1]], REQUEST)
    cluster.run_for(5.0)
    return cluster


def two_voters_are_replaced() -> SimulatedCluster:
    """Two voters leave the registry; the new voters know of their votes only by reading."""
    setup = start_cluster()
    cluster, (first, second, third, *_) = setup.cluster, setup.voters
    run_with_three_votes_and_crash(setup)
    registered = {
        name: zone for name, zone in cluster.views[-1].nodes.items() if name not in (first, second)
    }
    new_voters: set[MemberId] = set()
    while len(new_voters) < 2:
        node = cluster.add_node()
        view = ClaimView(2, {**registered, node.name: node.zone})
        if node.name in view.voters(REQUEST):
            registered[node.name] = node.zone
            new_voters = set(view.voters(REQUEST)) - set(setup.voters)
    cluster.views.append(ViewList(2, registered))
    cluster.run_for(2.0)
    cluster.cut_links(setup.ingress_nodes[1], third, first, second)
    cluster.send_request(cluster.nodes[setup.ingress_nodes[1]], REQUEST)
    cluster.run_for(5.0)
    return cluster


def blocked_attempt_requests_again() -> SimulatedCluster:
    """A blocked attempt requests votes again while the ingress node that blocked it is frozen."""
    setup = start_cluster()
    cluster, (_, second, third, fourth, fifth) = setup.cluster, setup.voters
    owner, other = setup.ingress_nodes[:2]
    cluster.cut_links(owner, other, second, third, fourth, fifth)
    cluster.send_request(cluster.nodes[owner], REQUEST)
    cluster.run_for(0.02)
    cluster.cut_links(other, second, third)
    cluster.send_request(cluster.nodes[other], REQUEST)
    cluster.run_for(0.4)
    cluster.restore_links_of(other)
    cluster.cut_links(other, owner)
    run_until(cluster, lambda: cluster.served_calls["BlockCall"] >= 5)
    cluster.freeze(cluster.nodes[other], 1.0)
    cluster.restore_links_of(owner)
    run_until(cluster, lambda: bool(cluster.runs))
    cluster.crash(cluster.nodes[owner])
    cluster.run_for(5.0)
    return cluster


SCENARIOS: dict[Callable[[], SimulatedCluster], tuple[Mutation, ...]] = {
    restarted_voter_reads_one_source: (one_source_is_enough, restarted_voter_votes_at_once),
    voter_restarts_before_the_other_votes: (restarted_voter_reads_at_once,),
    owner_is_frozen_during_a_restart_of_all_others: (no_dispatch_window,),
    two_voters_are_replaced: (view_is_ignored,),
    blocked_attempt_requests_again: (blocks_are_not_stored,),
}


class ScenariosTest(testtools.TestCase):
    def test_the_request_runs_exactly_once(self) -> None:
        for scenario in SCENARIOS:
            cluster = scenario()
            self.assertEqual([], cluster.violations(), scenario.__name__)
            self.assertEqual(1, cluster.runs[REQUEST], scenario.__name__)

    def test_each_mutation_violates_the_guarantee_in_its_scenario(self) -> None:
        for scenario, mutations in SCENARIOS.items():
            for mutation in mutations:
                with mutated(mutation):
                    cluster = scenario()
                self.assertEqual([REQUEST], cluster.violations(), mutation.__name__)
