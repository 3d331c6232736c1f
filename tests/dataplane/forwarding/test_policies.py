"""Which server the policies choose for a request, or why there is none."""

from __future__ import annotations

import testtools

from tests.dataplane.forwarding.builders import (
    make_directory,
    make_document,
    make_pool,
    make_prompt,
    make_route,
    make_routing,
    make_row,
)
from zincvale.dataplane.forwarding.fleet_budgets import SlowStartConfig
from zincvale.dataplane.forwarding.policies import (
    NoServerReason,
    PolicyChain,
    RoutingQuery,
    ServerChoice,
    make_scorers,
)
from zincvale.dataplane.forwarding.routing_state import FleetLimits
from zincvale.dataplane.forwarding.servers import Residency
from zincvale.model.identifiers import ServerId


def choose(routing, prompt=None, excluded=(), now=1.0, chain=None):
    chain = chain or PolicyChain(make_scorers([]))
    query = RoutingQuery(make_route(), "p", prompt, routing, frozenset(excluded), now)
    return chain.choose(query)


def server_of(choice):
    assert isinstance(choice, ServerChoice), choice
    return choice.server.server


class FilterTest(testtools.TestCase):
    def test_draining_and_evacuated_servers_get_no_requests(self):
        routing = make_routing(make_row("s1", draining=True), make_row("s2", zone="z2"))
        self.assertEqual("s2", server_of(choose(routing, make_prompt())))
        document = make_document(2, [make_route()], [make_pool()], ["z2"])
        routing.apply_document(document, 0.0)
        self.assertIs(NoServerReason.NO_SERVER, choose(routing, make_prompt()))

    def test_the_reason_distinguishes_a_missing_model_from_a_missing_adapter(self):
        routing = make_routing(make_row("s1", models=("other",)))
        self.assertIs(NoServerReason.NOT_RESIDENT, choose(routing, make_prompt()))
        routing = make_routing(make_row("s1"))
        self.assertIs(NoServerReason.NO_ADAPTER, choose(routing, make_prompt(adapter="a1")))
        routing = make_routing(make_row("s1", models=("other",)))
        self.assertIs(NoServerReason.NOT_RESIDENT, choose(routing, make_prompt(adapter="a1")))
        routing = make_routing(make_row("s1", adapters=("m/a1",)))
        self.assertEqual("s1", server_of(choose(routing, make_prompt(adapter="a1"))))

    def test_a_published_residency_counts_only_for_its_incarnation(self):
        routing = make_routing(make_row("s1", models=()))
        published = {ServerId("s1"): Residency("s1", frozenset({"m"}), frozenset())}
        routing.apply_residencies(published)
        self.assertEqual("s1", server_of(choose(routing, make_prompt())))
        routing.apply_directory(make_directory(make_row("s1", models=(), incarnation="s1b")), 1.0)
        self.assertIs(NoServerReason.NOT_RESIDENT, choose(routing, make_prompt()))

    def test_a_server_that_unloads_a_model_or_states_it_is_not_resident_gets_no_requests(self):
        routing = make_routing(make_row("s1"), make_row("s2"))
        unloading = {ServerId("s1"): Residency("s1", frozenset(), frozenset())}
        routing.apply_residencies(unloading)
        self.assertEqual("s2", server_of(choose(routing, make_prompt())))
        routing.servers[ServerId("s2")].mark_absent(make_prompt(), 1.0)
        self.assertIs(NoServerReason.NOT_RESIDENT, choose(routing, make_prompt(), now=1.1))
        self.assertEqual("s2", server_of(choose(routing, make_prompt(), now=2.0)))

    def test_back_off_never_empties_a_pool(self):
        routing = make_routing(make_row("s1"), make_row("s2"))
        routing.servers[ServerId("s1")].on_unreachable(1.0)
        self.assertEqual("s2", server_of(choose(routing, make_prompt(), now=1.1)))
        routing.servers[ServerId("s2")].on_unreachable(1.0)
        self.assertIsInstance(choose(routing, make_prompt(), now=1.1), ServerChoice)

    def test_servers_to_which_the_request_was_sent_are_excluded(self):
        routing = make_routing(make_row("s1"), make_row("s2"))
        self.assertEqual("s2", server_of(choose(routing, make_prompt(), excluded=["s1"])))
        self.assertIs(NoServerReason.BUSY, choose(routing, make_prompt(), excluded=["s1", "s2"]))

    def test_a_server_in_slow_start_gets_no_more_than_this_nodes_share(self):
        pool = make_pool(cold_per_s=4.0, cold_start_s=3.0)
        routing = make_routing(
            make_row("s1", cold_remaining_s=3.0),
            pools=[pool],
            nodes=("n1", "n2"),
            fleet_limits=FleetLimits(slow_start=SlowStartConfig(1.5, 0.0)),
        )
        sent = 0
        while isinstance(choice := choose(routing, make_prompt(), now=0.5), ServerChoice):
            choice.server.slow_start_limiter.record_sent(0.5)
            sent += 1
        self.assertEqual(1, sent)
        self.assertIsInstance(choose(routing, make_prompt(), now=4.0), ServerChoice)

    def test_servers_are_in_slow_start_after_the_evacuation_of_their_zone_ends(self):
        pool = make_pool(cold_per_s=4.0, cold_start_s=3.0)
        routing = make_routing(make_row("s1"), pools=[pool])
        routing.apply_document(make_document(2, [make_route()], [pool], ["z1"]), 10.0)
        routing.apply_document(make_document(3, [make_route()], [pool]), 20.0)
        self.assertTrue(routing.servers[ServerId("s1")].is_in_slow_start(22.0))
        self.assertFalse(routing.servers[ServerId("s1")].is_in_slow_start(25.0))


class ScorerTest(testtools.TestCase):
    def test_nodes_agree_on_a_server_for_a_shared_prompt_part(self):
        rows = [make_row(f"s{number}") for number in range(1, 6)]
        chosen = set()
        for node in ("n1", "n2", "n3"):
            routing = make_routing(*rows)
            routing.member = node
            chosen.add(server_of(choose(routing, make_prompt())))
        self.assertEqual(1, len(chosen))

    def test_a_busy_preferred_server_is_avoided(self):
        routing = make_routing(make_row("s1"), make_row("s2"))
        preferred = choose(routing, make_prompt()).server
        preferred.outstanding = 5
        self.assertNotEqual(preferred.server, server_of(choose(routing, make_prompt())))

    def test_this_nodes_zone_is_preferred_among_equal_servers(self):
        routing = make_routing(make_row("s1", zone="z2"), make_row("s2", zone="z1"))
        self.assertEqual("s2", server_of(choose(routing)))

    def test_baseline_scorers_are_chosen_by_name(self):
        routing = make_routing(make_row("s1"), make_row("s2"))
        chain = PolicyChain(make_scorers(["round-robin"]))
        turns = [server_of(choose(routing, chain=chain)) for _ in range(4)]
        self.assertEqual([turns[0], turns[1]] * 2, turns)
        routing.servers[ServerId("s1")].outstanding = 1
        chain = PolicyChain(make_scorers(["least-outstanding"]))
        self.assertEqual("s2", server_of(choose(routing, chain=chain)))
