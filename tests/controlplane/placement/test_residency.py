"""Placement decisions: what is loaded where, and what is evicted, drained or unloaded."""

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
    unloads_in,
)
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    IntentChanged,
    MarkDraining,
    OrderAction,
    OrderRefusal,
    OrderRefused,
)
from zincvale.controlplane.placement.moves import MoveKind, MoveReason, MoveState
from zincvale.model.control_tables import Intent, ServerHealth
from zincvale.model.resources import ModelSpec, ServerSpec, Stake, ZoneSpec

NO_FILL = PlacementConfig(fill_free_memory=False)
ZONES = ("zone-a", "zone-b", "zone-c")


def make_driver(models, servers=1, adapters=None, config=NO_FILL, **tables) -> Driver:
    rows = {
        f"server-{number}": make_row(f"server-{number}", ZONES[(number - 1) % 3])
        for number in range(1, servers + 1)
    }
    return Driver(make_intent(models, adapters, **tables), rows, config)


def pinned_model(gigabytes: int, replicas: int) -> ModelSpec:
    return ModelSpec(gigabytes * GB, "weights", "chat", min_replicas=replicas, stake=Stake.HIGH)


class LoadTests(testtools.TestCase):
    def test_many_waiting_requests_cause_only_one_load(self):
        driver = make_driver({"rare": 8}, servers=3)
        driver.lead()
        self.assertEqual([], loads_in(driver.seen))
        for node in range(5):
            driver.demand(("rare", None, 40, 40), node=f"node-{node}")
        driver.tick(0.5)
        self.assertEqual(["rare"], [name for _, name in loads_in(driver.seen)])

    def test_min_replicas_are_spread_over_zones(self):
        driver = make_driver({"pharmacy": pinned_model(8, 3)}, servers=6)
        effects = driver.lead()
        while orders_in(effects):
            driver.complete(orders_in(effects))
            effects = driver.tick(3.0)
        servers = [server for server, _ in loads_in(driver.seen)]
        self.assertEqual(set(ZONES), {driver.rows[server].zone for server in servers})
        self.assertEqual(3, len(servers))

    def test_adapter_is_loaded_after_its_base_model_on_the_same_server(self):
        driver = make_driver({"base": 8}, servers=3, adapters={"tuned": "base"})
        driver.lead()
        driver.demand(("base", "tuned", 1, 1))
        first = orders_in(driver.tick(0.5))
        self.assertEqual(["base"], [order.order.name for order in first])
        driver.complete(first)
        second = orders_in(driver.tick(0.5))
        self.assertEqual([(first[0].server, "tuned")], loads_in(second))
        self.assertEqual("base", second[0].order.base_model)

    def test_a_refused_load_is_retried_later(self):
        driver = make_driver({"alpha": 8})
        driver.lead()
        driver.demand(("alpha", None, 1, 1))
        order = orders_in(driver.tick(0.2))[0]
        driver.feed(OrderRefused(order.order.order_id, OrderRefusal.MEMORY))
        driver.demand(("alpha", None, 0, 1))
        self.assertEqual([], loads_in(driver.tick(0.5)))
        for _ in range(4):
            driver.demand(("alpha", None, 0, 1))
            driver.tick(0.5)
        self.assertEqual(2, len(loads_in(driver.seen)))

    def test_cold_server_gets_one_load_at_a_time_smallest_first(self):
        driver = make_driver({"large": pinned_model(12, 1), "small": pinned_model(5, 1)})
        driver.lead()
        driver.complete(orders_in(driver.seen))
        driver.complete(orders_in(driver.tick(3.0)))
        driver.report(incarnation="i2", models=frozenset(), health=ServerHealth.COLD)
        back = orders_in(driver.tick(2.0))
        self.assertEqual([("server-1", "small")], loads_in(back))
        driver.complete(back)
        self.assertEqual([("server-1", "large")], loads_in(driver.tick(2.0)))

    def test_a_saturated_model_gets_another_replica(self):
        driver = make_driver({"busy": 8}, servers=2)
        driver.lead()
        driver.demand(("busy", None, 1, 1))
        first = orders_in(driver.tick(0.5))
        driver.complete(first)
        first_server = first[0].server
        for _ in range(40):
            driver.demand(("busy", None, 20, 8), use=((first_server, "busy", 16),))
            driver.tick(0.5)
        self.assertEqual(2, len({server for server, _ in loads_in(driver.seen)}))


class EvictionTests(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.driver = make_driver({"hot": 11, "warm": 11, "rare": 11, "new": 11})
        self.driver.report(models=frozenset({"hot", "warm", "rare"}))
        self.driver.lead()
        for _ in range(20):
            self.driver.demand(("hot", None, 10, 0), ("warm", None, 2, 0))
            self.driver.tick(1.0)

    def test_least_requested_replica_is_drained_and_unloaded_before_the_load(self):
        driver = self.driver
        driver.demand(("new", None, 1, 1))
        effects = driver.tick(0.2)
        self.assertEqual(
            [MarkDraining("server-1", frozenset({"rare"}))],
            [effect for effect in effects if isinstance(effect, MarkDraining)],
        )
        self.assertEqual([], orders_in(effects))
        driver.tick(0.5)
        driver.demand(("new", None, 0, 1))
        unloads = orders_in(driver.tick(0.2))
        self.assertEqual([("server-1", "rare")], unloads_in(unloads))
        self.assertEqual([], loads_in(driver.seen))
        driver.complete(unloads)
        self.assertEqual([("server-1", "new")], loads_in(driver.tick(0.2)))

    def test_replica_in_use_is_not_unloaded(self):
        driver = self.driver
        use = (("server-1", "rare", 1),)
        driver.demand(("new", None, 1, 1), use=use)
        for _ in range(20):
            driver.demand(("new", None, 0, 1), use=use)
            driver.tick(0.5)
        self.assertNotIn(("server-1", "rare"), unloads_in(driver.seen))

    def test_long_waits_drain_a_replica_in_use_that_is_unloaded_when_idle(self):
        driver = self.driver
        names = ("hot", "warm", "rare")
        busy = tuple(("server-1", name, 1) for name in names)
        for _ in range(10):
            driver.demand(("new", None, 3, 3), use=busy)
            driver.tick(0.5)
        draining = [effect for effect in driver.seen if isinstance(effect, MarkDraining)]
        self.assertEqual([MarkDraining("server-1", frozenset({"rare"}))], draining)
        self.assertEqual([], orders_in(driver.seen))
        driver.demand(("new", None, 0, 3), use=busy[:2])
        self.assertEqual([("server-1", "rare")], unloads_in(driver.tick(0.2)))

    def test_unload_waits_for_node_reports_made_after_the_drain_was_announced(self):
        driver = self.driver
        driver.demand(("new", None, 1, 1))
        driver.tick(1.0)
        self.assertEqual([], unloads_in(driver.seen))

    def test_min_replicas_are_never_evicted(self):
        driver = make_driver({"kept": pinned_model(30, 1), "new": 12})
        driver.report(models=frozenset({"kept"}))
        driver.lead()
        for _ in range(40):
            driver.demand(("new", None, 20, 20))
            driver.tick(0.5)
        self.assertEqual([], orders_in(driver.seen))

    def test_replicas_are_not_moved_without_demand(self):
        driver = make_driver({f"m{number}": 12 for number in range(6)}, config=PlacementConfig())
        driver.lead()
        driver.complete(orders_in(driver.seen))
        for _ in range(100):
            driver.complete(orders_in(driver.tick(1.0)))
        self.assertEqual(2, len(loads_in(driver.seen)))
        self.assertEqual([], unloads_in(driver.seen))


class DrainTests(testtools.TestCase):
    def test_models_of_a_drained_server_are_replaced_and_the_drain_ends(self):
        driver = make_driver({"alpha": pinned_model(8, 1)}, servers=2)
        first = orders_in(driver.lead())
        driver.complete(first)
        first_server = first[0].server
        driver.feed(
            IntentChanged(
                attrs.evolve(
                    driver.intent, version=2, servers={first_server: ServerSpec(drained=True)}
                )
            )
        )
        second = orders_in(driver.tick(3.0))
        other = "server-2" if first_server == "server-1" else "server-1"
        self.assertEqual([(other, "alpha")], loads_in(second))
        drain = next(
            move
            for move in driver.controller.state.calendar.moves.values()
            if move.kind is MoveKind.DRAIN
        )
        self.assertEqual((MoveReason.SERVER_DRAINED, first_server), (drain.reason, drain.server))
        driver.complete(second)
        driver.tick(2.0)
        finished = driver.controller.state.calendar.finished[drain.move_id]
        self.assertEqual(MoveState.DONE, finished.state)

    def test_evacuated_zone_gets_no_loads(self):
        zones = {"zone-a": ZoneSpec(evacuated=True)}
        driver = make_driver({"alpha": pinned_model(8, 3)}, servers=3, zones=zones)
        effects = driver.lead()
        for _ in range(5):
            driver.complete(orders_in(effects))
            effects = driver.tick(2.0)
        self.assertEqual(
            {"zone-b", "zone-c"},
            {driver.rows[server].zone for server, _ in loads_in(driver.seen)},
        )

    def test_model_of_an_unresponsive_server_is_loaded_elsewhere_for_waiting_requests(self):
        driver = make_driver({"alpha": 8}, servers=2)
        driver.report("server-1", models=frozenset({"alpha"}))
        driver.lead()
        driver.report("server-1", health=ServerHealth.DOWN)
        driver.demand(("alpha", None, 1, 1))
        self.assertEqual([("server-2", "alpha")], loads_in(driver.tick(0.5)))

    def test_replicas_of_a_removed_server_are_replaced(self):
        driver = make_driver({"alpha": pinned_model(8, 1)}, servers=2)
        driver.report("server-1", models=frozenset({"alpha"}))
        driver.lead()
        driver.feed(DirectoryChanged((), ("server-1",)))
        self.assertEqual([("server-2", "alpha")], loads_in(driver.tick(2.0)))


class IntentTests(testtools.TestCase):
    def test_replicas_of_a_deleted_model_are_unloaded_after_the_grace_period(self):
        driver = make_driver({"alpha": 8, "beta": 8})
        driver.report(models=frozenset({"alpha", "beta"}))
        driver.lead()
        models = {"beta": driver.intent.models["beta"]}
        driver.feed(IntentChanged(attrs.evolve(driver.intent, version=2, models=models)))
        driver.tick(20.0)
        self.assertEqual([], orders_in(driver.seen))
        driver.tick(15.0)
        actions = [(order.order.action, order.order.name) for order in orders_in(driver.seen)]
        self.assertEqual([(OrderAction.UNLOAD, "alpha")], actions)

    def test_replicas_reported_before_their_declaration_are_counted_after_it(self):
        driver = Driver(make_intent({}), {"server-1": make_row("server-1")}, NO_FILL)
        driver.report(models=frozenset({"alpha"}), adapters=frozenset({"tuned"}))
        driver.feed(IntentChanged(make_intent({"alpha": 8}, {"tuned": "alpha"})))
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(8 * GB + GB // 10, server.reserved_bytes)
        self.assertEqual({}, driver.controller.state.undeclared.found_at)

    def test_a_leader_without_an_intent_unloads_nothing(self):
        driver = Driver(Intent(), {"server-1": make_row("server-1")})
        driver.report(models=frozenset({"alpha"}))
        driver.lead()
        driver.tick(90.0)
        self.assertEqual([], orders_in(driver.seen))

    def test_large_intent_is_applied_in_parts_with_the_newest_specs(self):
        config = PlacementConfig(declaration_budget=1)
        driver = Driver(make_intent({"a": 5, "b": 5}, {"a:1": "a"}), {}, config)
        newer = make_intent({"a": 5, "b": 7})
        driver.feed(IntentChanged(attrs.evolve(newer, version=2)))
        driver.tick(0.5)
        sizes = {key: item.weight_bytes for key, item in driver.controller.state.items.items()}
        self.assertEqual({"model/a": 5 * GB, "model/b": 7 * GB}, sizes)

    def test_unexplained_memory_use_is_not_available_for_loads(self):
        driver = make_driver({"alpha": 8})
        driver.report(used_bytes=35 * GB)
        driver.lead()
        driver.demand(("alpha", None, 1, 1))
        driver.tick(1.0)
        self.assertEqual([], orders_in(driver.seen))
