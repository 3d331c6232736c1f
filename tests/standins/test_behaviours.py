import random

from testtools import TestCase

from zincvale.standins.behaviours import Behaviour, BehaviourKind, BehaviourTable


class BehaviourTableTest(TestCase):
    def test_a_behaviour_applies_to_its_kind_until_its_count_or_time_is_used_up(self):
        table = BehaviourTable(random.Random(1))
        table.add(Behaviour(BehaviourKind.DROP_RESPONSE, count=1, seconds=5.0), now=10.0)
        self.assertIsNone(table.draw(BehaviourKind.REFUSE, 11.0))
        self.assertIsNotNone(table.draw(BehaviourKind.DROP_RESPONSE, 11.0))
        self.assertIsNone(table.draw(BehaviourKind.DROP_RESPONSE, 11.0))
        table.add(Behaviour(BehaviourKind.DROP_RESPONSE, seconds=5.0), now=10.0)
        self.assertIsNone(table.draw(BehaviourKind.DROP_RESPONSE, 15.0))
        self.assertEqual([], table.active(15.0))

    def test_draws_by_probability_are_reproducible_for_a_seed(self):
        table = BehaviourTable(random.Random(7))
        table.add(Behaviour(BehaviourKind.REFUSE, probability=0.3), now=0.0)
        drawn = sum(table.draw(BehaviourKind.REFUSE, 1.0) is not None for _ in range(1000))
        self.assertEqual(336, drawn)

    def test_slow_factors_multiply_until_cleared(self):
        table = BehaviourTable(random.Random(1))
        for _ in range(2):
            table.add(Behaviour(BehaviourKind.SLOW, factor=3.0), now=0.0)
        self.assertEqual(9.0, table.slow_factor(1.0))
        table.clear()
        self.assertEqual(1.0, table.slow_factor(1.0))
