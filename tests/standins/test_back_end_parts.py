import random

from testtools import TestCase

from zincvale.standins.bandwidth import Pull, SharedBandwidth
from zincvale.standins.behaviours import Behaviour, BehaviourKind, BehaviourTable
from zincvale.standins.deployment import LookupProfile
from zincvale.standins.lookup import LookupLimiter
from zincvale.standins.platform_state import LaggingList, NodeReadiness
from zincvale.standins.settings import ListedServer, PolledNode


class SharedBandwidthTest(TestCase):
    def test_pulls_share_evenly(self):
        shared = SharedBandwidth(100.0)
        for pull_id in (1, 2):
            shared.open(Pull(pull_id, 1000, float("inf")), 0.0)
        self.assertEqual({1: 50.0, 2: 50.0}, shared.rates())

    def test_what_a_capped_pull_leaves_goes_to_the_others(self):
        shared = SharedBandwidth(100.0)
        shared.open(Pull(1, 1000, 20.0), 0.0)
        shared.open(Pull(2, 1000, 200.0), 0.0)
        self.assertEqual({1: 20.0, 2: 80.0}, shared.rates())

    def test_a_pull_takes_its_size_over_its_rate(self):
        shared = SharedBandwidth(100.0)
        pull = Pull(1, 100, float("inf"))
        shared.open(pull, 0.0)
        for step in range(1, 10):
            shared.advance(step / 10)
        self.assertAlmostEqual(90.0, pull.sent_bytes)
        self.assertFalse(pull.complete())
        shared.advance(1.0)
        self.assertTrue(pull.complete())

    def test_nothing_is_sent_during_a_freeze(self):
        shared = SharedBandwidth(100.0)
        pull = Pull(1, 10_000, float("inf"))
        shared.open(pull, 0.0)
        shared.advance(60.0)
        self.assertEqual(25.0, pull.sent_bytes)


class LookupLimiterTest(TestCase):
    def test_rate_and_burst(self):
        limiter = LookupLimiter(LookupProfile(lookups_per_second=4.0, burst=2, max_running=9), 0.0)
        self.assertEqual([True, True, False], [limiter.begin(0.0) for _ in range(3)])
        self.assertFalse(limiter.begin(0.2))
        self.assertTrue(limiter.begin(0.25))

    def test_concurrency(self):
        limiter = LookupLimiter(LookupProfile(burst=9, max_running=1), 0.0)
        self.assertEqual([True, False], [limiter.begin(0.0) for _ in range(2)])
        limiter.end()
        self.assertTrue(limiter.begin(0.0))


class BehaviourTableTest(TestCase):
    def test_count_time_and_kind_bound_a_behaviour(self):
        table = BehaviourTable(random.Random(1))
        table.add(Behaviour(BehaviourKind.DROP_RESPONSE, count=1, seconds=5.0), now=10.0)
        self.assertIsNone(table.draw(BehaviourKind.REFUSE, 11.0))
        self.assertIsNotNone(table.draw(BehaviourKind.DROP_RESPONSE, 11.0))
        self.assertIsNone(table.draw(BehaviourKind.DROP_RESPONSE, 11.0))
        table.add(Behaviour(BehaviourKind.DROP_RESPONSE, seconds=5.0), now=10.0)
        self.assertIsNone(table.draw(BehaviourKind.DROP_RESPONSE, 15.0))
        self.assertEqual([], table.active(15.0))

    def test_probability_is_seeded(self):
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


class PlatformStateTest(TestCase):
    def _row(self, server, address):
        return ListedServer(server, address, "pool", "zone-a", "lookup")

    def test_the_list_lags(self):
        listing = LaggingList(3.0, [self._row("s1", "127.0.0.1:1")])
        listing.put(self._row("s2", "127.0.0.1:2"), 10.0)
        listing.remove("s1", 11.0)
        names = [[row.server for row in listing.visible(now)] for now in (10.0, 12.9, 13.0, 14.0)]
        self.assertEqual([["s1"], ["s1"], ["s1", "s2"], ["s2"]], names)

    def test_a_replaced_server_shows_its_new_address_late(self):
        listing = LaggingList(3.0, [self._row("s1", "127.0.0.1:1")])
        listing.put(self._row("s1", "127.0.0.1:9"), 0.0)
        self.assertEqual("127.0.0.1:1", listing.visible(2.0)[0].address)
        self.assertEqual("127.0.0.1:9", listing.visible(3.0)[0].address)

    def test_a_node_is_handed_out_after_one_good_poll_until_two_bad_ones(self):
        readiness = NodeReadiness([PolledNode("n1", "127.0.0.1:1")], unready_after_polls=2)
        changes = [
            readiness.record_poll("n1", ok) for ok in (False, True, False, True, False, False)
        ]
        self.assertEqual([None, True, None, None, None, False], changes)
        self.assertEqual([], readiness.ready_nodes())

    def test_a_replaced_node_is_unready_until_polled(self):
        readiness = NodeReadiness([PolledNode("n1", "127.0.0.1:1")], unready_after_polls=2)
        readiness.record_poll("n1", True)
        readiness.put(PolledNode("n1", "127.0.0.1:2"))
        self.assertEqual([], readiness.ready_nodes())
        readiness.remove("n1")
        self.assertIsNone(readiness.record_poll("n1", True))
