from collections import Counter

from testtools import TestCase

from tests.standins.load.sample_load import spec
from zincvale.standins.load.arrivals import arrivals
from zincvale.standins.load.spec import (
    Crowd,
    RareModels,
)


class ArrivalsTest(TestCase):
    def test_the_same_seed_gives_the_same_schedule(self):
        first = list(arrivals(spec(), 60.0, 1, 1.0))
        self.assertEqual(first, list(arrivals(spec(), 60.0, 1, 1.0)))
        self.assertNotEqual(first, list(arrivals(spec(), 60.0, 2, 1.0)))

    def test_times_are_sorted_and_match_the_rate_of_each_caller(self):
        schedule = list(arrivals(spec(), 600.0, 1, 1.0))
        times = [arrival.at_s for arrival in schedule]
        self.assertEqual(sorted(times), times)
        counts = Counter(arrival.caller for arrival in schedule)
        self.assertAlmostEqual(3000, counts["chats"], delta=165)
        self.assertAlmostEqual(2400, counts["scans"], delta=147)

    def test_a_crowd_multiplies_the_rate_of_its_callers_only(self):
        crowd = Crowd(start_s=100, seconds=100, factor=10, callers=["chats"])
        schedule = list(arrivals(spec(crowds=[crowd]), 300.0, 1, 1.0))
        during = Counter(a.caller for a in schedule if 100 <= a.at_s < 200)
        before = Counter(a.caller for a in schedule if a.at_s < 100)
        self.assertAlmostEqual(5000, during["chats"], delta=215)
        self.assertAlmostEqual(500, before["chats"], delta=68)
        self.assertAlmostEqual(400, during["scans"], delta=60)

    def test_a_burst_for_rare_models_is_limited_to_its_interval(self):
        burst = RareModels(start_s=10, seconds=10, caller="chats", rate_per_second=20)
        schedule = list(arrivals(spec(rare_models=[burst]), 30.0, 1, 1.0))
        rare = [arrival for arrival in schedule if arrival.tail_share]
        self.assertAlmostEqual(200, len(rare), delta=43)
        self.assertTrue(all(10 <= arrival.at_s < 20 for arrival in rare))
        self.assertEqual(len(schedule), len({(a.caller, a.number) for a in schedule}))

    def test_a_rate_factor_of_zero_yields_no_arrivals(self):
        self.assertEqual([], list(arrivals(spec(), 60.0, 1, 0.0)))
