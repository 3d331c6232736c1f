"""Options of placement that a deployment may set, each compared with its default."""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.placement.driver import (
    GB,
    STORE_ADDRESS,
    Driver,
    loads_in,
    make_intent,
    make_row,
    orders_in,
    unloads_in,
)
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    Effect,
    IntentChanged,
    LeaderGained,
    MarkDraining,
    OrderAccepted,
    OrderAction,
    StatusReport,
)
from zincvale.model.resources import PoolSpec, StoreSpec

FAST_REVIEWS = PlacementConfig(
    fill_free_memory=False, concurrency_time_s=0.4, review_interval_s=0.25
)

FAST_REVIEWS_SERIAL = attrs.evolve(FAST_REVIEWS, serial_orders=True, max_loads_per_server=4)


def make_driver(
    config: PlacementConfig, models, servers=2, stores=None, adapters=None, resident=()
) -> Driver:
    rows = {
        f"server-{number}": make_row(f"server-{number}", models=frozenset(resident))
        for number in range(1, servers + 1)
    }
    return Driver(make_intent(models, adapters, stores), rows, config)


def run_and_complete(driver: Driver, seconds: float) -> list[Effect]:
    effects: list[Effect] = []
    for _ in range(round(seconds / 0.1)):
        new = driver.tick(0.1)
        effects += new
        if orders_in(new):
            driver.complete(orders_in(new))
    return effects


class OverloadTest(testtools.TestCase):
    def loads_under_overload(self, config: PlacementConfig) -> list[tuple[str, str]]:
        driver = make_driver(config, {"hot": 8}, resident=("hot",))
        driver.report("server-2", models=frozenset())
        driver.lead()
        driver.demand(("hot", None, 30, 0), use=(("server-1", "hot", 30),))
        return loads_in(driver.tick(0.6))

    def test_overload_adds_a_replica_at_once(self):
        config = attrs.evolve(FAST_REVIEWS, overload_counts_as_waiting=True)
        self.assertEqual([("server-2", "hot")], self.loads_under_overload(config))

    def test_without_the_option_overload_adds_a_replica_only_through_the_moving_average(self):
        config = attrs.evolve(FAST_REVIEWS, concurrency_time_s=60.0)
        self.assertEqual([], self.loads_under_overload(config))


class StoreWindowTest(testtools.TestCase):
    def test_loads_in_a_window_do_not_exceed_the_limit_of_the_store(self):
        stores = {"weights": StoreSpec(STORE_ADDRESS, 1000 * GB, 8, loads_per_window=2, window_s=5)}
        models = {f"rare-{number}": 4 for number in range(5)}
        driver = make_driver(FAST_REVIEWS, models, stores=stores)
        driver.lead()
        driver.demand(*((name, None, 1, 1) for name in models))
        first = loads_in(run_and_complete(driver, 2.0))
        self.assertEqual(2, len(first))
        driver.demand(*((name, None, 0, 1) for name in models))
        self.assertEqual([], loads_in(run_and_complete(driver, 1.0)))
        for _ in range(4):
            driver.demand(*((name, None, 0, 1) for name in models))
            run_and_complete(driver, 1.0)
        self.assertEqual(4, len(loads_in(driver.seen)))


class AdapterSlotsTest(testtools.TestCase):
    ADAPTERS = ("a1", "a2", "a3")

    def base_replicas(self, adapters_add_replicas: bool) -> int:
        config = attrs.evolve(FAST_REVIEWS, adapters_add_replicas=adapters_add_replicas)
        adapters = dict.fromkeys(self.ADAPTERS, "base")
        driver = make_driver(config, {"base": 8}, servers=3, adapters=adapters)
        pools = {"chat": PoolSpec(max_concurrent_per_server=16, adapter_slots=2)}
        driver.feed(IntentChanged(attrs.evolve(driver.intent, pools=pools)))
        driver.lead()
        driver.demand(("base", None, 1, 1))
        run_and_complete(driver, 0.3)
        for _ in range(4):
            driver.demand(("base", None, 0, 0), *(("base", name, 1, 0) for name in self.ADAPTERS))
            run_and_complete(driver, 1.0)
        return sum("base" in row.models for row in driver.rows.values())

    def test_a_server_that_moves_to_another_pool_gets_no_more_adapters_than_that_pool_allows(self):
        driver = make_driver(
            FAST_REVIEWS,
            {"base": 8},
            servers=1,
            adapters=dict.fromkeys(self.ADAPTERS, "base"),
            resident=("base",),
        )
        pools = {
            "other": PoolSpec(max_concurrent_per_server=16, adapter_slots=8),
            "chat": PoolSpec(max_concurrent_per_server=16, adapter_slots=2),
        }
        driver.feed(IntentChanged(attrs.evolve(driver.intent, version=2, pools=pools)))
        driver.report(pool="other")
        driver.report(pool="chat")
        driver.lead()
        for _ in range(4):
            driver.demand(*(("base", name, 1, 1) for name in self.ADAPTERS))
            run_and_complete(driver, 0.3)
            self.assertLessEqual(len(driver.rows["server-1"].adapters), 2)
        self.assertEqual(2, len(driver.rows["server-1"].adapters))

    def test_adapters_that_do_not_fit_add_a_replica(self):
        self.assertEqual(2, self.base_replicas(adapters_add_replicas=True))

    def test_without_the_option_adapters_add_no_replica(self):
        self.assertEqual(1, self.base_replicas(adapters_add_replicas=False))


class SerialOrdersTest(testtools.TestCase):
    def orders_at_once(self, serial: bool) -> int:
        config = attrs.evolve(FAST_REVIEWS, serial_orders=serial, max_loads_per_server=4)
        driver = make_driver(config, {"m1": 4, "m2": 4, "m3": 4}, servers=1)
        driver.lead()
        driver.demand(*((name, None, 1, 1) for name in ("m1", "m2", "m3")))
        return len(orders_in(driver.tick(0.5)))

    def test_next_order_waits_for_the_end_of_the_previous_one(self):
        self.assertEqual(1, self.orders_at_once(serial=True))

    def test_next_order_is_sent_as_soon_as_the_previous_one_is_done(self):
        """The order must not wait for the next tick, because requests may wait for its load."""
        driver = make_driver(FAST_REVIEWS_SERIAL, {"m1": 4, "m2": 4}, servers=1)
        driver.lead()
        driver.demand(*((name, None, 1, 1) for name in ("m1", "m2")))
        (first,) = orders_in(driver.tick(0.5))
        following = orders_in(driver.feed(OrderAccepted(first.order.order_id, done=True)))
        self.assertEqual([{"m1", "m2"} - {first.order.name}], [{following[0].order.name}])

    def test_without_the_option_orders_overlap(self):
        self.assertEqual(3, self.orders_at_once(serial=False))


class FirstOrderTest(testtools.TestCase):
    def test_new_leader_sends_no_order_within_the_first_order_delay(self):
        config = attrs.evolve(FAST_REVIEWS, first_order_delay_s=3.0, one_status_confirms=True)
        driver = make_driver(config, {"m1": 4}, servers=1)
        driver.feed(LeaderGained(1, driver.now + 2.0))
        led_since = driver.now
        while driver.now < led_since + 6.0 and not orders_in(driver.seen):
            driver.report()
            driver.demand(("m1", None, 0, 1))
            driver.tick(0.1)
        self.assertEqual([("server-1", "m1")], loads_in(driver.seen))
        self.assertGreaterEqual(driver.now - led_since, 3.0)


class ListReportTest(testtools.TestCase):
    def test_a_list_reports_servers_but_does_not_confirm_them(self):
        config = attrs.evolve(FAST_REVIEWS, one_status_confirms=True)
        driver = make_driver(config, {"m1": 4}, servers=1)
        driver.feed(LeaderGained(1, driver.now + 2.0))
        driver.demand(("m1", None, 1, 1))
        for _ in range(60):
            row = driver.rows["server-1"]
            listed = StatusReport(row, driver.now, is_from_server=False)
            driver.feed(DirectoryChanged((listed,)))
            driver.demand(("m1", None, 0, 1))
            driver.tick(0.1)
        self.assertEqual([], loads_in(driver.seen))
        driver.report()
        driver.tick(0.2)
        self.assertEqual([("server-1", "m1")], loads_in(driver.seen))


class GuardedUnloadTest(testtools.TestCase):
    def effects_of_eviction(self, guarded: bool) -> list[Effect]:
        config = attrs.evolve(FAST_REVIEWS, servers_guard_unloads=guarded, drain_notice_s=0.0)
        driver = make_driver(config, {"old": 30, "new": 30}, servers=1, resident=("old",))
        driver.lead()
        driver.demand(("new", None, 1, 1))
        return driver.tick(0.5)

    def test_server_that_guards_unloads_gets_the_order_at_once(self):
        self.assertEqual([("server-1", "old")], unloads_in(self.effects_of_eviction(guarded=True)))

    def test_without_the_option_the_unload_waits_for_node_reports(self):
        effects = self.effects_of_eviction(guarded=False)
        self.assertEqual(
            [], [o for o in orders_in(effects) if o.order.action is OrderAction.UNLOAD]
        )
        self.assertTrue(any(isinstance(effect, MarkDraining) for effect in effects))
