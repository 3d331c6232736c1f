"""An unloaded model takes its adapters with it.

Guards against an adapter that counts as ready on a server that no longer holds its model.
"""

from __future__ import annotations

import testtools

from tests.controlplane.placement.driver import (
    Driver,
    loads_in,
    make_intent,
    make_row,
    orders_in,
)
from tests.controlplane.placement.test_listing_after_orders import QUIET_S, take_over
from zincvale.controlplane.placement.events import OrderAccepted
from zincvale.controlplane.placement.items import model_key
from zincvale.controlplane.placement.moves import MoveReason
from zincvale.controlplane.placement.plan_unloads import UnloadPlan, plan_unload
from zincvale.daemons.forwarding_placement import placement_config


class UnloadedModelTest(testtools.TestCase):
    def test_an_adapter_is_loaded_again_after_its_model_was_unloaded(self) -> None:
        intent = make_intent({"a": 13}, {"a/x": "a"})
        rows = {
            "server-1": make_row(
                "server-1", models=frozenset(("a",)), adapters=frozenset(("a/x",))
            ),
            "server-2": make_row("server-2", models=frozenset(("a",))),
        }
        driver = Driver(intent, rows, placement_config(QUIET_S))
        take_over(driver, epoch=1)
        state = driver.controller.state
        unload_plan = UnloadPlan(MoveReason.PREFETCH, "loaded again at once")
        plan_unload(state, state.servers["server-1"], model_key("a"), unload_plan, driver.now)
        for order in orders_in(driver.tick(0.1)):
            driver.feed(OrderAccepted(order.order.order_id, done=True))
        self.assertEqual({}, state.servers["server-1"].replicas)
        seen = len(driver.seen)
        for _ in range(10):
            driver.demand(("a", "a/x", 1, 1))
            driver.tick(0.1)
        self.assertEqual([("server-2", "a/x")], loads_in(driver.seen[seen:]))
