"""Safety of orders over many changes of leader, documents and demand, in virtual time."""

from __future__ import annotations

import testtools

from tests.daemons.order_soak import OrderSoak

SEEDS = (*range(1, 21), 271)
SEEDS_WITH_FREEZES_AT_SEND = (8, 20, 30, 31, 47, 51, 62, 88, 89)
SEEDS_WITH_RETIREMENTS = (1, 2, 3, 6, 7, 9, 13, 17, 21, 33, 100)
RUN_S = 150.0
CALM_S = 30.0
"""Time in which requests wait until what they ask for is loaded."""
MIN_ORDERS_PER_RUN = 100
"""Least mean over all seeds, so that the soak cannot pass without sending orders."""
MIN_LEADER_CHANGES = 8
UNCOUNTED_REPLICAS_EVENT = 5025


class OrderSoakTest(testtools.TestCase):
    def test_no_order_exceeds_a_servers_limit_or_comes_from_a_former_leader(self) -> None:
        accepted_orders = 0
        for seed in SEEDS:
            soak = OrderSoak(seed)
            soak.run(RUN_S)
            accepted_orders += soak.accepted_orders()
            self.assertEqual([], soak.problems, f"seed {seed}")
            self.assertEqual(0, soak.events[UNCOUNTED_REPLICAS_EVENT], f"seed {seed}")
            self.assertGreater(soak.leader_changes, MIN_LEADER_CHANGES, f"seed {seed}")
        self.assertGreater(accepted_orders / len(SEEDS), MIN_ORDERS_PER_RUN)

    def test_no_server_executes_an_order_that_a_frozen_leader_sends_late(self) -> None:
        for seed in SEEDS_WITH_FREEZES_AT_SEND:
            soak = OrderSoak(seed, freezes_at_send=True)
            soak.run(RUN_S)
            self.assertEqual([], soak.problems, f"seed {seed}")
            self.assertEqual(0, soak.events[UNCOUNTED_REPLICAS_EVENT], f"seed {seed}")

    def test_each_declared_model_is_served_again_after_models_were_retired_and_cores_restarted(
        self,
    ) -> None:
        """Guards against retired copies that fill the servers, and loads beyond their room."""
        for seed in SEEDS_WITH_RETIREMENTS:
            soak = OrderSoak(seed, retires_models=True)
            soak.run(RUN_S, CALM_S)
            self.assertEqual([], soak.problems, f"seed {seed}")
            self.assertEqual([], soak.unserved_items(), f"seed {seed}")

    def test_equal_seeds_give_equal_runs(self) -> None:
        runs = []
        for _ in range(2):
            soak = OrderSoak(5)
            soak.run(40.0)
            runs.append((soak.events, soak.accepted_orders(), soak.leader_changes))
        self.assertEqual(runs[0], runs[1])
