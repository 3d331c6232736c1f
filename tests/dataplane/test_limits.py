"""Limits that learn, failure detection and slow start."""

from __future__ import annotations

import math

import testtools

from tests.dataplane.builders import COLD, DOWN, directory, intent, server_row, world
from zincvale.dataplane.inference.routing_state import World
from zincvale.dataplane.resilience.exchange_evidence import (
    ExchangeEnd,
    ExchangeReport,
    HealthChange,
    record_exchange_end,
)
from zincvale.dataplane.resilience.limits import AdaptiveConcurrency, AdaptiveRate, RetryBudget
from zincvale.dataplane.resilience.outlier_detection import OutlierDetector
from zincvale.dataplane.resilience.throughput import ThroughputMeter
from zincvale.model.identifiers import MemberId, ZoneName
from zincvale.model.view import MemberRow, Members, Role


def node_row(name, ready=True):
    return MemberRow(MemberId(name), Role.NODE, ZoneName("a"), "x:1", "x:2", ready=ready)


class AdaptiveConcurrencyTest(testtools.TestCase):
    def test_it_grows_while_used_and_fast(self):
        limit = AdaptiveConcurrency(16.0, 4.0)
        for step in range(200):
            limit.on_answered(0.1, outstanding=int(limit.limit), now=step * 0.1)
        self.assertEqual(16.0, limit.limit)

    def test_it_does_not_grow_unused(self):
        limit = AdaptiveConcurrency(16.0, 4.0)
        for step in range(200):
            limit.on_answered(0.1, outstanding=1, now=step * 0.1)
        self.assertEqual(4.0, limit.limit)

    def test_rising_latency_shrinks_it(self):
        limit = AdaptiveConcurrency(16.0, 8.0)
        for step in range(20):
            limit.on_answered(0.1, outstanding=8, now=step * 0.1)
        before = limit.limit
        for step in range(40):
            limit.on_answered(1.0, outstanding=16, now=3.0 + step * 0.25)
        self.assertLess(limit.limit, before * 0.6)

    def test_one_burst_of_refusals_counts_once_and_the_floor_holds(self):
        limit = AdaptiveConcurrency(10.0, 10.0)
        for _ in range(50):
            limit.on_overloaded(1.0)
        self.assertEqual(8.0, limit.limit)
        for step in range(100):
            limit.on_overloaded(2.0 + step)
        self.assertEqual(1.0, limit.limit)


class AdaptiveRateTest(testtools.TestCase):
    def sent(self, rate, seconds, start=0.0):
        count = 0
        for step in range(int(seconds * 100)):
            now = start + step / 100
            if rate.wait_s(now) == 0.0:
                rate.take(now)
                count += 1
        return count

    def test_without_refusals_a_node_may_use_the_whole_rate_and_a_short_burst(self):
        rate = AdaptiveRate(4.0, nodes=8)
        self.assertEqual(1 + 40, self.sent(rate, 10.01))
        self.assertEqual(2 + 40, self.sent(rate, 10.01, start=20.0))

    def test_answers_raise_it_to_the_configured_rate_and_refusals_lower_it_to_half_a_share(self):
        rate = AdaptiveRate(4.0, nodes=4)
        for step in range(100):
            rate.on_refused(float(step))
        self.assertEqual(0.5, rate.rate_per_s)
        for _ in range(5):
            rate.on_answered()
        self.assertEqual(4.0, rate.rate_per_s)

    def test_without_a_configured_rate_refusals_teach_it_from_what_was_sent(self):
        rate = AdaptiveRate(math.inf)
        for step in range(50):
            rate.take(step * 0.1)
        rate.on_refused(5.0)
        self.assertAlmostEqual(8.0, rate.rate_per_s, places=1)


class ThroughputMeterTest(testtools.TestCase):
    def meter(self, per_s, seconds):
        meter = ThroughputMeter()
        meter.on_backlog(3, 0.0)
        for step in range(int(per_s * seconds)):
            meter.on_completed(step / per_s)
        return meter

    def test_what_was_got_while_requests_waited_bounds_the_estimate(self):
        meter = self.meter(per_s=2, seconds=6)
        self.assertTrue(2.0 < meter.bound(13.5, 0.1, 6.0) < 3.0)
        self.assertEqual(1.0, meter.bound(1.0, 0.1, 6.0))

    def test_a_short_backlog_proves_nothing(self):
        meter = self.meter(per_s=2, seconds=6)
        self.assertEqual(13.5, meter.bound(13.5, 0.1, 0.9))
        self.assertEqual(13.5, meter.bound(13.5, 4.0, 6.0))
        meter.on_backlog(0, 6.0)
        meter.on_backlog(1, 6.1)
        self.assertEqual(13.5, meter.bound(13.5, 0.1, 6.2))

    def test_old_completions_are_forgotten(self):
        meter = self.meter(per_s=10, seconds=2)
        self.assertLess(meter.bound(99.0, 0.1, 60.0), 0.2)


class RetryBudgetTest(testtools.TestCase):
    def test_retries_stay_a_part_of_the_requests(self):
        budget = RetryBudget()
        granted = 0
        for _ in range(1000):
            budget.on_request()
            granted += budget.take()
        self.assertLessEqual(granted, 1000 * 0.2 + 10)


class FailureDetectorTest(testtools.TestCase):
    def test_three_failures_eject_for_a_doubling_time_with_one_probe_in_between(self):
        detector = OutlierDetector()
        self.assertEqual([False, False, True], [detector.on_failure(0.0) for _ in range(3)])
        self.assertTrue(detector.is_ejected(0.9))
        self.assertFalse(detector.is_ejected(1.0))
        detector.on_dispatched(1.0)
        self.assertTrue(detector.is_ejected(1.1))
        self.assertTrue(detector.on_failure(1.2))
        self.assertTrue(detector.is_ejected(3.1))
        self.assertFalse(detector.is_ejected(3.2))
        detector.on_dispatched(3.2)
        self.assertTrue(detector.on_success())
        self.assertFalse(detector.is_ejected(3.3))

    def test_a_timeout_is_a_failure_only_after_ample_time(self):
        made = world(server_row("s1"))
        state = made.servers["s1"]
        for duration, counted in ((0.4, 0), (1.6, 1)):
            report = ExchangeReport(ExchangeEnd.TIMED_OUT, 0.0, duration, 8)
            self.assertIs(HealthChange.NONE, record_exchange_end(state, report))
            self.assertEqual(counted, state.failures.consecutive)


class WorldTest(testtools.TestCase):
    def test_older_tables_are_ignored(self):
        made = world(server_row("s1"), version=5)
        self.assertFalse(made.apply_intent(made.intent.__class__(4)))
        self.assertFalse(made.apply_directory(directory(version=0), 1.0))
        self.assertIn("s1", made.servers)

    def test_a_server_that_came_back_ramps_up_and_its_old_failures_are_forgotten(self):
        made = world(server_row("s1", incarnation="one"), max_concurrent_per_server=20)
        state = made.servers["s1"]
        state.concurrency.limit = 20.0
        self.assertEqual(20.0, state.concurrency_limit(0.0))
        for _ in range(3):
            state.failures.on_failure(0.0)
        made.apply_directory(directory(server_row("s1", incarnation="two"), version=2), 10.0)
        self.assertIs(state, made.servers["s1"])
        self.assertFalse(state.failures.is_ejected(10.0))
        limits = [state.concurrency_limit(10.0 + seconds) for seconds in (0.0, 4.0, 8.0)]
        self.assertEqual([2.0, 10.0, 20.0], limits)

    def test_all_nodes_together_stay_within_the_ramp_of_a_server_that_warms_up(self):
        names = [f"n{number}" for number in range(8)]
        rows = {MemberId(name): node_row(name) for name in names}
        limits_by_time = []
        for seconds in (0.0, 2.0, 4.0, 7.9):
            limits = []
            for name in names:
                made = World(ZoneName("a"), MemberId(name))
                made.apply_intent(intent(max_concurrent_per_server=16))
                made.apply_members(Members(1, rows))
                made.apply_directory(directory(server_row("s1", health=COLD)), 0.0)
                made.servers["s1"].concurrency.limit = 16.0
                limits.append(made.servers["s1"].concurrency_limit(seconds))
            limits_by_time.append(sum(limits))
        self.assertEqual([1.0, 4.0, 8.0, 15.0], limits_by_time)

    def test_the_ramp_of_a_cold_server_begins_with_its_first_model(self):
        made = world(server_row("s1", health=COLD, models=()))
        made.apply_directory(directory(server_row("s1", health=COLD), version=2), 50.0)
        made.apply_directory(directory(server_row("s1", health=COLD), version=3), 60.0)
        self.assertEqual(50.0, made.servers["s1"].ready_since)

    def test_a_cold_server_that_tells_what_it_takes_gets_so_much_of_all_nodes_together(self):
        rows = {MemberId(name): node_row(name) for name in ("n1", "n2", "n3")}
        for told in (1, 2, 5):
            limits = []
            for name in rows:
                made = World(ZoneName("a"), MemberId(name))
                made.apply_intent(intent(max_concurrent_per_server=16))
                made.apply_members(Members(1, rows))
                cold = server_row("s1", health=COLD, max_running=told)
                made.apply_directory(directory(cold), 0.0)
                limits.append(made.servers["s1"].concurrency_limit(100.0))
            self.assertEqual(told, sum(limits))
        made.apply_directory(directory(server_row("s1", max_running=16), version=2), 101.0)
        self.assertEqual(8.0, made.servers["s1"].concurrency_limit(101.0))

    def test_a_server_that_says_it_is_cold_is_left_alone_and_ramps_up_again(self):
        made = world(server_row("s1"))
        state = made.servers["s1"]
        record_exchange_end(state, ExchangeReport(ExchangeEnd.COLD, 0.0, 5.0, 8))
        self.assertEqual((6.0, 1.0), (state.paused_until, state.concurrency_limit(5.0)))

    def test_a_server_that_was_down_ramps_up_too(self):
        made = world(server_row("s1", health=DOWN))
        made.apply_directory(directory(server_row("s1"), version=2), 10.0)
        self.assertEqual(10.0, made.servers["s1"].ready_since)

    def test_the_server_limit_counts_when_it_is_lower_than_the_pool_limit(self):
        made = world(server_row("s1", max_running=4), max_concurrent_per_server=16)
        self.assertEqual(4.0, made.servers["s1"].concurrency.ceiling)

    def test_rates_are_shared_by_the_ready_nodes(self):
        made = world(server_row("s1"), max_requests_per_second_per_server=4.0)
        rows = {MemberId(name): node_row(name, ready=name != "n3") for name in ("n1", "n2", "n3")}
        made.apply_members(Members(1, rows))
        self.assertEqual(2, made.servers["s1"].rate.nodes)
