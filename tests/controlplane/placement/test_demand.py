"""Demand averages, the daily profile, learned load times, store limits and demand reports."""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.placement.driver import (
    GB,
    Driver,
    loads_in,
    make_intent,
    make_row,
    orders_in,
)
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.demand import Demand
from zincvale.controlplane.placement.events import IntentChanged
from zincvale.controlplane.placement.items import model_key
from zincvale.controlplane.placement.load_times import LoadTimes
from zincvale.controlplane.placement.stores import PlannedPulls, StoreState

CONFIG = PlacementConfig(day_s=4800.0)


class DemandTests(testtools.TestCase):
    def make_steady(self, interval_s: float, seconds: float) -> Demand:
        demand = Demand.begin(CONFIG, 0.0)
        at = 0.0
        while at < seconds:
            demand.add(1, at, CONFIG)
            at += interval_s
        return demand

    def test_steady_rate_is_estimated_before_a_half_life_has_passed(self):
        demand = self.make_steady(interval_s=20.0, seconds=600.0)
        self.assertTrue(abs(demand.slow_rate(600.0) - 0.05) < 0.005)

    def test_rate_drops_to_a_quarter_after_two_half_lives(self):
        demand = self.make_steady(interval_s=20.0, seconds=7200.0)
        later = 7200.0 + 2 * CONFIG.slow_half_life_s
        self.assertTrue(abs(demand.slow_rate(later) / demand.slow_rate(7200.0) - 0.25) < 0.05)

    def test_short_burst_gives_a_lower_rate_than_steady_demand(self):
        crowd = self.make_steady(interval_s=0.3, seconds=60.0)
        steady = self.make_steady(interval_s=30.0, seconds=1800.0)
        self.assertTrue(crowd.slow.count > steady.slow.count)
        self.assertTrue(crowd.slow_rate(1800.0) < steady.slow_rate(1800.0))

    def test_steady_demand_counts_with_its_full_rate(self):
        demand = self.make_steady(interval_s=0.1, seconds=3600.0)
        self.assertTrue(abs(demand.slow_rate(3600.0) - 10.0) < 0.5)

    def test_rate_at_a_time_of_day_is_predicted_from_earlier_days(self):
        demand = Demand.begin(CONFIG, 0.0)
        for day in range(3):
            for number in range(60):
                demand.add(1, day * 4800.0 + 1000.0 + number * 10.0, CONFIG)
        now = 3 * 4800.0
        busy = demand.predicted_rate(now + 1200.0, now, CONFIG)
        idle = demand.predicted_rate(now + 3000.0, now, CONFIG)
        self.assertTrue(abs(busy - 0.1) < 0.02)
        self.assertEqual(0.0, idle)

    def test_no_rate_is_predicted_without_history(self):
        demand = self.make_steady(interval_s=10.0, seconds=100.0)
        self.assertIsNone(demand.predicted_rate(3000.0, 100.0, CONFIG))


class LoadTimeTests(testtools.TestCase):
    def test_load_time_falls_back_from_item_to_server_to_store_to_declared_rate(self):
        times = LoadTimes()
        self.assertEqual(8.0, times.expected_s("model/a", 8 * GB, "s1", "weights", GB))
        times.observe("model/a", 8 * GB, "s1", "weights", 4.0)
        self.assertEqual(4.0, times.expected_s("model/a", 8 * GB, "s1", "weights", GB))
        self.assertEqual(2.0, times.expected_s("model/b", 4 * GB, "s1", "weights", GB))
        self.assertEqual(1.0, times.expected_s("model/b", 2 * GB, "s2", "weights", GB))
        self.assertEqual(2.0, times.expected_s("model/b", 2 * GB, "s2", "other", GB))

    def test_newer_load_times_have_more_weight(self):
        times = LoadTimes()
        for took_s in (4.0, 8.0, 8.0, 8.0, 8.0, 8.0):
            times.observe("model/a", 8 * GB, "s1", "weights", took_s)
        self.assertTrue(7.0 < times.expected_s("model/a", 8 * GB, "s1", "weights", GB) < 8.0)


class StoreBudgetTests(testtools.TestCase):
    def make_store(self) -> StoreState:
        return StoreState("weights", "10.0.9.1:9100", GB, 3)

    def test_no_large_load_is_ordered_until_the_backlog_is_within_the_burst(self):
        config = PlacementConfig(store_burst_s=1.0)
        store = self.make_store()
        store.record_order(10 * GB, 0.0, config)
        self.assertFalse(store.may_order(5 * GB, 8.9, config))
        self.assertTrue(store.may_order(5 * GB, 9.01, config))
        self.assertEqual(9.0, self.make_store_with_backlog().free_at(0.0, config))

    def make_store_with_backlog(self) -> StoreState:
        store = self.make_store()
        store.record_order(10 * GB, 0.0, PlacementConfig(store_burst_s=1.0))
        return store

    def test_small_item_is_ordered_despite_the_backlog_within_its_share(self):
        config = PlacementConfig(store_burst_s=1.0)
        store = self.make_store_with_backlog()
        self.assertTrue(store.may_order(GB // 2, 0.0, config))
        store.record_order(GB // 2, 0.0, config)
        self.assertFalse(store.may_order(GB // 2, 0.0, config))
        self.assertTrue(store.may_order(GB // 2, 2.0, config))

    def test_concurrent_loads_are_limited_by_slots(self):
        config = PlacementConfig(store_burst_s=1000.0)
        store = self.make_store()
        for _ in range(3):
            self.assertTrue(store.may_order(GB, 0.0, config))
            store.record_order(GB, 0.0, config)
        self.assertFalse(store.may_order(1, 0.0, config))
        store.keep_slot(5.0)
        self.assertFalse(store.may_order(1, 4.0, config))
        self.assertTrue(store.may_order(1, 5.1, config))


class DailyChangeTests(testtools.TestCase):
    def test_model_is_loaded_before_its_daily_demand_begins(self):
        config = PlacementConfig(
            day_s=4800.0, fill_free_memory=False, lookahead_s=150.0, slow_half_life_s=300.0
        )
        intent = make_intent({"all-day": 15, "morning": 15, "evening": 15})
        driver = Driver(intent, {"server-1": make_row("server-1")}, config, now=4800.0)
        driver.lead()
        loads: list[tuple[float, str]] = []
        while driver.now < 4 * 4800.0:
            phase = driver.now % 4800.0
            requested = ["all-day"]
            if phase < 1900.0:
                requested.append("morning")
            if 2400.0 <= phase < 4300.0:
                requested.append("evening")
            held = driver.rows["server-1"].models
            driver.demand(*((name, None, 1, int(name not in held)) for name in requested))
            orders = orders_in(driver.tick(0.1))
            loads += [(driver.now, item) for _, item in loads_in(orders)]
            driver.complete(orders)
            driver.now = round(driver.now + 20.0, 3)
            driver.report()
        evening = [at % 4800.0 for at, name in loads if name == "evening" and at > 2 * 4800.0]
        self.assertEqual(2, len(evening), evening)
        for phase in evening:
            self.assertTrue(2400.0 - 2 * config.lookahead_s < phase < 2400.0, evening)


class DemandReportTests(testtools.TestCase):
    def test_waiting_requests_of_a_node_that_stops_reporting_are_removed(self):
        driver = Driver(make_intent({"alpha": 8}), {"server-1": make_row("server-1")})
        driver.demand(("alpha", None, 2, 2), node="node-1")
        driver.demand(("alpha", None, 1, 1), node="node-2")
        item = driver.controller.state.items[model_key("alpha")]
        self.assertEqual(3, item.waiting)
        driver.tick(2.0)
        driver.demand(("alpha", None, 0, 1), node="node-2")
        driver.tick(2.0)
        self.assertEqual(1, item.waiting)

    def test_deleted_and_redeclared_model_starts_without_requests(self):
        driver = Driver(make_intent({"alpha": 8}), {"server-1": make_row("server-1")})
        driver.demand(("alpha", None, 2, 2), use=(("server-1", "alpha", 3),))
        driver.feed(IntentChanged(attrs.evolve(driver.intent, version=2, models={})))
        driver.feed(IntentChanged(attrs.evolve(driver.intent, version=3)))
        item = driver.controller.state.items[model_key("alpha")]
        self.assertEqual((0, 0), (item.waiting, item.running))
        driver.demand(("alpha", None, 0, 1), use=(("server-1", "alpha", 2),))
        self.assertEqual((1, 2), (item.waiting, item.running))

    def test_a_load_is_planned_only_for_a_time_at_which_the_window_allows_it(self):
        config = PlacementConfig(store_burst_s=100.0)
        store = StoreState("weights", "10.0.9.1:9100", GB, 10, loads_per_window=2, window_s=5.0)
        store.record_order(GB, 0.0, config)
        store.record_order(GB, 1.0, config)
        none_planned, one_planned = PlannedPulls(), PlannedPulls(1, GB)
        self.assertFalse(store.may_plan(GB, none_planned, 4.9, 4.0, config))
        self.assertTrue(store.may_plan(GB, none_planned, 5.0, 4.0, config))
        self.assertFalse(store.may_plan(GB, one_planned, 5.0, 4.0, config))
        self.assertFalse(store.may_order(GB, 4.9, config))
        self.assertTrue(store.may_order(GB, 5.0, config))
