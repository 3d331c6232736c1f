"""Complete exchanges of callers with scripted nodes; delays are recorded instead of waited for."""

import asyncio
import itertools

from testtools import TestCase

from tests.standins.helpers import MemoryJournal, TickingClock
from tests.standins.load.sample_load import documents
from zincvale.standins.load.arrivals import Arrival
from zincvale.standins.load.callers import Callers
from zincvale.standins.load.http_client import Attempt
from zincvale.standins.load.request_plan import Planner
from zincvale.standins.load.retry import AttemptOutcome, AttemptResult
from zincvale.standins.load.spec import Between, CallerSpec, LoadSpec
from zincvale.standins.settings import CallersSettings

NODES = [{"node": f"n{number}", "address": f"127.0.0.1:{number}"} for number in (1, 2, 3)]
ANSWERED = AttemptResult(AttemptOutcome.ANSWERED)


def send_chunks(count):
    """Return a step that sends `count` more chunks and then disconnects."""

    def step(plan, attempt, check):
        for index in range(check.last_event_id + 1, check.last_event_id + 1 + count):
            check.on_chunk(index, plan.expected[index - 1])
        attempt.chunks = count
        attempt.first_at = attempt.last_chunk_at = float(check.last_event_id)
        attempt.result = AttemptResult(AttemptOutcome.INTERRUPTED)

    return step


def send_full_response(plan, attempt, check):
    """Send the missing chunks and the end event."""
    send_chunks(len(plan.expected) - check.last_event_id)(plan, attempt, check)
    check.on_end(len(plan.expected))
    attempt.is_complete = True
    attempt.result = ANSWERED


def send_value(plan, attempt, check):
    """Respond to a lookup with its value."""
    check.on_full_text(plan.expected[0])
    attempt.response_request_id = attempt.request_id
    attempt.is_complete = True
    attempt.result = ANSWERED


def end_with(kind, **fields):
    """Return a step that sends no data and ends with an outcome."""

    def step(plan, attempt, check):
        attempt.result = AttemptResult(kind, **fields)

    return step


class ScriptedNodes:
    """A client whose attempts follow a script; the last step is repeated."""

    def __init__(self, steps):
        self.steps = steps

    async def get_json(self, address, path, timeout_s):
        return {"nodes": NODES}

    async def attempt(self, plan, request_id, address, check, deadline_at):
        attempt = Attempt(request_id, address)
        step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
        step(plan, attempt, check)
        return attempt


class CallersTest(TestCase):
    def run_callers(self, steps, route="chats", **changes):
        caller = CallerSpec(route, route, 1.0, max_tokens=Between(9, 9), **changes)
        spec = LoadSpec([caller])
        settings = CallersSettings("", "", "127.0.0.1:9", "", "", seconds=1.0, seed=6)
        self.journal = MemoryJournal()
        self.delays = []

        async def sleep(seconds):
            self.delays.append(seconds)
            await asyncio.sleep(0)

        planner = Planner(spec, documents(), 6)
        clock = TickingClock(step_s=0.01)
        callers = Callers(settings, spec, planner, ScriptedNodes(steps), self.journal, clock, sleep)
        callers.nodes.replace([(row["node"], row["address"]) for row in NODES])

        async def run_conversation():
            await callers.run_conversation(Arrival(0.0, route, 1))
            await asyncio.sleep(0)

        asyncio.run(run_conversation())
        return callers.summary.to_json()[route]

    def sent(self):
        rows = [row for row in self.journal.rows if row["event"] == "send"]
        return [(row["request_id"], row["last_event_id"]) for row in rows]

    def last_result(self):
        return [row for row in self.journal.rows if row["event"] == "result"][-1]

    def test_a_broken_stream_is_resumed_on_another_node_from_the_last_chunk(self):
        figures = self.run_callers(
            [send_chunks(3), end_with(AttemptOutcome.LOST), send_full_response]
        )
        self.assertEqual([("chats-6-1-1", 0), ("chats-6-1-1", 3), ("chats-6-1-1", 3)], self.sent())
        nodes = [row["node"] for row in self.journal.rows if row["event"] == "send"]
        self.assertTrue(all(first != second for first, second in itertools.pairwise(nodes)))
        result = self.last_result()
        self.assertTrue(result["correct"] and result["final"] and result["complete"])
        self.assertEqual({"answered": 1}, figures["outcomes"])
        self.assertEqual(1, figures["gap_ms"]["count"])

    def test_a_refused_request_starts_over_with_a_new_id(self):
        refused = end_with(AttemptOutcome.REFUSED, reason="overloaded", retry_after_s=2.0)
        self.run_callers([refused, send_full_response])
        self.assertEqual([("chats-6-1-1", 0), ("chats-6-1-1.1", 0)], self.sent())
        self.assertIn(2.0, self.delays)

    def test_an_unknown_outcome_is_requested_again_with_the_same_id(self):
        self.run_callers([end_with(AttemptOutcome.UNKNOWN), send_value], "scans")
        self.assertEqual([("scans-6-1-1", 0), ("scans-6-1-1", 0)], self.sent())

    def test_a_response_lost_on_the_last_hop_is_requested_again(self):
        figures = self.run_callers([send_value], "scans", lost_answer_share=1.0)
        self.assertEqual([("scans-6-1-1", 0)] * 2, self.sent())
        self.assertEqual({"lost": 1, "answered": 1}, figures["attempts"])
        self.assertEqual(0, figures["wrong_answers"])

    def test_the_lost_end_of_a_stream_is_requested_from_its_last_chunk(self):
        self.run_callers([send_full_response], lost_answer_share=1.0)
        ids = [last_event_id for _, last_event_id in self.sent()]
        self.assertEqual([0, self.last_result()["last_event_id"]], ids)
        self.assertTrue(self.last_result()["correct"])

    def test_an_abandoned_stream_counts_as_lost_mid_response(self):
        figures = self.run_callers([send_chunks(1)], max_attempts=3)
        self.assertEqual(3, len(self.sent()))
        self.assertEqual((1, 0), (figures["lost_mid_answer"], figures["wrong_answers"]))
        self.assertFalse(self.last_result()["correct"])

    def test_a_duplicate_goes_to_another_node_with_the_same_id(self):
        self.run_callers([send_value], "scans", duplicate_share=1.0)
        sends = [row for row in self.journal.rows if row["event"] == "send"]
        self.assertEqual(["scans-6-1-1"] * 2, [row["request_id"] for row in sends])
        self.assertNotEqual(sends[0]["node"], sends[1]["node"])
        results = [row for row in self.journal.rows if row["event"] == "result"]
        self.assertEqual([False, True], sorted(row["final"] for row in results))
        self.assertTrue(all(row["correct"] for row in results))

    def test_a_caller_that_hangs_up_does_not_retry(self):
        hung_up = end_with(AttemptOutcome.HUNG_UP)
        figures = self.run_callers([hung_up, send_full_response])
        self.assertEqual(1, len(self.sent()))
        self.assertFalse(self.last_result()["final"])
        self.assertEqual(0, figures["lost_mid_answer"])

    def test_a_conversation_continues_only_after_a_complete_response(self):
        self.run_callers([send_full_response], turns=Between(2, 2), think_s=7.0)
        self.assertEqual(["chats-6-1-1", "chats-6-1-2"], [row[0] for row in self.sent()])
        self.assertIn(7.0, self.delays)
        self.run_callers([end_with(AttemptOutcome.LOST)], turns=Between(2, 2), max_attempts=1)
        self.assertEqual(["chats-6-1-1"], [row[0] for row in self.sent()])
