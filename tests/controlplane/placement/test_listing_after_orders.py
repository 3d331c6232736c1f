"""Statuses are compared with the tables even if orders changed the tables since the last status.

A status that lists the same names as the last one may be skipped only if the tables still equal it.
"""

from __future__ import annotations

import testtools

from tests.controlplane.placement.driver import GB, Driver, loads_in, make_intent, make_row
from zincvale.controlplane.placement.events import (
    LeaderGained,
    LeaderLost,
    OrderAccepted,
    OrderAction,
    SendOrder,
)
from zincvale.daemons.forwarding_placement import placement_config

QUIET_S = 3.0
TAKEOVER_S = 6.0
MEMORY_BYTES = 40 * GB
MODEL_GB = 15


def make_full_server() -> Driver:
    """Return a driver with a server that has room for two of four models and holds `a` and `b`."""
    intent = make_intent(dict.fromkeys(("a", "b", "c", "d"), MODEL_GB))
    row = make_row("server-1", memory_bytes=MEMORY_BYTES, models=frozenset(("a", "b")))
    return Driver(intent, {"server-1": row}, placement_config(QUIET_S))


def take_over(driver: Driver, epoch: int) -> None:
    """Gain leadership and wait until every server is confirmed by its own statuses."""
    driver.feed(LeaderGained(epoch, driver.now + 2.0))
    for _ in range(round(TAKEOVER_S)):
        driver.tick(1.0)
        driver.report()


def next_order(driver: Driver, action: OrderAction) -> SendOrder:
    """Return the next order with this action, while requests wait for `c`."""
    for _ in range(50):
        driver.demand(("c", None, 0, 1))
        for effect in driver.tick(0.1):
            if isinstance(effect, SendOrder) and effect.order.action is action:
                return effect
    raise AssertionError(f"no {action.value} was ordered")


class RestoredListingTest(testtools.TestCase):
    def test_no_load_exceeds_memory_after_another_leader_reloaded_a_model(self) -> None:
        driver = make_full_server()
        take_over(driver, epoch=1)
        unload = next_order(driver, OrderAction.UNLOAD)
        driver.feed(LeaderLost())
        driver.feed(OrderAccepted(unload.order.order_id, done=True))
        # Another leader loads the model again, so the server lists the same models as before.
        driver.tick(20.0, renew=False)
        seen = len(driver.seen)
        take_over(driver, epoch=3)
        driver.demand(("c", None, 0, 1))
        driver.tick(0.2)
        self.assertEqual([], loads_in(driver.seen[seen:]))
        held = driver.controller.state.servers["server-1"].replicas
        self.assertEqual({"model/a", "model/b"}, set(held))


class LaggingStatusTest(testtools.TestCase):
    def test_replica_unloaded_by_another_leader_is_removed_despite_an_older_status(self) -> None:
        driver = make_full_server()
        driver.rows["server-1"] = make_row(
            "server-1", memory_bytes=MEMORY_BYTES, models=frozenset(("a",))
        )
        take_over(driver, epoch=1)
        load = next_order(driver, OrderAction.LOAD)
        driver.feed(OrderAccepted(load.order.order_id, done=True))
        driver.report(requested_at=driver.now - 0.1)
        held = driver.controller.state.servers["server-1"].replicas
        self.assertEqual({"model/a", "model/c"}, set(held))
        driver.feed(LeaderLost())
        # Another leader unloads the model again.
        driver.tick(10.0, renew=False)
        driver.feed(LeaderGained(3, driver.now + 2.0))
        driver.report()
        self.assertEqual({"model/a"}, set(held))
