from tests.standins.helpers import MemoryJournal, TickingClock
from tests.standins.http_case import HttpCase
from zincvale.standins.weight_store import server as weight_store


class WeightStoreTest(HttpCase):
    def test_weights_are_sent_at_reduced_size_and_a_pull_beyond_the_limit_is_refused(self):
        journal = MemoryJournal()

        def make_application():
            self.store = weight_store.WeightStore("s", 10**12, 1, journal, TickingClock())
            return weight_store.make_application(self.store)

        async def exchange():
            url = f"{self.base_url}/v1/weights/m?bytes=5000001&puller=s1"
            response = await self.client.fetch(url)
            self.assertEqual(6, len(response.body))
            self.assertEqual(["pull-start", "pull-end"], journal.events())
            self.assertTrue(journal.rows[-1]["complete"])
            self.store.max_concurrent_pulls = 0
            status, _ = await self.call("GET", "/v1/weights/m?bytes=1&puller=s2")
            self.assertEqual((503, "pull-refused"), (status, journal.events()[-1]))

        self.run_with(make_application, exchange)
