import random
from collections import Counter

from testtools import TestCase

from tests.standins.helpers import temporary_folder
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import Document
from zincvale.standins.arrivals import arrivals
from zincvale.standins.generation import GenerationKey, full_response
from zincvale.standins.load_spec import (
    Between,
    CallerSpec,
    Crowd,
    LoadSpec,
    Popularity,
    RareModels,
    load_load_spec,
)
from zincvale.standins.popularity import ModelPopularity
from zincvale.standins.request_plan import Planner
from zincvale.standins.settings import save_settings

MODELS = [f"m{number}" for number in range(10)]


def documents():
    rows = [
        Document("Pool", "llm", {"kind": "language-model"}),
        Document("Pool", "bins", {"kind": "lookup"}),
        Document("Route", "chats", {"path": "/v1/chats", "pool": "llm", "stream": True}),
        Document("Route", "scans", {"path": "/v1/scans", "pool": "bins", "at_most_once": True}),
        Document("Adapter", "m1-a", {"base_model": "m1", "weight_bytes": 1, "store": "s"}),
    ]
    for name in MODELS:
        spec = {"weight_bytes": 1, "store": "s", "pool": "llm"}
        rows.append(Document("Model", name, spec))
    return rows


def spec(**changes):
    chats = CallerSpec("chats", "chats", 5.0, turns=Between(2, 2), shared_prefix_words=30)
    return LoadSpec([chats, CallerSpec("scans", "scans", 4.0, keys=3)], **changes)


class ArrivalsTest(TestCase):
    def test_same_seed_same_schedule(self):
        first = list(arrivals(spec(), 60.0, 1, 1.0))
        self.assertEqual(first, list(arrivals(spec(), 60.0, 1, 1.0)))
        self.assertNotEqual(first, list(arrivals(spec(), 60.0, 2, 1.0)))

    def test_times_are_sorted_and_the_rate_is_kept(self):
        schedule = list(arrivals(spec(), 600.0, 1, 1.0))
        times = [arrival.at_s for arrival in schedule]
        self.assertEqual(sorted(times), times)
        counts = Counter(arrival.caller for arrival in schedule)
        self.assertAlmostEqual(3000, counts["chats"], delta=165)
        self.assertAlmostEqual(2400, counts["scans"], delta=147)

    def test_a_crowd_multiplies_its_callers_only(self):
        crowd = Crowd(start_s=100, seconds=100, factor=10, callers=["chats"])
        schedule = list(arrivals(spec(crowds=[crowd]), 300.0, 1, 1.0))
        during = Counter(a.caller for a in schedule if 100 <= a.at_s < 200)
        before = Counter(a.caller for a in schedule if a.at_s < 100)
        self.assertAlmostEqual(5000, during["chats"], delta=215)
        self.assertAlmostEqual(500, before["chats"], delta=68)
        self.assertAlmostEqual(400, during["scans"], delta=60)

    def test_rare_models_are_wanted_for_a_while(self):
        burst = RareModels(start_s=10, seconds=10, caller="chats", rate_per_second=20)
        schedule = list(arrivals(spec(rare_models=[burst]), 30.0, 1, 1.0))
        rare = [arrival for arrival in schedule if arrival.tail_share]
        self.assertAlmostEqual(200, len(rare), delta=43)
        self.assertTrue(all(10 <= arrival.at_s < 20 for arrival in rare))
        self.assertEqual(len(schedule), len({(a.caller, a.number) for a in schedule}))

    def test_rate_factor_scales_everything(self):
        self.assertEqual([], list(arrivals(spec(), 60.0, 1, 0.0)))


class PopularityTest(TestCase):
    def _popularity(self, **changes):
        return ModelPopularity(MODELS, {}, Popularity(**changes), "seed")

    def test_the_first_of_the_order_is_the_most_wanted(self):
        popularity = self._popularity()
        source = random.Random(1)
        counts = Counter(popularity.choose(source, 0.0, 0.0, 0.0).model for _ in range(5000))
        order = popularity.order_at(0.0)
        self.assertEqual(order[0], counts.most_common(1)[0][0])
        self.assertGreater(counts[order[0]], 5 * counts[order[-1]])

    def test_a_shift_changes_the_order_from_its_time_on(self):
        popularity = self._popularity(shifts_at_s=[10.0])
        self.assertEqual(popularity.order_at(0.0), popularity.order_at(9.9))
        self.assertNotEqual(popularity.order_at(9.9), popularity.order_at(10.0))

    def test_the_tail_is_drawn_evenly(self):
        popularity = self._popularity()
        source = random.Random(1)
        chosen = {popularity.choose(source, 0.0, 0.0, 0.5).model for _ in range(200)}
        self.assertEqual(set(popularity.order_at(0.0)[5:]), chosen)


class PlannerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.planner = Planner(spec(), documents(), seed=1)
        schedule = list(arrivals(spec(), 60.0, 1, 1.0))
        self.chats = [a for a in schedule if a.caller == "chats"]
        self.scans = [a for a in schedule if a.caller == "scans"]

    def test_a_turn_repeats_what_was_said(self):
        conversation = self.planner.conversation(self.chats[0])
        first = self.planner.plan(conversation, 0, "")
        history = first.prompt + "".join(first.expected)
        second = self.planner.plan(conversation, 1, history)
        self.assertTrue(second.prompt.startswith(history))
        self.assertNotEqual(first.base_id, second.base_id)

    def test_the_expected_answer_is_the_models(self):
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

    def test_an_adapter_belongs_to_its_model(self):
        for arrival in self.chats:
            conversation = self.planner.conversation(arrival)
            if conversation.adapter:
                self.assertEqual("m1", conversation.model)

    def test_a_lookup_carries_a_key(self):
        plan = self.planner.plan(self.planner.conversation(self.scans[0]), 0, "")
        self.assertEqual({"key"}, set(plan.body))
        self.assertTrue(plan.at_most_once)

    def test_callers_mishaps_are_drawn_by_their_shares(self):
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

    def test_an_unknown_route_is_named(self):
        bad = LoadSpec([CallerSpec("chats", "chat", 1.0)])
        error = self.assertRaises(InvalidInputError, Planner, bad, documents(), 1)
        self.assertIn("chats, scans", error.remedy)


class LoadFileTest(TestCase):
    def test_a_crowd_of_unknown_callers_is_refused(self):
        path = temporary_folder(self) / "load.yaml"
        save_settings(spec(crowds=[Crowd(1, 1, 2, ["chat"])]), path)
        error = self.assertRaises(InvalidInputError, load_load_spec, path)
        self.assertIn("'chat'", error.problem)

    def test_an_empty_range_is_refused(self):
        path = temporary_folder(self) / "load.yaml"
        load = spec()
        load.callers[0].max_tokens = Between(9, 3)
        save_settings(load, path)
        self.assertRaises(InvalidInputError, load_load_spec, path)
