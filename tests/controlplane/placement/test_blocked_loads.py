"""A load that cannot proceed for a reason of its own does not keep other loads from proceeding."""

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
from zincvale.controlplane.placement.events import Effect
from zincvale.controlplane.placement.items import adapter_key
from zincvale.model.resources import AdapterSpec, PoolSpec, StoreSpec

CONFIG = PlacementConfig(
    fill_free_memory=False,
    concurrency_time_s=0.4,
    review_interval_s=0.25,
    max_loads_per_server=1,
    serial_orders=True,
    servers_guard_unloads=True,
    overload_counts_as_waiting=True,
    min_residency_s=0.5,
    store_burst_s=100.0,
)
STORES = {
    "weights": StoreSpec(STORE_ADDRESS, 1000 * GB, 100),
    "adapters": StoreSpec(STORE_ADDRESS, 100 * GB, 256),
}


def make_driver(models: dict[str, int], rows: dict[str, dict], stores=STORES) -> Driver:
    intent = make_intent(models, stores=stores)
    adapters = {"base-a1": AdapterSpec("base", GB // 10, "adapters")} if "base" in models else {}
    intent = attrs.evolve(intent, adapters=adapters)
    driver = Driver(
        intent, {name: make_row(name, **fields) for name, fields in rows.items()}, CONFIG
    )
    driver.lead()
    return driver


def run_and_complete(driver: Driver, seconds: float) -> list[Effect]:
    effects: list[Effect] = []
    for _ in range(round(seconds / 0.1)):
        new = driver.tick(0.1)
        effects += new
        if orders_in(new):
            driver.complete(orders_in(new))
    return effects


class ManyModelsWaitTest(testtools.TestCase):
    """Every server runs a load that never ends, and many more models wait than a run attempts."""

    def make_busy_driver(self, waiting_models: int) -> Driver:
        models = {"base": 8} | {f"m{number:03}": 10 for number in range(waiting_models)}
        rows = {
            "server-1": {"models": frozenset({"base"})},
            "server-2": {"models": frozenset()},
        }
        driver = make_driver(models, rows)
        driver.demand(*((name, None, 1, 1) for name in models if name != "base"))
        driver.accept(orders_in(driver.tick(0.5)))
        self.assertEqual(2, len(loads_in(driver.seen)))
        return driver

    def test_an_adapter_is_planned_while_all_servers_are_busy_with_loads_of_models(self):
        driver = self.make_busy_driver(40)
        driver.demand(("base", "base-a1", 1, 1), node="node-2")
        driver.tick(0.5)
        adapter = driver.controller.state.items[adapter_key("base-a1")]
        self.assertEqual(["server-1"], list(adapter.planned))


class WaitForOneServerTest(testtools.TestCase):
    """The most urgent load waits for requests that run on what it replaces; others need not."""

    def test_a_load_whose_server_is_not_ready_does_not_hold_up_loads_on_other_servers(self):
        rows = {
            "server-1": {"models": frozenset({"in-use"}), "memory_bytes": 12 * GB},
            "server-2": {"models": frozenset(), "memory_bytes": 6 * GB},
        }
        driver = make_driver({"in-use": 8, "large": 9, "small": 4}, rows)
        use = (("server-1", "in-use", 1),)
        driver.demand(("in-use", None, 1, 0), ("large", None, 9, 9), use=use)
        driver.tick(4.0)
        self.assertEqual([], loads_in(driver.seen))
        driver.demand(("in-use", None, 1, 0), ("large", None, 9, 9), ("small", None, 1, 1), use=use)
        self.assertEqual([("server-2", "small")], loads_in(driver.tick(1.0)))


class StoreWindowTest(testtools.TestCase):
    """A store that allows two loads in five seconds, and servers that are full of idle copies."""

    def test_nothing_is_evicted_for_loads_that_the_stores_window_does_not_allow_yet(self):
        stores = STORES | {
            "weights": StoreSpec(STORE_ADDRESS, 1000 * GB, 100, loads_per_window=2, window_s=5.0)
        }
        old = {f"old-{number}": 9 for number in range(6)}
        new = {f"new-{number}": 9 for number in range(6)}
        rows = {
            f"server-{number + 1}": {"models": frozenset({name}), "memory_bytes": 12 * GB}
            for number, name in enumerate(old)
        }
        driver = make_driver(old | new, rows, stores)
        driver.demand(*((name, None, 1, 1) for name in new))
        effects = run_and_complete(driver, 3.0)
        self.assertEqual(2, len(loads_in(effects)))
        self.assertEqual(2, len(unloads_in(effects)))


class AdapterBesideLoadTest(testtools.TestCase):
    """The base model is on two servers; one runs a load, the other's adapter slot is taken."""

    def test_an_adapter_is_loaded_on_the_server_that_can_load_it_at_once(self):
        rows = {
            "server-1": make_row("server-1", models=frozenset({"base"})),
            "server-2": make_row(
                "server-2",
                models=frozenset({"base"}),
                adapters=frozenset({"base-idle"}),
                memory_bytes=12 * GB,
            ),
        }
        spec = AdapterSpec("base", GB // 10, "adapters")
        intent = attrs.evolve(
            make_intent({"base": 8, "large": 25}, stores=STORES),
            pools={"chat": PoolSpec(max_concurrent_per_server=16, adapter_slots=1)},
            adapters={"base-a1": spec, "base-idle": spec},
        )
        driver = Driver(intent, rows, CONFIG)
        driver.lead()
        driver.demand(("large", None, 1, 1))
        driver.accept(orders_in(driver.tick(0.5)))
        self.assertEqual([("server-1", "large")], loads_in(driver.seen))
        driver.demand(("base", "base-a1", 1, 1), node="node-2")
        self.assertEqual([("server-2", "base-a1")], loads_in(run_and_complete(driver, 1.0)))
