"""When a node abandons a long poll, and which host it polls next."""

import random

from testtools import TestCase

from zincvale.coordination.config import NodeConfig
from zincvale.coordination.delivery.long_poll_client import (
    ISOLATED_HOST_BACKOFF_S,
    MAX_TOLERATED_LAG_S,
    LongPollClient,
)
from zincvale.coordination.delivery.messages import PollResponse
from zincvale.coordination.registers.messages import TableDelta

HOSTS = ["core-1", "core-2"]
STEP_S = 0.05


class LaggingPollTest(TestCase):
    """Cores report newer versions that the poll in progress does not deliver."""

    def setUp(self):
        super().setUp()
        self.config = NodeConfig("c", "n1", "i1", "z1", "r", "10.0.0.1:1", "10.0.0.1:2")
        self.client = LongPollClient(self.config, ("intent",), random.Random(1))
        self.now = 0.0
        self.polls = list(self.client.tick(HOSTS, self.now))

    def wait(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for host in HOSTS:
                self.client.on_newest_versions(host, {"intent": 5}, self.now)
            self.polls += self.client.tick(HOSTS, self.now)

    def test_the_first_lagging_poll_is_abandoned_after_a_short_wait(self):
        self.wait(0.4)
        self.assertEqual(2, len(self.polls))

    def test_a_slow_response_is_requested_less_and_less_often(self):
        self.wait(20.0)
        self.assertLess(len(self.polls), 12)
        interval_after_growth_s = 20.0 / (len(self.polls) - 4)
        self.assertLess(interval_after_growth_s, 2 * MAX_TOLERATED_LAG_S)

    def test_a_core_that_knows_newer_versions_is_polled_although_another_is_preferred(self):
        self.client = LongPollClient(self.config, ("intent",), random.Random(1))
        near, newer = HOSTS
        (first,) = self.client.tick([near], 0.0)
        self.assertEqual(near, first.to)
        self.client.on_newest_versions(newer, {"intent": 5}, 0.5)
        self.client.on_newest_versions(newer, {"intent": 5}, 1.1)
        (second,) = self.client.tick([near], 1.1)
        self.assertEqual(newer, second.to)

    def test_a_core_that_hears_no_majority_is_avoided_while_another_exists(self):
        (near, other), now = HOSTS, 5.0
        client = LongPollClient(self.config, ("intent",), random.Random(1))
        (poll,) = client.tick([near], now)
        isolated = PollResponse([], [], "", None, is_isolated=True)
        client.handle_response(poll.token, isolated, now)
        self.assertEqual([other], client.without_isolated_hosts(HOSTS, now + 1.0))
        self.assertEqual([near], client.without_isolated_hosts([near], now + 1.0))
        self.assertEqual(
            HOSTS, client.without_isolated_hosts(HOSTS, now + ISOLATED_HOST_BACKOFF_S + 0.1)
        )

    def test_the_tolerated_lag_is_reset_once_the_node_has_caught_up(self):
        self.wait(20.0)
        full_response = PollResponse(
            [TableDelta("intent", None, 5, {"row": b"x"}, [])], [], "", None
        )
        self.client.handle_response(self.polls[-1].token, full_response, self.now)
        self.polls = list(self.client.tick(HOSTS, self.now))
        self.client.on_newest_versions(HOSTS[0], {"intent": 5}, self.now)
        poll_count = len(self.polls)
        for _ in range(8):
            self.now += STEP_S
            for host in HOSTS:
                self.client.on_newest_versions(host, {"intent": 6}, self.now)
            self.polls += self.client.tick(HOSTS, self.now)
        self.assertEqual(poll_count + 1, len(self.polls))
