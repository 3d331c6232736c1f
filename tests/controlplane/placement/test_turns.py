"""What is requested again and again is loaded in bounded time, whatever else is worth more."""

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
)
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.fairness import (
    REQUESTS_AWAITED,
    ROUNDS_UNTIL_SERVED,
    is_due,
    round_s,
)
from zincvale.controlplane.placement.items import ItemRow, model_key
from zincvale.model.resources import AdapterSpec, StoreSpec

CONFIG = PlacementConfig(
    fill_free_memory=False,
    fast_half_life_s=5.0,
    slow_half_life_s=20.0,
    concurrency_time_s=0.4,
    review_interval_s=0.25,
    max_loads_per_server=1,
    serial_orders=True,
    servers_guard_unloads=True,
    overload_counts_as_waiting=True,
    min_residency_s=0.5,
    store_burst_s=100.0,
)
STORES = {"weights": StoreSpec(STORE_ADDRESS, 10 * GB, 100)}
REQUESTS_PER_S = 100
"""Requests for the model in use; they are worth more than any number for the other one."""
END_S = 1.0
"""Time of an order and of the requests that end before it, with the steps of the driver."""


class TurnsTest(testtools.TestCase):
    """One server with room for one model, which is in use all the time."""

    def make_driver(self, *rare: str) -> Driver:
        models = {"hot": 30} | dict.fromkeys(rare, 30)
        rows = {"server-1": make_row("server-1", models=frozenset({"hot"}))}
        driver = Driver(make_intent(models, stores=STORES), rows, CONFIG)
        driver.lead()
        return driver

    def item(self, driver: Driver, name: str) -> ItemRow:
        return driver.controller.state.items[model_key(name)]

    def step(self, driver: Driver, *rare: str) -> list[str]:
        """Let a second pass in which all models are requested; return what was loaded."""
        hot = driver.controller.state.servers["server-1"].replicas.get(model_key("hot"))
        is_in_use = hot is not None and not hot.draining
        driver.demand(
            ("hot", None, REQUESTS_PER_S, 0 if is_in_use else 10),
            *((name, None, 1, 0) for name in rare),
            use=(("server-1", "hot", 5),) if is_in_use else (),
        )
        loaded = []
        for _ in range(10):
            orders = orders_in(driver.tick(0.1))
            if orders:
                driver.complete(orders)
            loaded += [name for _, name in loads_in(orders)]
        return loaded

    def test_a_model_that_is_worth_less_than_all_others_is_loaded_in_its_turn(self):
        driver = self.make_driver("rare")
        first_requested_at = driver.now
        while "rare" not in self.step(driver, "rare"):
            elapsed_s = driver.now - first_requested_at
            bound_s = ROUNDS_UNTIL_SERVED * round_s(
                driver.controller.state, self.item(driver, "rare"), driver.now
            )
            self.assertLess(elapsed_s, bound_s + END_S)

    def test_models_that_are_due_are_loaded_in_the_order_in_which_they_became_unserved(self):
        driver = self.make_driver("rare-1", "rare-2")
        self.step(driver, "rare-2")
        loaded: list[str] = []
        while not {"rare-1", "rare-2"} <= set(loaded):
            self.assertLess(driver.now, 200.0, loaded)
            loaded += self.step(driver, "rare-1", "rare-2")
        self.assertEqual(["rare-2", "rare-1"], [name for name in loaded if name != "hot"][:2])

    def test_the_replica_of_a_turn_stays_until_it_has_served(self):
        driver = self.make_driver("rare")
        while "rare" not in self.step(driver, "rare"):
            self.assertLess(driver.now, 200.0)
        self.assertEqual([], self.step(driver))
        loaded = self.step(driver, "rare") + self.step(driver)
        self.assertEqual(0, self.item(driver, "rare").unserved.requests)
        self.assertEqual(["hot"], loaded)

    def test_a_replica_that_serves_nobody_leaves_when_a_request_should_have_come(self):
        driver = self.make_driver("rare")
        while "rare" not in self.step(driver, "rare"):
            self.assertLess(driver.now, 200.0)
        unserved = self.item(driver, "rare").unserved
        interval_s = (driver.now - unserved.since) / unserved.requests
        loaded_at = driver.now
        while "hot" not in self.step(driver):
            self.assertLess(driver.now - loaded_at, REQUESTS_AWAITED * interval_s + END_S)

    def test_a_model_that_was_requested_once_has_no_turn(self):
        driver = self.make_driver("rare")
        self.step(driver, "rare")
        for _ in range(40):
            self.assertEqual([], self.step(driver))
            self.assertFalse(is_due(driver.controller.state, self.item(driver, "rare"), driver.now))

    def test_a_round_grows_with_the_number_of_unserved_models_for_each_server(self):
        driver = self.make_driver(*(f"rare-{number}" for number in range(4)))
        state = driver.controller.state
        load_s = state.expected_load_s(self.item(driver, "rare-0"))
        self.assertEqual(load_s, round_s(state, self.item(driver, "rare-0"), driver.now))
        self.step(driver, *(f"rare-{number}" for number in range(4)))
        self.assertEqual(5 * load_s, round_s(state, self.item(driver, "rare-0"), driver.now))


class PinnedModelsTest(testtools.TestCase):
    """Requests wait for an adapter of each model on a server that has room for no adapter."""

    def test_adapters_whose_models_keep_each_other_from_leaving_are_served_in_turn(self):
        adapters = {
            "a1": AdapterSpec("model-a", 3 * GB, "weights"),
            "b1": AdapterSpec("model-b", 3 * GB, "weights"),
        }
        intent = attrs.evolve(
            make_intent({"model-a": 8, "model-b": 8}, stores=STORES),
            adapters=adapters,
        )
        row = make_row("server-1", models=frozenset({"model-a", "model-b"}), memory_bytes=20 * GB)
        driver = Driver(intent, {"server-1": row}, CONFIG)
        driver.lead()
        loaded: list[str] = []
        while not {"a1", "b1"} & set(loaded):
            self.assertLess(driver.now, 200.0)
            driver.demand(("model-a", "a1", 1, 1), ("model-b", "b1", 1, 1))
            orders = orders_in(driver.tick(1.0))
            driver.complete(orders)
            loaded += [name for _, name in loads_in(orders)]
