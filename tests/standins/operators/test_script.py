from testtools import TestCase

from tests.standins.operators.sample_change import POOL
from zincvale.standins.operators.script import (
    Base,
    OperatorScript,
    ScriptedChange,
    ScriptedRace,
    orders,
)


class OperatorScriptTest(TestCase):
    def test_the_changes_of_a_burst_are_numbered_and_spaced(self):
        change = ScriptedChange(2.0, [POOL], name="burst", repeat=3, every_s=0.5)
        planned = orders(OperatorScript([change]), seed=4)
        self.assertEqual([2.0, 2.5, 3.0], [order.at_s for order in planned])
        sizes = [order.resources[0]["spec"]["max_queue"] for order in planned]
        self.assertEqual([1, 2, 3], sizes)
        self.assertEqual(3, len({order.order_id for order in planned}))

    def test_contenders_of_a_race_have_the_same_time_and_base_version(self):
        race = ScriptedRace(1.0, [[POOL], [POOL]], repeat=2)
        planned = orders(OperatorScript(races=[race]), seed=4)
        self.assertEqual([1.0, 1.0, 2.0, 2.0], [order.at_s for order in planned])
        self.assertEqual([0, 1, 0, 1], [order.contender for order in planned])
        self.assertEqual({Base.CURRENT}, {order.base for order in planned})
        self.assertEqual(2, len({order.race for order in planned}))
