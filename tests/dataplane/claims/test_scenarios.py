"""The narrow races that the rules of the claim protocol are for, played step by step."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import testtools

from tests.dataplane.claims.claims_cluster import PROFILES, SimulatedCluster
from tests.dataplane.claims.test_mutations import (
    Mutation,
    blocks_do_not_last,
    mutated,
    no_dispatch_window,
    one_source_is_enough,
    reads_without_waiting,
    restarted_voter_votes_at_once,
    view_is_ignored,
)
from zincvale.dataplane.claims.messages import ViewList
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId

REQUEST = "request-x"
RUNS = 0.5
"""Fate of a dispatch: it runs and is answered."""


@attrs.define
class Cast:
    """A settled world, a request's five voters, and the ingress nodes beside them."""

    cluster: SimulatedCluster
    voters: list[MemberId]
    ingress_nodes: list[MemberId]


def settled() -> Cast:
    cluster = SimulatedCluster(1, PROFILES["calm"])
    cluster.fixed_fate = RUNS
    cluster.fixed_dispatch_s = 0.001
    cluster.run_for(9.0)
    view = cluster.nodes[MemberId("node-1")].machine.readiness.view
    assert view is not None
    voters = list(view.voters(REQUEST))
    return Cast(cluster, voters, [name for name in cluster.nodes if name not in voters])


def run_with_three_votes_and_crash(cast: Cast) -> None:
    """The first ingress node runs the request by the first three voters' votes, and dies."""
    cluster, ingress_node = cast.cluster, cast.ingress_nodes[0]
    cluster.cut(ingress_node, *cast.voters[3:])
    cluster.attempt(cluster.nodes[ingress_node], REQUEST)
    run_until(cluster, lambda: bool(cluster.runs))
    cluster.crash(cluster.nodes[ingress_node])
    cluster.mend()


def run_until(cluster: SimulatedCluster, is_reached: Callable[[], bool]) -> None:
    end = cluster.now + 10.0
    while cluster.now < end and not is_reached():
        cluster.run_for(0.001)


def resend(cast: Cast, ingress_node: MemberId, *voters: MemberId) -> None:
    """Another ingress node claims, and reaches only some voters."""
    cluster = cast.cluster
    cluster.mend()
    others = [voter for voter in cluster.nodes if voter not in (*voters, ingress_node)]
    cluster.cut(ingress_node, *others)
    cluster.attempt(cluster.nodes[ingress_node], REQUEST)
    cluster.run_for(5.0)


def restarted_voter_reads_one_source() -> SimulatedCluster:
    """A voter forgets its vote and reaches only a voter that never voted."""
    cast = settled()
    cluster, (first, *_, fourth, fifth) = cast.cluster, cast.voters
    run_with_three_votes_and_crash(cast)
    cluster.crash(cluster.nodes[first])
    cluster.cut(first, *[name for name in cluster.nodes if name != fourth])
    cluster.start(cluster.nodes[first])
    cluster.run_for(4.0)
    resend(cast, cast.ingress_nodes[1], first, fourth, fifth)
    return cluster


def vote_is_forgotten_between_two_others() -> SimulatedCluster:
    """A voter restarts before the other two votes are given, and reads before them too."""
    cast = settled()
    cluster, (first, second, third, fourth, fifth) = cast.cluster, cast.voters
    ingress_node = cast.ingress_nodes[0]
    cluster.cut(ingress_node, fourth, fifth)
    cluster.delays[ingress_node, second] = cluster.delays[ingress_node, third] = 0.4
    cluster.attempt(cluster.nodes[ingress_node], REQUEST)
    cluster.run_for(0.02)
    cluster.crash(cluster.nodes[first])
    cluster.cut(first, ingress_node)
    cluster.start(cluster.nodes[first])
    run_until(cluster, lambda: bool(cluster.runs))
    cluster.crash(cluster.nodes[ingress_node])
    cluster.run_for(4.0)
    resend(cast, cast.ingress_nodes[1], first, fourth, fifth)
    return cluster


def owner_sleeps_through_a_restart_of_all() -> SimulatedCluster:
    """An ingress node freezes between claim and dispatch; all others restart and claim anew."""
    cast = settled()
    cluster, ingress_node = cast.cluster, cast.ingress_nodes[0]
    cluster.fixed_dispatch_s = 0.5
    cluster.attempt(cluster.nodes[ingress_node], REQUEST)
    cluster.run_for(0.1)
    cluster.freeze(cluster.nodes[ingress_node], 11.0)
    for node in cluster.nodes.values():
        if node.name != ingress_node:
            cluster.crash(node)
            cluster.start(node)
    cluster.run_for(9.0)
    cluster.attempt(cluster.nodes[cast.ingress_nodes[1]], REQUEST)
    cluster.run_for(5.0)
    return cluster


def two_voters_are_replaced() -> SimulatedCluster:
    """Two voters leave the registry; the new voters know nothing unless they read it."""
    cast = settled()
    cluster, (first, second, third, *_) = cast.cluster, cast.voters
    run_with_three_votes_and_crash(cast)
    registered = {
        name: zone for name, zone in cluster.views[-1].nodes.items() if name not in (first, second)
    }
    new_voters: set[MemberId] = set()
    while len(new_voters) < 2:
        node = cluster.add_node()
        view = ClaimView(2, {**registered, node.name: node.zone})
        if node.name in view.voters(REQUEST):
            registered[node.name] = node.zone
            new_voters = set(view.voters(REQUEST)) - set(cast.voters)
    cluster.views.append(ViewList(2, registered))
    cluster.run_for(2.0)
    cluster.cut(cast.ingress_nodes[1], third, first, second)
    cluster.attempt(cluster.nodes[cast.ingress_nodes[1]], REQUEST)
    cluster.run_for(5.0)
    return cluster


def blocked_attempt_requests_again() -> SimulatedCluster:
    """An attempt blocked by four voters requests their votes again, while its rival node sleeps."""
    cast = settled()
    cluster, (_, second, third, fourth, fifth) = cast.cluster, cast.voters
    owner, other = cast.ingress_nodes[:2]
    cluster.cut(owner, other, second, third, fourth, fifth)
    cluster.attempt(cluster.nodes[owner], REQUEST)
    cluster.run_for(0.02)
    cluster.cut(other, second, third)
    cluster.attempt(cluster.nodes[other], REQUEST)
    cluster.run_for(0.4)
    cluster.mend_links(other)
    cluster.cut(other, owner)
    run_until(cluster, lambda: cluster.served["BlockCall"] >= 5)
    cluster.freeze(cluster.nodes[other], 1.0)
    cluster.mend_links(owner)
    run_until(cluster, lambda: bool(cluster.runs))
    cluster.crash(cluster.nodes[owner])
    cluster.run_for(5.0)
    return cluster


SCENARIOS: dict[Callable[[], SimulatedCluster], tuple[Mutation, ...]] = {
    restarted_voter_reads_one_source: (one_source_is_enough, restarted_voter_votes_at_once),
    vote_is_forgotten_between_two_others: (reads_without_waiting,),
    owner_sleeps_through_a_restart_of_all: (no_dispatch_window,),
    two_voters_are_replaced: (view_is_ignored,),
    blocked_attempt_requests_again: (blocks_do_not_last,),
}


class ScenariosTest(testtools.TestCase):
    def test_nothing_runs_twice(self) -> None:
        for scenario in SCENARIOS:
            cluster = scenario()
            self.assertEqual([], cluster.violations(), scenario.__name__)
            self.assertEqual(1, cluster.runs[REQUEST], scenario.__name__)

    def test_each_rule_is_needed(self) -> None:
        for scenario, mutations in SCENARIOS.items():
            for mutation in mutations:
                with mutated(mutation):
                    cluster = scenario()
                self.assertEqual([REQUEST], cluster.violations(), mutation.__name__)
