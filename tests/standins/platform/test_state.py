from testtools import TestCase

from zincvale.standins.platform.state import LaggingList, NodeReadiness
from zincvale.standins.settings import ListedServer, PolledNode


class PlatformStateTest(TestCase):
    def _row(self, server, address):
        return ListedServer(server, address, "pool", "zone-a", "lookup")

    def test_the_list_shows_changes_after_its_lag(self):
        server_list = LaggingList(3.0, [self._row("s1", "127.0.0.1:1")])
        server_list.put(self._row("s2", "127.0.0.1:2"), 10.0)
        server_list.remove("s1", 11.0)
        names = [
            [row.server for row in server_list.visible(now)] for now in (10.0, 12.9, 13.0, 14.0)
        ]
        self.assertEqual([["s1"], ["s1"], ["s1", "s2"], ["s2"]], names)

    def test_the_new_address_of_a_replaced_server_is_listed_after_the_lag(self):
        server_list = LaggingList(3.0, [self._row("s1", "127.0.0.1:1")])
        server_list.put(self._row("s1", "127.0.0.1:9"), 0.0)
        self.assertEqual("127.0.0.1:1", server_list.visible(2.0)[0].address)
        self.assertEqual("127.0.0.1:9", server_list.visible(3.0)[0].address)

    def test_a_node_is_ready_after_one_successful_poll_and_unready_after_two_failed_ones(self):
        readiness = NodeReadiness([PolledNode("n1", "127.0.0.1:1")], unready_after_polls=2)
        changes = [
            readiness.record_poll("n1", ok) for ok in (False, True, False, True, False, False)
        ]
        self.assertEqual([None, True, None, None, None, False], changes)
        self.assertEqual([], readiness.ready_nodes())

    def test_a_replaced_node_is_unready_until_a_poll_succeeds(self):
        readiness = NodeReadiness([PolledNode("n1", "127.0.0.1:1")], unready_after_polls=2)
        readiness.record_poll("n1", True)
        readiness.put(PolledNode("n1", "127.0.0.1:2"))
        self.assertEqual([], readiness.ready_nodes())
        readiness.remove("n1")
        self.assertIsNone(readiness.record_poll("n1", True))
