from testtools import TestCase

from zincvale.standins.weight_store.bandwidth import Pull, SharedBandwidth


class SharedBandwidthTest(TestCase):
    def test_uncapped_pulls_share_the_bandwidth_equally(self):
        shared = SharedBandwidth(100.0)
        for pull_id in (1, 2):
            shared.open(Pull(pull_id, 1000, float("inf")), 0.0)
        self.assertEqual({1: 50.0, 2: 50.0}, shared.rates())

    def test_bandwidth_that_a_capped_pull_leaves_goes_to_the_others(self):
        shared = SharedBandwidth(100.0)
        shared.open(Pull(1, 1000, 20.0), 0.0)
        shared.open(Pull(2, 1000, 200.0), 0.0)
        self.assertEqual({1: 20.0, 2: 80.0}, shared.rates())

    def test_the_duration_of_a_pull_is_its_size_divided_by_its_rate(self):
        shared = SharedBandwidth(100.0)
        pull = Pull(1, 100, float("inf"))
        shared.open(pull, 0.0)
        for step in range(1, 10):
            shared.advance(step / 10)
        self.assertAlmostEqual(90.0, pull.sent_bytes)
        self.assertFalse(pull.is_complete())
        shared.advance(1.0)
        self.assertTrue(pull.is_complete())

    def test_a_long_gap_between_advances_counts_as_a_freeze(self):
        shared = SharedBandwidth(100.0)
        pull = Pull(1, 10_000, float("inf"))
        shared.open(pull, 0.0)
        shared.advance(60.0)
        self.assertEqual(25.0, pull.sent_bytes)
