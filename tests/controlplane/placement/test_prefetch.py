"""Prefetching: idle servers load models so that their weights are on disk before requests come."""

from __future__ import annotations

import math

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
from tests.controlplane.placement.test_disk_copies import CONFIG as DISK_CONFIG
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    IntentChanged,
    LeaderGained,
    OrderAccepted,
    OrderAction,
)
from zincvale.controlplane.placement.prefetch import (
    PREFETCH_WINDOW_FRACTION,
    RESERVED_IDLE_FRACTION,
)
from zincvale.model.resources import AdapterSpec, ModelSpec, StoreSpec

CONFIG = attrs.evolve(DISK_CONFIG, one_status_confirms=True, confirms_orders=True)
POOL = "chat"
SERVERS = 4
SETTLE_S = 4.0
"""Time after which no order of an earlier leader can still arrive."""
STORE_LOAD_S = 5.0
DISK_LOAD_S = 0.8
MODEL_BYTES = 12 * GB


def stores(per_window: int = 0) -> dict[str, StoreSpec]:
    """Return one store, which has the name of the pool as in forwarding deployments."""
    return {
        POOL: StoreSpec(STORE_ADDRESS, 10_000 * GB, 100, per_window, 5.0 if per_window else 0.0)
    }


@attrs.define
class SimulatedServers:
    """A driver and its servers, which load a model in `STORE_LOAD_S` first and in `disk_s` later.

    Attributes
    ----------
    on_disk : (server, model) pairs whose next load is from disk.
    in_flight : (end, effect) of the orders that the servers are carrying out.
    """

    driver: Driver
    disk_s: float = DISK_LOAD_S
    on_disk: set[tuple[str, str]] = attrs.field(factory=set)
    in_flight: list[tuple[float, object]] = attrs.field(factory=list)

    def lead(self, seconds: float = 3.0) -> list:
        """Gain leadership, let every server be confirmed, and let time pass."""
        self.driver.feed(LeaderGained(1, self.driver.now + 2.0))
        self.driver.tick(SETTLE_S)
        self.driver.report()
        return self.run(seconds)

    def run(self, seconds: float, requested: tuple = ()) -> list:
        """Let time pass, with the given demand rows at each step; return every effect."""
        driver, before = self.driver, len(self.driver.seen)
        for _ in range(round(seconds / 0.1)):
            if requested:
                driver.demand(*requested)
            for effect in orders_in(driver.tick(0.1)):
                self.start_order(effect)
            self.finish_orders()
        return driver.seen[before:]

    def start_order(self, effect) -> None:
        order, server = effect.order, effect.server
        if order.action is OrderAction.UNLOAD:
            took_s = 0.05
        else:
            took_s = self.disk_s if (server, order.name) in self.on_disk else STORE_LOAD_S
        self.in_flight.append((self.driver.now + took_s, effect))
        self.driver.feed(OrderAccepted(order.order_id))

    def finish_orders(self) -> None:
        due = [entry for entry in self.in_flight if entry[0] <= self.driver.now]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.driver.now]
        for _, effect in due:
            order, row = effect.order, self.driver.rows[effect.server]
            models = row.models - {order.name}
            if order.action is OrderAction.LOAD:
                models = models | {order.name}
                self.on_disk.add((effect.server, order.name))
            self.driver.rows[effect.server] = attrs.evolve(row, models=models)
            new = self.driver.feed(OrderAccepted(order.order_id, done=True))
            for following in orders_in(new):
                self.start_order(following)


def make_servers(
    config: PlacementConfig = CONFIG,
    load_s: float = STORE_LOAD_S,
    disk_s: float = DISK_LOAD_S,
    absent: int = 6,
    per_window: int = 0,
) -> SimulatedServers:
    """Return four servers, each full of `busy` and two models that no other server holds."""
    held = {f"server-{n}": frozenset({"busy", f"a{n}", f"b{n}"}) for n in range(1, SERVERS + 1)}
    names = {name for models in held.values() for name in models}
    names |= {f"absent-{n}" for n in range(absent)}
    spec = ModelSpec(MODEL_BYTES, POOL, POOL, kv_bytes_per_token=0, load_s=load_s)
    rows = {server: make_row(server, models=models) for server, models in held.items()}
    intent = make_intent(dict.fromkeys(sorted(names), spec), stores=stores(per_window))
    driver = Driver(intent, rows, config)
    return SimulatedServers(
        driver, disk_s, {(s, name) for s, models in held.items() for name in models}
    )


def prefetched_models(effects: list) -> list[str]:
    """Return the models `absent-N`, which no server held at first, that were loaded, in order."""
    return [name for _, name in loads_in(effects) if name.startswith("absent")]


class DiskMeasurementTest(testtools.TestCase):
    def test_surplus_replica_is_reloaded_to_measure_disk_speed(self) -> None:
        simulated = make_servers()
        effects = simulated.lead()
        self.assertEqual("busy", unloads_in(effects)[0][1])
        self.assertEqual("busy", loads_in(effects)[0][1])
        times = simulated.driver.controller.state.load_times
        self.assertAlmostEqual(DISK_LOAD_S, MODEL_BYTES / times.disk_rate_by_store[POOL], delta=0.2)

    def test_nothing_is_measured_without_a_surplus_replica(self) -> None:
        simulated = make_servers()
        for server, row in simulated.driver.rows.items():
            simulated.driver.rows[server] = attrs.evolve(row, models=row.models - {"busy"})
        self.assertEqual([], orders_in(simulated.lead(8.0)))

    def test_nothing_is_measured_if_loads_from_the_store_are_short(self) -> None:
        self.assertEqual([], orders_in(make_servers(load_s=0.8).lead(8.0)))

    def test_nothing_is_measured_or_prefetched_without_the_option(self) -> None:
        simulated = make_servers(attrs.evolve(CONFIG, servers_keep_weights=False))
        self.assertEqual([], orders_in(simulated.lead(12.0)))

    def test_a_model_with_a_requested_adapter_is_not_unloaded_to_measure_disk_speed(self) -> None:
        """Guards against an adapter that leaves with its model, and is served to nobody."""
        simulated = make_servers()
        driver = simulated.driver
        adapters = {"busy/x": AdapterSpec("busy", GB // 10, POOL)}
        driver.feed(IntentChanged(attrs.evolve(driver.intent, version=2, adapters=adapters)))
        for server, row in driver.rows.items():
            driver.rows[server] = attrs.evolve(row, adapters=frozenset(adapters))
        driver.demand(("busy", "busy/x", 1, 0))
        self.assertEqual([], unloads_in(simulated.lead()))

    def test_replica_in_use_is_not_unloaded_to_measure_disk_speed(self) -> None:
        simulated = make_servers()
        use = tuple((server, "busy", 1) for server in simulated.driver.rows)
        simulated.driver.demand(use=use)
        simulated.driver.feed(LeaderGained(1, simulated.driver.now + 2.0))
        simulated.driver.report()
        for _ in range(20):
            simulated.driver.demand(use=use)
            self.assertEqual([], orders_in(simulated.driver.tick(0.1)))


class PrefetchTest(testtools.TestCase):
    def test_idle_servers_prefetch_all_models_that_are_on_no_disk(self) -> None:
        simulated = make_servers(absent=6)
        names = prefetched_models(simulated.lead(20.0))
        self.assertEqual([f"absent-{n}" for n in range(6)], sorted(names))
        self.assertEqual([], prefetched_models(simulated.run(10.0)))

    def test_prefetching_evicts_only_one_other_model_per_server(self) -> None:
        simulated = make_servers(absent=12)
        simulated.lead(40.0)
        for server, row in simulated.driver.rows.items():
            kept = {name for name in row.models if not name.startswith("absent")}
            self.assertEqual(2, len(kept), server)
            self.assertIn("busy", kept)

    def test_nothing_is_prefetched_if_disks_are_slow(self) -> None:
        self.assertEqual([], prefetched_models(make_servers(disk_s=4.0).lead(30.0)))

    def test_requested_models_are_not_evicted_for_prefetching(self) -> None:
        simulated = make_servers(absent=12)
        own = [f"{letter}{n}" for letter in "ab" for n in range(1, SERVERS + 1)]
        simulated.driver.demand(*((name, None, 1, 0) for name in own))
        simulated.lead(30.0)
        held = {name for row in simulated.driver.rows.values() for name in row.models}
        self.assertTrue(set(own) <= held)

    def test_most_servers_do_not_prefetch_while_requests_come(self) -> None:
        simulated = make_servers(absent=12)
        requested = (("a1", None, 1, 0),)
        for _ in range(40):
            simulated.run(
                0.5, requested
            ) if simulated.driver.controller.state.leadership.is_leader else simulated.lead(0.5)
            loading = [e for _, e in simulated.in_flight if e.order.name.startswith("absent")]
            if simulated.driver.now > 110.0:
                self.assertLessEqual(len(loading), SERVERS * (1.0 - RESERVED_IDLE_FRACTION))

    def test_prefetching_leaves_part_of_the_stores_window_for_requests(self) -> None:
        simulated = make_servers(absent=40, per_window=5)
        self.assertLessEqual(
            len(prefetched_models(simulated.lead(30.0))),
            30 / 5 * math.ceil(5 * PREFETCH_WINDOW_FRACTION) + 3,
        )

    def test_requested_model_is_loaded_from_the_disk_that_it_was_prefetched_to(self) -> None:
        simulated = make_servers(absent=12)
        names = prefetched_models(simulated.lead(30.0))
        held = {name for row in simulated.driver.rows.values() for name in row.models}
        gone = next(name for name in names if name not in held)
        effects = simulated.run(3.0, ((gone, None, 1, 1),))
        orders = [entry.order for entry in orders_in(effects) if entry.order.name == gone]
        self.assertTrue(orders[0].from_disk)

    def test_model_is_prefetched_again_after_its_server_left(self) -> None:
        simulated = make_servers(absent=1)
        simulated.lead(20.0)
        (server,) = [
            server for server, name in loads_in(simulated.driver.seen) if name == "absent-0"
        ]
        del simulated.driver.rows[server]
        simulated.driver.feed(DirectoryChanged((), (server,)))
        self.assertEqual(["absent-0"], prefetched_models(simulated.run(20.0)))
