from testtools import TestCase

from tests.standins.load.sample_load import documents, spec
from zincvale.model.errors import InvalidInputError
from zincvale.standins.generation import GenerationKey, full_response
from zincvale.standins.load.arrivals import arrivals
from zincvale.standins.load.request_plan import Planner
from zincvale.standins.load.spec import (
    CallerSpec,
    LoadSpec,
)


class PlannerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(spec(), documents(), seed=1)
        schedule = list(arrivals(spec(), 60.0, 1, 1.0))
        self.chats = [a for a in schedule if a.caller == "chats"]
        self.scans = [a for a in schedule if a.caller == "scans"]

    def test_the_prompt_of_a_turn_begins_with_the_earlier_prompts_and_responses(self):
        conversation = self.planner.conversation(self.chats[0])
        first = self.planner.plan(conversation, 0, "")
        history = first.prompt + "".join(first.expected)
        second = self.planner.plan(conversation, 1, history)
        self.assertTrue(second.prompt.startswith(history))
        self.assertNotEqual(first.base_id, second.base_id)

    def test_the_expected_response_is_the_one_that_the_model_generates(self):
        plan = self.planner.plan(self.planner.conversation(self.chats[0]), 0, "")
        key = GenerationKey(plan.model, plan.adapter, plan.prompt, plan.body["max_tokens"])
        self.assertEqual(full_response(key), plan.expected)
        self.assertTrue(plan.stream)

    def test_prompts_for_one_model_share_their_prefix(self):
        prompts = {}
        for arrival in self.chats:
            conversation = self.planner.conversation(arrival)
            plan = self.planner.plan(conversation, 0, "")
            prompts.setdefault(plan.model, []).append(plan.prompt.split()[:30])
        for prefixes in prompts.values():
            self.assertEqual([prefixes[0]] * len(prefixes), prefixes)

    def test_a_conversation_names_only_an_adapter_of_its_model(self):
        for arrival in self.chats:
            conversation = self.planner.conversation(arrival)
            if conversation.adapter:
                self.assertEqual("m1", conversation.model)

    def test_the_body_of_a_lookup_has_only_a_key(self):
        plan = self.planner.plan(self.planner.conversation(self.scans[0]), 0, "")
        self.assertEqual({"key"}, set(plan.body))
        self.assertTrue(plan.at_most_once)

    def test_caller_faults_are_drawn_according_to_their_shares(self):
        load = spec()
        for caller in load.callers:
            caller.hang_up_share = caller.duplicate_share = 0.5
        planner = Planner(load, documents(), seed=1)
        plans = {
            caller: [planner.plan(planner.conversation(a), 0, "") for a in rows[:100]]
            for caller, rows in (("chats", self.chats), ("scans", self.scans))
        }
        self.assertAlmostEqual(
            50, sum(p.hang_up_after_chunks > 0 for p in plans["chats"]), delta=16
        )
        self.assertEqual(0, sum(p.is_duplicated for p in plans["chats"]))
        self.assertAlmostEqual(50, sum(p.is_duplicated for p in plans["scans"]), delta=16)
        self.assertEqual(0, sum(p.hang_up_after_chunks for p in plans["scans"]))

    def test_the_error_for_an_unknown_route_names_the_known_routes(self):
        load = LoadSpec([CallerSpec("chats", "chat", 1.0)])
        error = self.assertRaises(InvalidInputError, Planner, load, documents(), 1)
        self.assertIn("chats, scans", error.remedy)
