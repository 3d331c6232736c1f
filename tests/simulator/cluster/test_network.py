"""Blocked links and the conditions of links, such as message duplication."""

from __future__ import annotations

import random

import testtools

from zincvale.simulator.cluster.network import LinkConditions, Network, one_way_links, two_way_links


class NetworkTest(testtools.TestCase):
    def test_link_is_blocked_until_every_block_is_undone_and_conditions_are_cleared(self) -> None:
        network = Network(random.Random(1))
        links = two_way_links(["a"], ["b"])
        network.block(links)
        network.block(one_way_links(["a"], ["b"]))
        network.unblock(links)
        self.assertEqual([], network.delivery_delays("a", "b"))
        self.assertEqual(1, len(network.delivery_delays("b", "a")))
        network.heal()
        token = network.set_conditions(None, LinkConditions(duplication=1.0))
        self.assertEqual(2, len(network.delivery_delays("a", "b")))
        network.clear_conditions(token)
        self.assertEqual(1, len(network.delivery_delays("a", "b")))
