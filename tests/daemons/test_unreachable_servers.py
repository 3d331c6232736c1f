"""When the status of an unreachable server is requested again."""

from __future__ import annotations

import testtools

from zincvale.daemons.unreachable_servers import RETRY_INTERVAL_S, UnreachableServers
from zincvale.model.identifiers import ServerId

S1, S2 = ServerId("s1"), ServerId("s2")


class UnreachableServersTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.now = 10.0
        self.requested: list[ServerId] = []
        self.servers = UnreachableServers(lambda: self.now, self.requested.append)

    def tick_after(self, seconds: float) -> None:
        self.now += seconds
        self.servers.tick(self.now)

    def test_the_status_of_an_added_server_is_requested_once_per_interval(self) -> None:
        self.servers.add(S1)
        self.tick_after(RETRY_INTERVAL_S / 2)
        self.assertEqual([], self.requested)
        self.tick_after(RETRY_INTERVAL_S / 2)
        self.tick_after(RETRY_INTERVAL_S / 2)
        self.assertEqual([S1], self.requested)
        self.tick_after(RETRY_INTERVAL_S / 2)
        self.assertEqual([S1, S1], self.requested)

    def test_a_check_requests_a_status_at_once_except_for_a_tracked_server(self) -> None:
        self.servers.check(S1)
        self.servers.check(S1)
        self.assertEqual([S1], self.requested)
        self.servers.add(S2)
        self.servers.check(S2)
        self.assertEqual([S1], self.requested)

    def test_due_statuses_are_requested_in_the_order_in_which_servers_were_added(self) -> None:
        self.servers.add(S2)
        self.servers.add(S1)
        self.tick_after(RETRY_INTERVAL_S)
        self.assertEqual([S2, S1], self.requested)

    def test_the_status_of_a_removed_server_is_not_requested(self) -> None:
        self.servers.add(S1)
        self.assertIn(S1, self.servers)
        self.servers.remove(S1)
        self.servers.remove(S2)
        self.tick_after(RETRY_INTERVAL_S)
        self.assertEqual([], self.requested)
        self.assertNotIn(S1, self.servers)

    def test_no_status_is_requested_after_the_servers_are_cleared(self) -> None:
        self.servers.add(S1)
        self.servers.add(S2)
        self.servers.clear()
        self.tick_after(RETRY_INTERVAL_S)
        self.assertEqual([], self.requested)
