"""The product's own header names."""

from __future__ import annotations

import testtools

from zincvale.dataplane.forwarding.dialect import AttemptFacts
from zincvale.dataplane.forwarding.native_dialect import NativeDialect


class NativeDialectTest(testtools.TestCase):
    def test_headers_are_parsed_and_unreadable_values_count_as_absent(self):
        facts = NativeDialect().caller_facts(
            {
                "x-request-id": "q1",
                "x-deadline-ms": "1500",
                "x-zincvale-model": "m/a1",
                "x-zincvale-tokens": "600,20",
                "x-zincvale-prompt-parts": "aa:500,broken,bb:100",
            }
        )
        self.assertEqual(("q1", 1.5), (facts.request_id, facts.deadline_s))
        self.assertEqual(("m", "a1", 600, 20), _prompt_fields(facts.prompt))
        self.assertEqual(["aa", "bb"], [part.part_id for part in facts.prompt.parts])
        unreadable = NativeDialect().caller_facts({"x-deadline-ms": "soon"})
        self.assertEqual((None, None), (unreadable.deadline_s, unreadable.prompt))

    def test_only_a_servers_statement_proves_that_a_request_did_not_run(self):
        dialect = NativeDialect()
        self.assertFalse(dialect.response_facts(503, {}).never_ran)
        self.assertTrue(dialect.response_facts(503, {"x-zincvale-never-ran": "1"}).never_ran)
        self.assertTrue(dialect.response_facts(421, {}).misdirected)
        sent = dialect.attempt_headers(AttemptFacts("i1", 0.25, 3, "7"))
        self.assertEqual(("250", "7"), (sent["x-deadline-ms"], sent["last-event-id"]))


def _prompt_fields(prompt):
    return prompt.model, prompt.adapter, prompt.input_tokens, prompt.output_tokens
