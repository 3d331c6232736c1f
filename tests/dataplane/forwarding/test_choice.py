"""Which server a request goes to, by the node's tables."""

from __future__ import annotations

import attrs
import testtools

from tests.dataplane.forwarding.builders import (
    make_directory,
    make_document,
    make_pool,
    make_prompt,
    make_route,
    make_row,
    make_world,
)
from zincvale.dataplane.forwarding.fleet_budgets import ColdTerms
from zincvale.dataplane.forwarding.policies import (
    Blocked,
    Chosen,
    PolicyChain,
    Query,
    scorers_named,
)
from zincvale.dataplane.forwarding.routing_state import ForwardingTerms
from zincvale.dataplane.forwarding.servers import Residency
from zincvale.model.identifiers import ServerId


def choose(world, prompt=None, excluded=(), now=1.0, chain=None):
    chain = chain or PolicyChain(scorers_named([]))
    query = Query(make_route(), "p", prompt, world, frozenset(excluded), now)
    return chain.choose(query)


def server_of(choice):
    assert isinstance(choice, Chosen), choice
    return choice.server.server


class FilterTest(testtools.TestCase):
    def test_draining_and_evacuated_servers_get_nothing(self):
        world = make_world(make_row("s1", draining=True), make_row("s2", zone="z2"))
        self.assertEqual("s2", server_of(choose(world, make_prompt())))
        document = make_document(2, [make_route()], [make_pool()], ["z2"])
        world.apply_document(document, 0.0)
        self.assertIs(Blocked.NO_SERVER, choose(world, make_prompt()))

    def test_what_is_not_resident_is_waited_for(self):
        world = make_world(make_row("s1", models=("other",)))
        self.assertIs(Blocked.NOT_RESIDENT, choose(world, make_prompt()))
        world = make_world(make_row("s1"))
        self.assertIs(Blocked.NO_ADAPTER, choose(world, make_prompt(adapter="a1")))
        world = make_world(make_row("s1", models=("other",)))
        self.assertIs(Blocked.NOT_RESIDENT, choose(world, make_prompt(adapter="a1")))
        world = make_world(make_row("s1", adapters=("m/a1",)))
        self.assertEqual("s1", server_of(choose(world, make_prompt(adapter="a1"))))

    def test_the_leaders_word_counts_for_the_incarnation_it_speaks_of(self):
        world = make_world(make_row("s1", models=()))
        told = {ServerId("s1"): Residency("s1", frozenset({"m"}), frozenset())}
        world.apply_residencies(told)
        self.assertEqual("s1", server_of(choose(world, make_prompt())))
        world.apply_directory(make_directory(make_row("s1", models=(), incarnation="s1b")), 1.0)
        self.assertIs(Blocked.NOT_RESIDENT, choose(world, make_prompt()))

    def test_what_is_closing_or_was_denied_gets_nothing(self):
        world = make_world(make_row("s1"), make_row("s2"))
        left = {ServerId("s1"): Residency("s1", frozenset(), frozenset())}
        world.apply_residencies(left)
        self.assertEqual("s2", server_of(choose(world, make_prompt())))
        world.servers[ServerId("s2")].note_absent(make_prompt(), 1.0)
        self.assertIs(Blocked.NOT_RESIDENT, choose(world, make_prompt(), now=1.1))
        self.assertEqual("s2", server_of(choose(world, make_prompt(), now=2.0)))

    def test_evidence_of_failures_never_empties_a_pool(self):
        world = make_world(make_row("s1"), make_row("s2"))
        world.servers[ServerId("s1")].note_unreachable(1.0)
        self.assertEqual("s2", server_of(choose(world, make_prompt(), now=1.1)))
        world.servers[ServerId("s2")].note_unreachable(1.0)
        self.assertIsInstance(choose(world, make_prompt(), now=1.1), Chosen)

    def test_servers_that_were_tried_are_left_out(self):
        world = make_world(make_row("s1"), make_row("s2"))
        self.assertEqual("s2", server_of(choose(world, make_prompt(), excluded=["s1"])))
        self.assertIs(Blocked.BUSY, choose(world, make_prompt(), excluded=["s1", "s2"]))

    def test_a_cold_server_gets_this_nodes_share(self):
        pool = make_pool(cold_per_s=4.0, cold_start_s=3.0)
        world = make_world(
            make_row("s1", cold_remaining_s=3.0),
            pools=[pool],
            nodes=("n1", "n2"),
            terms=ForwardingTerms(cold=ColdTerms(1.5, 0.0)),
        )
        sent = 0
        while isinstance(choice := choose(world, make_prompt(), now=0.5), Chosen):
            choice.server.cold_allowance.note_sent(0.5)
            sent += 1
        self.assertEqual(1, sent)
        self.assertIsInstance(choose(world, make_prompt(), now=4.0), Chosen)

    def test_a_zone_that_is_opened_again_counts_as_cold(self):
        pool = make_pool(cold_per_s=4.0, cold_start_s=3.0)
        world = make_world(make_row("s1"), pools=[pool])
        world.apply_document(make_document(2, [make_route()], [pool], ["z1"]), 10.0)
        world.apply_document(make_document(3, [make_route()], [pool]), 20.0)
        self.assertTrue(world.servers[ServerId("s1")].is_cold(22.0))
        self.assertFalse(world.servers[ServerId("s1")].is_cold(25.0))


class ScorerTest(testtools.TestCase):
    def test_nodes_choose_alike_for_a_shared_prompt_part(self):
        rows = [make_row(f"s{number}") for number in range(1, 6)]
        chosen = set()
        for node in ("n1", "n2", "n3"):
            world = make_world(*rows)
            world.member = node
            chosen.add(server_of(choose(world, make_prompt())))
        self.assertEqual(1, len(chosen))

    def test_a_crowded_home_is_left(self):
        world = make_world(make_row("s1"), make_row("s2"))
        home = choose(world, make_prompt()).server
        home.outstanding = 5
        self.assertNotEqual(home.server, server_of(choose(world, make_prompt())))

    def test_the_own_zone_is_preferred_where_nothing_else_speaks(self):
        world = make_world(make_row("s1", zone="z2"), make_row("s2", zone="z1"))
        self.assertEqual("s2", server_of(choose(world)))

    def test_baselines_are_named_in_the_settings(self):
        world = make_world(make_row("s1"), make_row("s2"))
        chain = PolicyChain(scorers_named(["round-robin"]))
        turns = [server_of(choose(world, chain=chain)) for _ in range(4)]
        self.assertEqual([turns[0], turns[1]] * 2, turns)
        world.servers[ServerId("s1")].outstanding = 1
        chain = PolicyChain(scorers_named(["least-outstanding"]))
        self.assertEqual("s2", server_of(choose(world, chain=chain)))


class WorldTest(testtools.TestCase):
    def test_evidence_stays_with_the_incarnation(self):
        world = make_world(make_row("s1"))
        world.servers[ServerId("s1")].outstanding = 3
        world.apply_directory(make_directory(make_row("s1", draining=True)), 1.0)
        self.assertEqual(3, world.servers[ServerId("s1")].outstanding)
        world.apply_directory(make_directory(make_row("s1", incarnation="new")), 1.0)
        self.assertEqual(0, world.servers[ServerId("s1")].outstanding)

    def test_an_older_document_is_not_taken(self):
        world = make_world(make_row("s1"))
        newer = attrs.evolve(make_document(5, [make_route("new")], [make_pool()]))
        self.assertTrue(world.apply_document(newer, 0.0))
        self.assertFalse(world.apply_document(make_document(4, [make_route()]), 0.0))
        self.assertIsNotNone(world.routes.find("a.example", "/new/x"))
