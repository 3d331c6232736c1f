"""Blocked links and link conditions."""

from __future__ import annotations

import random

import testtools

from zincvale.simulator.cluster.network import LinkConditions, Network, both_ways, one_way


class NetworkTest(testtools.TestCase):
    def test_blocks_nest_and_conditions_end(self) -> None:
        network = Network(random.Random(1))
        links = both_ways(["a"], ["b"])
        network.block(links)
        network.block(one_way(["a"], ["b"]))
        network.unblock(links)
        self.assertEqual([], network.deliveries("a", "b"))
        self.assertEqual(1, len(network.deliveries("b", "a")))
        network.heal()
        token = network.set_conditions(None, LinkConditions(duplication=1.0))
        self.assertEqual(2, len(network.deliveries("a", "b")))
        network.clear_conditions(token)
        self.assertEqual(1, len(network.deliveries("a", "b")))
