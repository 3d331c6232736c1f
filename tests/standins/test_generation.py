from testtools import TestCase

from zincvale.standins.generation import (
    Generation,
    GenerationKey,
    full_response,
    lookup_value,
    response_length,
)

KEY = GenerationKey("loan-explainer", "", "what does it cost", 40)


class GenerationTest(TestCase):
    def test_response_is_the_same_on_every_server(self):
        generation = Generation(KEY)
        tokens = []
        while not generation.is_finished():
            tokens.append(generation.next_token())
        self.assertEqual(full_response(KEY), tokens)

    def test_response_is_stable_across_releases(self):
        self.assertEqual(["pogezi ", "lagiro ", "keziso "], full_response(KEY)[:3])
        self.assertEqual("dfd9ff5ce138", lookup_value("scan-1"))

    def test_model_adapter_and_prompt_each_change_the_response(self):
        others = [
            GenerationKey("fees-explainer", "", KEY.prompt, 40),
            GenerationKey(KEY.model, "loan-explainer-north", KEY.prompt, 40),
            GenerationKey(KEY.model, "", "what does it cost now", 40),
        ]
        responses = {tuple(full_response(key)[:10]) for key in [KEY, *others]}
        self.assertEqual(4, len(responses))

    def test_continuation_after_a_correct_prefix_yields_the_rest_of_the_response(self):
        complete = full_response(KEY)
        generation = Generation(KEY, complete[:7])
        rest = []
        while not generation.is_finished():
            rest.append(generation.next_token())
        self.assertEqual(complete[7:], rest)
        self.assertEqual(len(complete), generation.generated)

    def test_continuation_after_a_wrong_prefix_differs(self):
        complete = full_response(KEY)
        generation = Generation(KEY, [*complete[:6], "spliced "])
        self.assertNotEqual(complete[7], generation.next_token())

    def test_length_is_between_half_and_all_of_max_tokens(self):
        lengths = {
            response_length(GenerationKey("m", "", f"prompt {number}", 40)) for number in range(200)
        }
        self.assertGreaterEqual(min(lengths), 20)
        self.assertLessEqual(max(lengths), 40)
        self.assertGreater(len(lengths), 10)
