"""Copies of retired models are the first to make room, so that every declared model is served.

Guards against a new model that is served to nobody after the cores restarted, because retired
copies of unknown size fill every server.
"""

from __future__ import annotations

import attrs
import testtools

from tests.controlplane.placement.driver import (
    GB,
    Driver,
    loads_in,
    make_intent,
    make_row,
    unloads_in,
)
from tests.controlplane.placement.test_listing_after_orders import QUIET_S, take_over
from zincvale.controlplane.placement.events import (
    DirectoryChanged,
    IntentChanged,
    LeaderGained,
    OrderAccepted,
    OrderAction,
    SendOrder,
)
from zincvale.daemons.forwarding_placement import UNDECLARED_EVICTION_S, placement_config
from zincvale.model.resources import PoolSpec

MODEL_GB = 13
MEMORY_BYTES = 40 * GB
"""Room for three models."""
ADAPTER_SLOTS = 2
PATIENCE_S = 10.0


def make_driver(held: tuple[str, ...], declared: tuple[str, ...], **row_fields: object) -> Driver:
    """Return a driver of a core that knows `declared` only, with a server that holds `held`."""
    intent = make_intent(dict.fromkeys(declared, MODEL_GB))
    row = make_row("server-1", memory_bytes=MEMORY_BYTES, models=frozenset(held))
    row = attrs.evolve(row, **row_fields)
    return Driver(intent, {"server-1": row}, placement_config(QUIET_S))


def carry_out(driver: Driver, *demand: tuple, use: tuple = ()) -> list[SendOrder]:
    """Report a demand for a while; each order is carried out at once. Return the orders."""
    orders: list[SendOrder] = []
    looked_at = len(driver.seen)
    for _ in range(round(PATIENCE_S * 10)):
        driver.demand(*demand, use=use)
        driver.tick(0.1)
        while looked_at < len(driver.seen):
            effect = driver.seen[looked_at]
            looked_at += 1
            if isinstance(effect, SendOrder):
                orders.append(effect)
                driver.feed(OrderAccepted(effect.order.order_id, done=True))
    return orders


class UnknownSizeTest(testtools.TestCase):
    def test_a_new_model_is_loaded_when_retired_copies_of_unknown_size_fill_the_server(
        self,
    ) -> None:
        driver = make_driver(("r1", "r2", "r3"), ("wanted",))
        take_over(driver, epoch=1)
        orders = carry_out(driver, ("wanted", None, 0, 1))
        self.assertEqual([("server-1", "wanted")], loads_in(orders))
        self.assertEqual({"r1", "r2", "r3"}, {name for _, name in unloads_in(orders)})
        self.assertEqual("wanted", orders[-1].order.name)

    def test_a_model_in_use_stays_when_retired_copies_can_make_room(self) -> None:
        driver = make_driver(("busy", "r1", "r2"), ("busy", "wanted"))
        take_over(driver, epoch=1)
        orders = carry_out(driver, ("wanted", None, 0, 1), use=(("server-1", "busy", 3),))
        self.assertEqual([("server-1", "wanted")], loads_in(orders))
        self.assertEqual({"r1", "r2"}, {name for _, name in unloads_in(orders)})

    def test_nothing_is_loaded_while_one_of_two_copies_of_unknown_size_is_left(self) -> None:
        driver = make_driver(("busy", "r1", "r2"), ("busy", "wanted"))
        take_over(driver, epoch=1)
        for _ in range(50):
            driver.demand(("wanted", None, 0, 1))
            unloads = [each for each in driver.tick(0.1) if isinstance(each, SendOrder)]
            if unloads:
                break
        self.assertIs(OrderAction.UNLOAD, unloads[0].order.action)
        driver.feed(OrderAccepted(unloads[0].order.order_id, done=True))
        server = driver.controller.state.servers["server-1"]
        self.assertLess(server.free_now_bytes(driver.config, 0), MODEL_GB * GB)
        self.assertEqual(MEMORY_BYTES - MODEL_GB * GB, server.unknown_bytes)

    def test_a_copy_that_was_found_just_now_is_not_evicted(self) -> None:
        """Its declaration may still be on its way to this leader."""
        driver = make_driver((), ("a", "b", "wanted"))
        take_over(driver, epoch=1)
        driver.report("server-1", models=frozenset(("a", "b", "newer")))
        seen = len(driver.seen)
        for _ in range(round((UNDECLARED_EVICTION_S - 0.5) * 10)):
            driver.demand(("wanted", None, 0, 1), use=(("server-1", "a", 1), ("server-1", "b", 1)))
            driver.tick(0.1)
        self.assertNotIn(("server-1", "newer"), unloads_in(driver.seen[seen:]))

    def test_memory_that_is_reported_after_the_models_bounds_their_size(self) -> None:
        """A core may read the list of servers before it has the document with their memory."""
        driver = make_driver(("retired",), ("wanted",), memory_bytes=0)
        driver.report()
        driver.report("server-1", memory_bytes=MEMORY_BYTES)
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(MEMORY_BYTES, server.unknown_bytes)
        self.assertLessEqual(server.free_now_bytes(driver.config, 0), 0)

    def test_memory_that_grows_bounds_an_unknown_size_anew(self) -> None:
        """The known copies may have filled the memory that was told before."""
        driver = make_driver(("a", "retired"), ("a", "wanted"), memory_bytes=MODEL_GB * GB)
        driver.report()
        driver.report("server-1", memory_bytes=MEMORY_BYTES)
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(MEMORY_BYTES - MODEL_GB * GB, server.unknown_bytes)
        self.assertLessEqual(server.free_now_bytes(driver.config, 0), 0)

    def test_a_server_that_is_listed_again_after_the_restart_is_bounded_again(self) -> None:
        driver = make_driver(("a", "retired"), ("a", "wanted"))
        take_over(driver, epoch=1)
        driver.feed(DirectoryChanged((), ("server-1",)))
        driver.report()
        server = driver.controller.state.servers["server-1"]
        self.assertEqual(MEMORY_BYTES - MODEL_GB * GB, server.unknown_bytes)
        self.assertLessEqual(server.free_now_bytes(driver.config, 0), 0)


class KnownSizeTest(testtools.TestCase):
    def driver_that_saw_the_retirement(self) -> Driver:
        """Return a leader that knows the sizes of `r1` and `r2`, which were retired."""
        declared = ("busy", "r1", "r2", "wanted")
        driver = make_driver(("busy", "r1", "r2"), declared)
        take_over(driver, epoch=1)
        later = make_intent(dict.fromkeys(("busy", "wanted"), MODEL_GB))
        driver.feed(IntentChanged(attrs.evolve(later, version=2)))
        return driver

    def test_one_retired_copy_of_known_size_makes_room_for_one_model(self) -> None:
        driver = self.driver_that_saw_the_retirement()
        orders = carry_out(driver, ("wanted", None, 0, 1), use=(("server-1", "busy", 3),))
        self.assertEqual([("server-1", "wanted")], loads_in(orders))
        self.assertEqual(1, len(unloads_in(orders)))
        self.assertIn(unloads_in(orders)[0][1], ("r1", "r2"))

    def test_a_retired_copy_is_kept_until_its_room_is_needed(self) -> None:
        driver = self.driver_that_saw_the_retirement()
        self.assertEqual([], carry_out(driver, ("busy", None, 1, 0)))


class RetiredAdapterTest(testtools.TestCase):
    def driver(self, adapters: tuple[str, ...]) -> Driver:
        """Return a leader whose server has `ADAPTER_SLOTS` slots and holds `adapters`."""
        intent = make_intent({"a": MODEL_GB, "wanted": 2 * MODEL_GB}, {"a/new": "a"})
        pool = PoolSpec(max_concurrent_per_server=16, adapter_slots=ADAPTER_SLOTS)
        intent = attrs.evolve(intent, pools={"chat": pool})
        row = make_row(
            "server-1",
            memory_bytes=MEMORY_BYTES,
            models=frozenset(("a", "retired")),
            adapters=frozenset(adapters),
        )
        driver = Driver(intent, {"server-1": row}, placement_config(QUIET_S))
        driver.feed(LeaderGained(1, driver.now + 2.0))
        take_over(driver, epoch=1)
        return driver

    def test_adapters_of_a_retired_model_give_up_their_slots(self) -> None:
        driver = self.driver(("retired/x", "retired/y"))
        orders = carry_out(driver, ("a", "a/new", 0, 1))
        self.assertIn(("server-1", "a/new"), loads_in(orders))

    def test_a_retired_model_leaves_after_its_adapters(self) -> None:
        driver = self.driver(("retired/x", "retired/y"))
        orders = carry_out(driver, ("wanted", None, 0, 1))
        self.assertEqual([("server-1", "wanted")], loads_in(orders))
        names = [name for _, name in unloads_in(orders)]
        self.assertEqual({"retired/x", "retired/y", "retired"}, set(names))
        self.assertEqual("retired", names[-1])
