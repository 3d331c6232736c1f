"""The policy chain: which servers are excluded or preferred, and for which reasons."""

from __future__ import annotations

from collections import Counter
from random import Random

import testtools

from tests.dataplane.inference.builders import (
    DOWN,
    inference_request,
    request,
    route,
    routing_state,
    server_row,
)
from zincvale.dataplane.inference.routing import Choice, NoChoice, build_chain
from zincvale.dataplane.policies.base import Blocked, Filter, Query, Scorer
from zincvale.dataplane.policies.prefix_affinity import prefix_keys
from zincvale.dataplane.policies.registry import make_policy
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import PoolName
from zincvale.model.resources import PoolKind, PoolSpec

SHARED = "shared prefix " * 40


class OnlyServersNamedB(Filter):
    """A third-party filter."""

    name = "only-b"

    def reject(self, query, server):
        return None if server.row.server.startswith("b") else "not a b"


class PrefersS3(Scorer):
    """A third-party scorer."""

    name = "prefers-s3"

    def nominate(self, query, servers):
        return next((server for server in servers if server.row.server == "s3"), None)

    def cost(self, query, server):
        return 0.0 if server.row.server == "s3" else 1.0


class RoutingTestCase(testtools.TestCase):
    def build(self, *rows, policies=(), **changes):
        tables = routing_state(*rows, policies=list(policies), **changes)
        return tables, build_chain(tables.pools[PoolName("lm")].spec)

    def query(self, tables, inference=None, now=100.0, excluded=frozenset()):
        pool = tables.pools[PoolName("lm")]
        return Query(request(inference=inference), route(), pool, tables, now, excluded)

    def count_choices(self, tables, chain, inference=None, times=200):
        random = Random(7)
        chosen: Counter = Counter()
        for _ in range(times):
            choice = chain.choose(self.query(tables, inference), random)
            chosen[choice.server.row.server] += 1
        return chosen


class FilterTest(RoutingTestCase):
    def test_each_filter_gives_its_reason(self):
        rows = (
            server_row("s1", health=DOWN),
            server_row("s2", models=()),
            server_row("s3", zone="b"),
            server_row("s4"),
        )
        tables, chain = self.build(*rows, evacuated=["b"])
        choice = chain.choose(self.query(tables), Random(1))
        self.assertEqual("s4", choice.server.server)
        reasons = [(n.policy, n.reason, n.kept) for n in choice.reasons if n.kind == "filter"]
        expected = [
            ("zone", "zone b is evacuated", 3),
            ("health", "down", 2),
            ("residency", "model is not resident", 1),
        ]
        self.assertEqual(expected, reasons)

    def test_health_and_ejection_never_empty_a_pool_but_drain_does(self):
        tables, chain = self.build(server_row("s1", health=DOWN), server_row("s2", health=DOWN))
        for state in tables.servers.values():
            for _ in range(3):
                state.failures.on_failure(100.0)
        self.assertIsInstance(chain.choose(self.query(tables), Random(1)), Choice)
        tables, chain = self.build(server_row("s1"), drained=["s1"])
        choice = chain.choose(self.query(tables), Random(1))
        self.assertEqual(NoChoice(Blocked.NO_SERVER, choice.reasons), choice)

    def test_an_ejected_server_is_excluded_while_others_are_in_service(self):
        tables, chain = self.build(server_row("s1"), server_row("s2"))
        for _ in range(3):
            tables.servers["s1"].failures.on_failure(100.0)
        self.assertEqual({"s2": 200}, dict(self.count_choices(tables, chain)))

    def test_a_server_that_refused_is_not_retried_at_once(self):
        tables, chain = self.build(server_row("s1"))
        choice = chain.choose(self.query(tables, excluded=frozenset({"s1"})), Random(1))
        self.assertIs(Blocked.BUSY, choice.blocked)


class ScorerTest(RoutingTestCase):
    def test_of_two_sampled_servers_the_one_with_less_outstanding_work_is_chosen(self):
        tables, chain = self.build(*[server_row(f"s{n}") for n in range(4)])
        tables.servers["s0"].outstanding_tokens = 5000
        chosen = self.count_choices(tables, chain, inference_request(prompt="short"))
        self.assertEqual(0, chosen["s0"])
        self.assertEqual(3, len([name for name in chosen if chosen[name] > 40]))

    def test_the_own_zone_is_preferred_until_it_is_busier(self):
        tables, chain = self.build(server_row("s1"), server_row("s2", zone="b"))
        self.assertEqual({"s1": 200}, dict(self.count_choices(tables, chain)))
        tables.servers["s1"].outstanding_tokens = 100
        self.assertEqual({"s2": 200}, dict(self.count_choices(tables, chain)))

    def test_a_server_that_just_became_ready_costs_more(self):
        tables, chain = self.build(server_row("s1"), server_row("s2"))
        tables.servers["s1"].ready_since = 99.0
        self.assertEqual({"s2": 200}, dict(self.count_choices(tables, chain)))

    def test_a_shared_prefix_goes_to_one_server_until_its_load_reaches_the_bound(self):
        tables, chain = self.build(*[server_row(f"s{n}") for n in range(5)])
        inference = inference_request(prompt=SHARED + "tail")
        (chosen,) = self.count_choices(tables, chain, inference)
        tables.servers[chosen].outstanding_tokens = 10_000
        self.assertNotIn(chosen, self.count_choices(tables, chain, inference))

    def test_all_nodes_choose_the_same_server_for_a_prefix_without_coordination(self):
        inference = inference_request(prompt=SHARED)
        servers = set()
        for _ in range(4):
            tables, chain = self.build(*[server_row(f"s{n}") for n in range(5)])
            servers |= set(self.count_choices(tables, chain, inference, times=1))
        self.assertEqual(1, len(servers))

    def test_prefix_keys_differ_by_model_and_adapter_and_share_the_common_blocks(self):
        one = prefix_keys(inference_request(prompt=SHARED + "x" * 600))
        other = prefix_keys(inference_request(prompt=SHARED + "y" * 600))
        self.assertEqual(one[:2], other[:2])
        self.assertNotEqual(one[2:], other[2:])
        self.assertNotEqual(
            one, prefix_keys(inference_request(prompt=SHARED + "x" * 600, adapter="a"))
        )


class PluginTest(RoutingTestCase):
    def test_third_party_policies_are_named_by_module_and_class(self):
        rows = (server_row("s1"), server_row("b1"), server_row("b2"))
        tables, chain = self.build(*rows, policies=[f"{__name__}:OnlyServersNamedB"])
        self.assertEqual({"b1", "b2"}, set(self.count_choices(tables, chain)))

    def test_a_scorer_may_nominate_a_server_outside_the_sample(self):
        rows = [server_row(f"s{n}") for n in range(6)]
        tables, chain = self.build(*rows, policies=[f"{__name__}:PrefersS3"])
        self.assertEqual({"s3": 200}, dict(self.count_choices(tables, chain)))

    def test_an_unknown_policy_is_reported_and_the_mandatory_filters_still_apply(self):
        chain = build_chain(PoolSpec(policies=["nope", "least-outstanding"]))
        self.assertIn("'nope' is not known", chain.problems[0].problem)
        names = [policy.name for policy in chain.filters]
        self.assertEqual(
            ["zone", "drain", "health", "residency", "ejection", "excluded", "capacity"], names
        )
        for bad in ("os:path", "no.such.module:X", "random:Random"):
            self.assertRaises(InvalidInputError, make_policy, bad)

    def test_lookup_pools_have_no_residency_filter(self):
        chain = build_chain(PoolSpec(kind=PoolKind.LOOKUP))
        self.assertNotIn("residency", [policy.name for policy in chain.filters])
