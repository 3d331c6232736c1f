"""A model that was retired before a core started still occupies its server's memory."""

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
from tests.controlplane.placement.test_listing_after_orders import QUIET_S, take_over
from zincvale.controlplane.placement.events import IntentChanged, OrderAction, SendOrder
from zincvale.daemons.forwarding_placement import placement_config

MODEL_GB = 13
MEMORY_BYTES = 40 * GB
"""Room for three models."""


class RetiredModelTest(testtools.TestCase):
    def driver(self, held: tuple[str, ...], **row_fields: object) -> Driver:
        """Return a leader that started after `retired` was; the server holds `held`."""
        intent = make_intent(dict.fromkeys(("a", "b", "wanted"), MODEL_GB))
        row = make_row("server-1", memory_bytes=MEMORY_BYTES, models=frozenset(held))
        row = attrs.evolve(row, **row_fields)
        driver = Driver(intent, {"server-1": row}, placement_config(QUIET_S))
        take_over(driver, epoch=1)
        return driver

    def loads_while_requests_wait(self, driver: Driver) -> list[SendOrder]:
        seen = len(driver.seen)
        for _ in range(20):
            driver.demand(("wanted", None, 0, 1))
            driver.tick(0.1)
        return loads_in(driver.seen[seen:])

    def test_a_server_that_is_full_with_a_retired_model_is_not_ordered_to_load_another(
        self,
    ) -> None:
        driver = self.driver(("a", "b", "retired"))
        self.assertEqual([], self.loads_while_requests_wait(driver))
        self.assertLessEqual(self.free_bytes(driver), 0)

    def test_a_retired_model_may_occupy_all_memory_that_the_others_leave(self) -> None:
        driver = self.driver(("a", "retired"))
        self.assertEqual([], self.loads_while_requests_wait(driver))

    def test_a_model_in_place_of_another_fits_beside_a_retired_one(self) -> None:
        driver = self.driver(("a", "b", "retired"))
        for _ in range(100):
            driver.demand(("wanted", None, 0, 1))
            effects = driver.tick(0.1)
            unloads = [
                effect
                for effect in effects
                if isinstance(effect, SendOrder) and effect.order.action is OrderAction.UNLOAD
            ]
            if unloads:
                return
        self.fail("no model was unloaded for one that requests wait for")

    def test_the_size_is_known_again_when_the_model_is_declared_again(self) -> None:
        driver = self.driver(("a", "retired"))
        declared = make_intent(dict.fromkeys(("a", "b", "wanted", "retired"), MODEL_GB))
        driver.feed(IntentChanged(attrs.evolve(declared, version=2)))
        self.assertEqual(MEMORY_BYTES - 2 * MODEL_GB * GB, self.free_bytes(driver))

    def test_a_declaration_of_another_model_lowers_the_bound(self) -> None:
        driver = self.driver(("a", "later", "retired"))
        declared = make_intent(dict.fromkeys(("a", "b", "wanted", "later"), MODEL_GB))
        driver.feed(IntentChanged(attrs.evolve(declared, version=2)))
        server = driver.controller.state.servers["server-1"]
        bound = MEMORY_BYTES - 2 * MODEL_GB * GB
        self.assertEqual(bound, server.unknown_bytes)
        self.assertEqual(0, self.free_bytes(driver))

    def test_no_load_exceeds_a_memory_size_that_was_told_after_the_models(self) -> None:
        """A core may read the list of servers before the document with their memory."""
        row = make_row("server-1", memory_bytes=0, models=frozenset(("retired",)))
        intent = make_intent({"wanted": MODEL_GB})
        driver = Driver(intent, {"server-1": row}, placement_config(QUIET_S))
        driver.report()
        driver.report("server-1", memory_bytes=MEMORY_BYTES)
        take_over(driver, epoch=1)
        self.assertEqual([], self.loads_while_requests_wait(driver))
        self.assertLessEqual(self.free_bytes(driver), 0)

    def test_a_model_that_is_retired_during_its_load_still_occupies_memory(self) -> None:
        """Guards against a load beyond memory beside another load that the server is executing."""
        declared = dict.fromkeys(("a", "b", "wanted", "retired"), MODEL_GB)
        row = make_row("server-1", memory_bytes=MEMORY_BYTES, models=frozenset(("a", "b")))
        driver = Driver(make_intent(declared), {"server-1": row}, placement_config(QUIET_S))
        take_over(driver, epoch=1)
        driver.demand(("retired", None, 0, 1))
        (load,) = orders_in(driver.tick(0.2))
        driver.accept([load])
        del declared["retired"]
        driver.feed(IntentChanged(attrs.evolve(make_intent(declared), version=2)))
        driver.tick(1.0)
        driver.report(loading=frozenset(("retired",)))
        server = driver.controller.state.servers["server-1"]
        self.assertIn("model/retired", server.replicas)
        self.assertEqual(MEMORY_BYTES - 3 * MODEL_GB * GB, self.free_bytes(driver))

    def test_reported_memory_use_tells_the_size(self) -> None:
        used = 2 * MODEL_GB * GB
        driver = self.driver(("a", "retired"), used_bytes=used)
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(MODEL_GB * GB, server.unexplained_bytes)
        self.assertEqual(0, server.replicas["model/retired"].item_bytes)

    def free_bytes(self, driver: Driver) -> int:
        server = driver.controller.state.servers["server-1"]
        return server.memory_bytes - server.reserved_bytes - server.unknown_bytes
