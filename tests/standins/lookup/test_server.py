from tests.standins.helpers import MemoryJournal, TickingClock
from tests.standins.http_case import IDENTITY, HttpCase
from zincvale.standins.deployment import LookupProfile
from zincvale.standins.generation import lookup_value
from zincvale.standins.lookup import server as lookup_server


class LookupServerTest(HttpCase):
    def test_a_lookup_returns_its_value_and_one_over_the_rate_limit_is_refused(self):
        journal = MemoryJournal()

        def make_application():
            profile = LookupProfile(lookups_per_second=0.0, burst=1, service_s=0.0)
            lookup = lookup_server.Lookup(IDENTITY, profile, journal, TickingClock())
            return lookup_server.make_application(lookup)

        async def exchange():
            expected = {"request_id": "r1", "key": "k", "value": lookup_value("k")}
            path = "/v1/lookup?key=k&request_id="
            self.assertEqual((200, expected), await self.call("GET", path + "r1"))
            refused = (429, {"request_id": "r2", "error": "rate", "ran": False})
            self.assertEqual(refused, await self.call("GET", path + "r2"))
            self.assertEqual(["run", "done", "refuse"], journal.events())

        self.run_with(make_application, exchange)
