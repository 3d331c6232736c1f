from testtools import TestCase

from zincvale.standins.deployment import LookupProfile
from zincvale.standins.lookup.rate_limiter import LookupLimiter


class LookupLimiterTest(TestCase):
    def test_lookups_are_limited_by_rate_and_burst(self):
        limiter = LookupLimiter(LookupProfile(lookups_per_second=4.0, burst=2, max_running=9), 0.0)
        self.assertEqual([True, True, False], [limiter.begin(0.0) for _ in range(3)])
        self.assertFalse(limiter.begin(0.2))
        self.assertTrue(limiter.begin(0.25))

    def test_concurrent_lookups_are_limited(self):
        limiter = LookupLimiter(LookupProfile(burst=9, max_running=1), 0.0)
        self.assertEqual([True, False], [limiter.begin(0.0) for _ in range(2)])
        limiter.end()
        self.assertTrue(limiter.begin(0.0))
