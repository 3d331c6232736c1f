"""Durations of orders, learned from completed orders."""

from __future__ import annotations

import attrs
import testtools

from zincvale.controlplane.placement.events import Order, OrderAction
from zincvale.controlplane.placement.items import ItemKind
from zincvale.daemons.order_durations import (
    CHECK_FRACTION,
    INITIAL_ESTIMATE_S,
    MAX_SAMPLE_S,
    OrderDurations,
)

ADAPTER = Order("o1", 1, OrderAction.LOAD, ItemKind.ADAPTER, "m/a1", "m", 10, "weights", "")
UNLOAD = attrs.evolve(ADAPTER, action=OrderAction.UNLOAD)
RESPONSE_S = 0.004
INTERVAL_S = 0.015


class OrderDurationsTest(testtools.TestCase):
    def checks_until_completion(
        self, durations: OrderDurations, order: Order, true_s: float
    ) -> int:
        """Simulate an order that takes `true_s`; return how often the server was checked."""
        now, count = durations.first_check_s(order), 1
        while now + RESPONSE_S / 2 < true_s:
            now += INTERVAL_S
            count += 1
        durations.record_completion(order, now + RESPONSE_S)
        return count

    def test_the_initial_estimate_is_used_until_an_order_has_completed(self) -> None:
        self.assertEqual(INITIAL_ESTIMATE_S, OrderDurations().first_check_s(ADAPTER))

    def test_the_estimate_converges_from_below_and_from_above(self) -> None:
        for true_s in (0.006, 0.019, 0.06):
            durations = OrderDurations()
            counts = [self.checks_until_completion(durations, ADAPTER, true_s) for _ in range(60)]
            self.assertLessEqual(sum(counts[-20:]), 30, (true_s, counts))
            self.assertLess(abs(durations.first_check_s(ADAPTER) - true_s), INTERVAL_S, true_s)

    def test_the_estimate_falls_when_orders_become_faster(self) -> None:
        durations = OrderDurations()
        for _ in range(40):
            self.checks_until_completion(durations, ADAPTER, 0.1)
        slow_s = durations.first_check_s(ADAPTER)
        for _ in range(60):
            self.checks_until_completion(durations, ADAPTER, 0.02)
        self.assertLess(durations.first_check_s(ADAPTER), slow_s / 2)

    def test_the_duration_of_loads_does_not_change_that_of_unloads(self) -> None:
        durations = OrderDurations()
        durations.record_completion(ADAPTER, 0.1)
        self.assertEqual(INITIAL_ESTIMATE_S, durations.first_check_s(UNLOAD))

    def test_an_unload_that_waited_for_requests_does_not_change_the_estimate(self) -> None:
        durations = OrderDurations()
        durations.record_completion(UNLOAD, 2.4)
        self.assertEqual(INITIAL_ESTIMATE_S, durations.first_check_s(UNLOAD))
        self.assertLess(MAX_SAMPLE_S, 2.4)

    def test_the_estimate_of_loads_from_disk_is_proportional_to_their_size(self) -> None:
        durations = OrderDurations()
        order = attrs.evolve(ADAPTER, item_kind=ItemKind.MODEL, from_disk=True, item_bytes=1_000)
        self.assertEqual(INITIAL_ESTIMATE_S, durations.first_check_s(order))
        durations.record_completion(order, 2.0)
        larger = attrs.evolve(order, item_bytes=2_000)
        self.assertAlmostEqual(4.0 * CHECK_FRACTION, durations.first_check_s(larger))
        self.assertEqual(
            INITIAL_ESTIMATE_S, durations.first_check_s(attrs.evolve(order, from_disk=False))
        )
