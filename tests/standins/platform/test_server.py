from tests.standins.helpers import MemoryJournal, TickingClock
from tests.standins.http_case import HttpCase
from zincvale.standins.platform.server import Platform, make_application
from zincvale.standins.settings import ListedServer, PlatformSettings, PolledNode


class PlatformTest(HttpCase):
    def serve(self, exchange, list_lag_s):
        settings = PlatformSettings(
            address="127.0.0.1:9",
            journal="",
            servers=[ListedServer("s1", "127.0.0.1:1", "pool", "zone-a", "lookup")],
            nodes=[PolledNode("n1", "127.0.0.1:2")],
            list_lag_s=list_lag_s,
        )
        self.journal = MemoryJournal()

        def build_application():
            self.platform = Platform(settings, self.journal, TickingClock())
            return make_application(self.platform)

        self.run_with(build_application, exchange)

    def test_the_list_shows_a_replaced_server_after_its_lag(self):
        async def exchange():
            row = {"address": "127.0.0.1:7", "pool": "pool", "zone": "zone-b", "kind": "lookup"}
            await self.call("PUT", "/admin/servers/s1", row)
            seen = []
            for _ in range(4):
                _, response = await self.call("GET", "/v1/servers")
                seen.append(response["servers"][0]["address"])
            self.assertEqual(["127.0.0.1:1"] * 2 + ["127.0.0.1:7"] * 2, seen)
            self.assertEqual(["server-listed"], self.journal.events())

        self.serve(exchange, list_lag_s=3.0)

    def test_only_ready_nodes_are_handed_out(self):
        async def exchange():
            self.assertEqual((200, {"nodes": []}), await self.call("GET", "/v1/nodes"))
            self.platform.readiness.record_poll("n1", True)
            _, response = await self.call("GET", "/v1/nodes")
            self.assertEqual([{"node": "n1", "address": "127.0.0.1:2"}], response["nodes"])
            await self.call("DELETE", "/admin/nodes/n1")
            self.assertEqual((200, {"nodes": []}), await self.call("GET", "/v1/nodes"))
            await self.call("PUT", "/admin/nodes/n2", {"address": "127.0.0.1:3"})
            self.assertEqual({"n2": "127.0.0.1:3"}, self.platform.readiness.addresses())

        self.serve(exchange, list_lag_s=0.0)
