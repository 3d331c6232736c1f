"""The retry budget and the slow start limit of all nodes together."""

from __future__ import annotations

import testtools

from zincvale.dataplane.forwarding.fleet_budgets import (
    RetryBudget,
    RetryConfig,
    SlowStartLimiter,
    rendezvous_rank,
)


class RetryBudgetTest(testtools.TestCase):
    def test_retries_of_all_nodes_together_stay_within_the_budget(self):
        config = RetryConfig(ratio=0.2, slack=200.0, window_s=10.0)
        for nodes in (1, 3, 11, 80):
            budgets = [RetryBudget(config) for _ in range(nodes)]
            requests = retries = 0
            for number in range(400):
                budget = budgets[number % nodes]
                budget.record_request(5.0)
                requests += 1
                retries += budget.take(nodes, 5.0)
            self.assertTrue(0 < retries <= 0.2 * requests + 200.0, (nodes, retries))

    def test_retries_before_the_window_do_not_count(self):
        budget = RetryBudget(RetryConfig(ratio=0.0, slack=2.0, window_s=10.0))
        self.assertTrue(budget.take(1, 0.0))
        self.assertFalse(budget.take(1, 9.0))
        self.assertTrue(budget.take(1, 10.5))


class SlowStartLimiterTest(testtools.TestCase):
    def requests_sent(self, nodes, allowed, second_s=1.0):
        names = [f"n{number}" for number in range(nodes)]
        total = 0
        for name in names:
            limiter = SlowStartLimiter()
            rank = rendezvous_rank(name, names, "s1")
            for step in range(100):
                now = step * second_s / 100
                if limiter.may_send(allowed, rank, nodes, now):
                    limiter.record_sent(now)
                    total += 1
        return total

    def test_requests_of_all_nodes_together_stay_within_the_rate_of_a_server(self):
        for nodes in (1, 2, 3, 11, 83, 300):
            total = self.requests_sent(nodes, 17.0)
            self.assertTrue(0 < total <= 17, (nodes, total))

    def test_two_partitions_that_each_count_only_their_own_nodes_stay_within_a_bound(self):
        self.assertTrue(2 * self.requests_sent(6, 17.0) <= 21)
