"""Adaptive limits of concurrency and rate, and the retry budget."""

from __future__ import annotations

import math

import testtools

from zincvale.dataplane.resilience.limits import AdaptiveConcurrency, AdaptiveRate, RetryBudget


class AdaptiveConcurrencyTest(testtools.TestCase):
    def test_the_limit_grows_while_it_is_used_and_responses_are_fast(self):
        limit = AdaptiveConcurrency(16.0, 4.0)
        for step in range(200):
            limit.on_answered(0.1, outstanding=int(limit.limit), now=step * 0.1)
        self.assertEqual(16.0, limit.limit)

    def test_an_unused_limit_does_not_grow(self):
        limit = AdaptiveConcurrency(16.0, 4.0)
        for step in range(200):
            limit.on_answered(0.1, outstanding=1, now=step * 0.1)
        self.assertEqual(4.0, limit.limit)

    def test_rising_latency_lowers_the_limit(self):
        limit = AdaptiveConcurrency(16.0, 8.0)
        for step in range(20):
            limit.on_answered(0.1, outstanding=8, now=step * 0.1)
        before = limit.limit
        for step in range(40):
            limit.on_answered(1.0, outstanding=16, now=3.0 + step * 0.25)
        self.assertLess(limit.limit, before * 0.6)

    def test_a_burst_of_refusals_lowers_the_limit_once_and_never_below_the_minimum(self):
        limit = AdaptiveConcurrency(10.0, 10.0)
        for _ in range(50):
            limit.on_overloaded(1.0)
        self.assertEqual(8.0, limit.limit)
        for step in range(100):
            limit.on_overloaded(2.0 + step)
        self.assertEqual(1.0, limit.limit)


class AdaptiveRateTest(testtools.TestCase):
    def requests_sent(self, rate, seconds, start=0.0):
        count = 0
        for step in range(int(seconds * 100)):
            now = start + step / 100
            if rate.wait_s(now) == 0.0:
                rate.take(now)
                count += 1
        return count

    def test_without_refusals_a_node_may_use_the_full_rate_and_a_short_burst(self):
        rate = AdaptiveRate(4.0, nodes=8)
        self.assertEqual(1 + 40, self.requests_sent(rate, 10.01))
        self.assertEqual(2 + 40, self.requests_sent(rate, 10.01, start=20.0))

    def test_refusals_lower_the_rate_to_half_a_share_and_responses_raise_it_to_the_ceiling(self):
        rate = AdaptiveRate(4.0, nodes=4)
        for step in range(100):
            rate.on_refused(float(step))
        self.assertEqual(0.5, rate.rate_per_s)
        for _ in range(5):
            rate.on_answered()
        self.assertEqual(4.0, rate.rate_per_s)

    def test_without_a_configured_rate_a_refusal_sets_a_limit_from_the_measured_rate(self):
        rate = AdaptiveRate(math.inf)
        for step in range(50):
            rate.take(step * 0.1)
        rate.on_refused(5.0)
        self.assertAlmostEqual(8.0, rate.rate_per_s, places=1)


class RetryBudgetTest(testtools.TestCase):
    def test_retries_stay_a_fraction_of_the_requests(self):
        budget = RetryBudget()
        granted = 0
        for _ in range(1000):
            budget.on_request()
            granted += budget.take()
        self.assertLessEqual(granted, 1000 * 0.2 + 10)
