import random
from collections import Counter

from testtools import TestCase

from tests.standins.load.sample_load import MODELS
from zincvale.standins.load.popularity import ModelPopularity
from zincvale.standins.load.spec import (
    Popularity,
)


class PopularityTest(TestCase):
    def _popularity(self, **changes):
        return ModelPopularity(MODELS, {}, Popularity(**changes), "seed")

    def test_the_first_model_of_the_order_is_requested_most_often(self):
        popularity = self._popularity()
        source = random.Random(1)
        counts = Counter(popularity.choose(source, 0.0, 0.0, 0.0).model for _ in range(5000))
        order = popularity.order_at(0.0)
        self.assertEqual(order[0], counts.most_common(1)[0][0])
        self.assertGreater(counts[order[0]], 5 * counts[order[-1]])

    def test_a_shift_changes_the_order_from_its_time_onwards(self):
        popularity = self._popularity(shifts_at_s=[10.0])
        self.assertEqual(popularity.order_at(0.0), popularity.order_at(9.9))
        self.assertNotEqual(popularity.order_at(9.9), popularity.order_at(10.0))

    def test_a_tail_share_draws_only_the_least_popular_models(self):
        popularity = self._popularity()
        source = random.Random(1)
        chosen = {popularity.choose(source, 0.0, 0.0, 0.5).model for _ in range(200)}
        self.assertEqual(set(popularity.order_at(0.0)[5:]), chosen)
