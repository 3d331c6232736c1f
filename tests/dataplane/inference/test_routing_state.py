"""Routing tables: updates, slow start, and the concurrency and rate limits of servers."""

from __future__ import annotations

import testtools

from tests.dataplane.inference.builders import (
    COLD,
    DOWN,
    directory,
    intent,
    routing_state,
    server_row,
)
from zincvale.dataplane.inference.routing_state import RoutingState
from zincvale.dataplane.resilience.exchange_evidence import (
    ExchangeEnd,
    ExchangeReport,
    record_exchange_end,
)
from zincvale.model.control_tables import MemberRow, Members, Role
from zincvale.model.identifiers import MemberId, ZoneName


def node_row(name, ready=True):
    return MemberRow(MemberId(name), Role.NODE, ZoneName("a"), "x:1", "x:2", ready=ready)


class RoutingStateTest(testtools.TestCase):
    def test_older_tables_are_ignored(self):
        tables = routing_state(server_row("s1"), version=5)
        self.assertFalse(tables.apply_intent(tables.intent.__class__(4)))
        self.assertFalse(tables.apply_directory(directory(version=0), 1.0))
        self.assertIn("s1", tables.servers)

    def test_a_restarted_server_ramps_up_and_its_earlier_failures_are_forgotten(self):
        tables = routing_state(server_row("s1", incarnation="one"), max_concurrent_per_server=20)
        server = tables.servers["s1"]
        server.concurrency.limit = 20.0
        self.assertEqual(20.0, server.concurrency_limit(0.0))
        for _ in range(3):
            server.failures.on_failure(0.0)
        tables.apply_directory(directory(server_row("s1", incarnation="two"), version=2), 10.0)
        self.assertIs(server, tables.servers["s1"])
        self.assertFalse(server.failures.is_ejected(10.0))
        limits = [server.concurrency_limit(10.0 + seconds) for seconds in (0.0, 4.0, 8.0)]
        self.assertEqual([2.0, 10.0, 20.0], limits)

    def test_all_nodes_together_stay_within_the_ramp_of_a_server_that_warms_up(self):
        names = [f"n{number}" for number in range(8)]
        rows = {MemberId(name): node_row(name) for name in names}
        limits_by_time = []
        for seconds in (0.0, 2.0, 4.0, 7.9):
            limits = []
            for name in names:
                tables = RoutingState(ZoneName("a"), MemberId(name))
                tables.apply_intent(intent(max_concurrent_per_server=16))
                tables.apply_members(Members(1, rows))
                tables.apply_directory(directory(server_row("s1", health=COLD)), 0.0)
                tables.servers["s1"].concurrency.limit = 16.0
                limits.append(tables.servers["s1"].concurrency_limit(seconds))
            limits_by_time.append(sum(limits))
        self.assertEqual([1.0, 4.0, 8.0, 15.0], limits_by_time)

    def test_the_ramp_of_a_cold_server_begins_with_its_first_model(self):
        tables = routing_state(server_row("s1", health=COLD, models=()))
        tables.apply_directory(directory(server_row("s1", health=COLD), version=2), 50.0)
        tables.apply_directory(directory(server_row("s1", health=COLD), version=3), 60.0)
        self.assertEqual(50.0, tables.servers["s1"].ready_since)

    def test_the_reported_limit_of_a_cold_server_is_divided_among_the_nodes(self):
        rows = {MemberId(name): node_row(name) for name in ("n1", "n2", "n3")}
        for reported_limit in (1, 2, 5):
            limits = []
            for name in rows:
                tables = RoutingState(ZoneName("a"), MemberId(name))
                tables.apply_intent(intent(max_concurrent_per_server=16))
                tables.apply_members(Members(1, rows))
                cold = server_row("s1", health=COLD, max_running=reported_limit)
                tables.apply_directory(directory(cold), 0.0)
                limits.append(tables.servers["s1"].concurrency_limit(100.0))
            self.assertEqual(reported_limit, sum(limits))
        tables.apply_directory(directory(server_row("s1", max_running=16), version=2), 101.0)
        self.assertEqual(8.0, tables.servers["s1"].concurrency_limit(101.0))

    def test_a_refusal_as_cold_pauses_the_server_and_restarts_its_ramp(self):
        tables = routing_state(server_row("s1"))
        server = tables.servers["s1"]
        record_exchange_end(server, ExchangeReport(ExchangeEnd.COLD, 0.0, 5.0, 8))
        self.assertEqual((6.0, 1.0), (server.paused_until, server.concurrency_limit(5.0)))

    def test_a_server_that_was_down_ramps_up(self):
        tables = routing_state(server_row("s1", health=DOWN))
        tables.apply_directory(directory(server_row("s1"), version=2), 10.0)
        self.assertEqual(10.0, tables.servers["s1"].ready_since)

    def test_a_server_limit_below_the_pool_limit_applies(self):
        tables = routing_state(server_row("s1", max_running=4), max_concurrent_per_server=16)
        self.assertEqual(4.0, tables.servers["s1"].concurrency.ceiling)

    def test_rates_are_shared_by_the_ready_nodes(self):
        tables = routing_state(server_row("s1"), max_requests_per_second_per_server=4.0)
        rows = {MemberId(name): node_row(name, ready=name != "n3") for name in ("n1", "n2", "n3")}
        tables.apply_members(Members(1, rows))
        self.assertEqual(2, tables.servers["s1"].rate.nodes)
