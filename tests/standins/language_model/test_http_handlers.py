import asyncio

from tests.standins.helpers import MemoryJournal, TickingClock
from tests.standins.http_case import IDENTITY, HttpCase
from zincvale.standins.deployment import LanguageModelProfile
from zincvale.standins.generation import GenerationKey, full_response
from zincvale.standins.language_model import http_handlers as language_model_server
from zincvale.standins.language_model.server import LanguageModel
from zincvale.standins.language_model.weight_puller import PullError
from zincvale.standins.settings import ResidentModel

KEY = GenerationKey("m", "", "hello world", 12)


class ControlledPuller:
    """A puller whose pulls end when the test sets their futures."""

    def __init__(self):
        self.pulls = {}

    async def pull(self, store, name, size_bytes, is_needed):
        self.pulls[name] = asyncio.get_running_loop().create_future()
        await self.pulls[name]


class LanguageModelServerTest(HttpCase):
    def setUp(self):
        super().setUp()
        self.journal = MemoryJournal()
        self.puller = ControlledPuller()

    def serve(self, exchange):
        def make_application():
            profile = LanguageModelProfile(100_000_000, 1, ramp_s=0.0, kv_cache_bytes=40_000_000)
            self.model = LanguageModel(IDENTITY, profile, self.journal, TickingClock(), self.puller)
            self.model.preload([ResidentModel("m", 1000, {"a": 10})])
            return language_model_server.make_application(self.model)

        self.run_with(make_application, exchange)

    def generate(self, request_id, **changes):
        body = {
            "request_id": request_id,
            "model": KEY.model,
            "prompt": KEY.prompt,
            "max_tokens": KEY.max_tokens,
        }
        return {**body, **changes}

    def test_a_request_without_stream_gets_the_complete_response(self):
        async def exchange():
            status, response = await self.call("POST", "/v1/generate", self.generate("r1"))
            expected_tokens = full_response(KEY)
            expected = {
                "request_id": "r1",
                "text": "".join(expected_tokens),
                "tokens": len(expected_tokens),
            }
            self.assertEqual((200, expected), (status, response))
            self.assertEqual(["run", "done"], self.journal.events()[-2:])

        self.serve(exchange)

    def test_a_stream_numbers_its_tokens_after_the_prefix_and_sends_an_end_event(self):
        async def exchange():
            expected_tokens = full_response(KEY)
            body = self.generate("r1", stream=True, prefix=expected_tokens[:4])
            blocks = (await self.response_text("/v1/generate", body)).strip().split("\n\n")
            self.assertEqual(f'id: 5\ndata: {{"text":"{expected_tokens[4]}"}}', blocks[0])
            self.assertEqual(f'event: end\ndata: {{"count":{len(expected_tokens)}}}', blocks[-1])
            self.assertEqual(len(expected_tokens) - 4 + 1, len(blocks))

        self.serve(exchange)

    def test_a_refusal_states_that_the_request_did_not_run(self):
        async def exchange():
            not_resident = self.generate("r1", model="other")
            self.assertEqual(
                (404, {"request_id": "r1", "error": "not-resident", "ran": False}),
                await self.call("POST", "/v1/generate", not_resident),
            )
            unknown_field = self.generate("r2", promt="x")
            status, response = await self.call("POST", "/v1/generate", unknown_field)
            self.assertEqual((422, False), (status, response["ran"]))
            self.assertIn("prompt", response["remedy"])
            await self.call("POST", "/admin/behaviour", {"kind": "refuse", "count": 1})
            self.assertEqual(
                (503, {"request_id": "r3", "error": "overloaded", "ran": False}),
                await self.call("POST", "/v1/generate", self.generate("r3")),
            )
            self.assertNotIn("run", self.journal.events())

        self.serve(exchange)

    def test_load_and_unload_orders_are_executed_or_refused(self):
        async def exchange():
            load = {"order_id": "o1", "epoch": 3, "model": "n", "bytes": 500, "store": "x:1"}
            self.assertEqual(202, (await self.call("POST", "/v1/models/load", load))[0])
            self.assertEqual(202, (await self.call("POST", "/v1/models/load", load))[0])
            status = (await self.call("GET", "/status"))[1]
            states = {row["name"]: row["state"] for row in status["models"]}
            self.assertEqual({"m": "loaded", "n": "loading"}, states)
            self.assertEqual(1510, status["used_bytes"])
            self.puller.pulls["n"].set_result(None)
            self.assertEqual(200, (await self.call("POST", "/v1/models/load", load))[0])
            large = {**load, "model": "large", "bytes": 10**9}
            status, response = await self.call("POST", "/v1/models/load", large)
            self.assertEqual((409, "memory"), (status, response["error"]))
            adapter = {**load, "model": "", "adapter": "b", "base_model": "none"}
            status, response = await self.call("POST", "/v1/adapters/load", adapter)
            self.assertEqual((409, "base-model"), (status, response["error"]))
            unload = {"order_id": "o2", "epoch": 3, "model": "m"}
            self.assertEqual(200, (await self.call("POST", "/v1/models/unload", unload))[0])
            self.assertEqual(404, (await self.call("POST", "/v1/models/unload", unload))[0])
            self.assertEqual(500, self.model.residency.used_bytes())
            refused = [row for row in self.journal.rows if row["event"] == "order-refused"]
            self.assertEqual(
                ["memory", "base-model", "not-held"], [row["error"] for row in refused]
            )

        self.serve(exchange)

    def test_a_failed_pull_releases_its_memory(self):
        async def exchange():
            load = {"order_id": "o1", "epoch": 3, "model": "n", "bytes": 500, "store": "x:1"}
            await self.call("POST", "/v1/models/load", load)
            self.puller.pulls["n"].set_exception(PullError("gone"))
            await self.call("GET", "/status")
            self.assertEqual(1010, self.model.residency.used_bytes())
            self.assertEqual("load-failed", self.journal.events()[-1])

        self.serve(exchange)

    def test_a_request_whose_response_is_dropped_is_journalled_as_run(self):
        async def exchange():
            await self.call("POST", "/admin/behaviour", {"kind": "drop-answer", "count": 1})
            status, _ = await self.call("POST", "/v1/generate", self.generate("r1"))
            self.assertEqual(0, status)
            self.assertEqual(["run", "done", "dropped"], self.journal.events()[-3:])

        self.serve(exchange)

    def test_swapped_responses_carry_the_other_request_id(self):
        async def exchange():
            await self.call("POST", "/admin/behaviour", {"kind": "crossed-answer", "count": 2})
            responses = await asyncio.gather(
                self.call("POST", "/v1/generate", self.generate("r1")),
                self.call("POST", "/v1/generate", self.generate("r2")),
            )
            self.assertEqual(["r2", "r1"], [response["request_id"] for _, response in responses])

        self.serve(exchange)

    def test_behaviours_make_a_stream_skip_or_repeat_a_token(self):
        async def exchange():
            numbers = {}
            for kind in ("skip-piece", "repeat-piece"):
                behaviour = {"kind": kind, "after_tokens": 1, "count": 1}
                await self.call("POST", "/admin/behaviour", behaviour)
                text = await self.response_text("/v1/generate", self.generate("r1", stream=True))
                lines = text.split("\n")
                numbers[kind] = [line[4:] for line in lines if line.startswith("id: ")][:3]
            expected = {"skip-piece": ["1", "3", "4"], "repeat-piece": ["1", "2", "2"]}
            self.assertEqual(expected, numbers)

        self.serve(exchange)

    def test_a_cut_stream_closes_the_connection_and_cancels_the_run(self):
        async def exchange():
            cut = {"kind": "cut-stream", "after_tokens": 2}
            await self.call("POST", "/admin/behaviour", cut)
            body = self.generate("r1", stream=True)
            status, _ = await self.call("POST", "/v1/generate", body)
            self.assertEqual(0, status)
            self.assertEqual(0, self.model.engine.running_count())

        self.serve(exchange)
