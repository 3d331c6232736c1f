import random

from testtools import TestCase

from zincvale.standins.answer_check import ResponseCheck
from zincvale.standins.caller_progress import NodePicker
from zincvale.standins.caller_retry import (
    AttemptOutcome,
    AttemptResult,
    CallerRetry,
    RequestDone,
    Resend,
)
from zincvale.standins.event_stream import EventStreamReader, StreamEvent

WIRE = (
    b'id: 1\ndata: {"text":"a "}\n\nid: 2\r\ndata: {"text":"b "}\r\n\r\n'
    b': comment\n\nevent: end\ndata: {"count":2}\n\nid: 3\ndata: {"te'
)


class EventStreamTest(TestCase):
    def test_any_split_of_the_wire_gives_the_same_events(self):
        all_events = EventStreamReader().feed(WIRE)
        self.assertEqual(StreamEvent("message", "2", '{"text":"b "}'), all_events[1])
        self.assertEqual(["message", "message", "end"], [event.event for event in all_events])
        for cut in range(1, len(WIRE)):
            reader = EventStreamReader()
            self.assertEqual(all_events, reader.feed(WIRE[:cut]) + reader.feed(WIRE[cut:]))


class ResponseCheckTest(TestCase):
    def _check(self, chunks, count=None):
        check = ResponseCheck(["a ", "b ", "c "])
        for index, text in chunks:
            check.on_chunk(index, text)
        if count is not None:
            check.on_end(count)
        return check

    def test_the_correct_response(self):
        check = self._check([(1, "a "), (2, "b "), (3, "c ")], 3)
        self.assertTrue(check.is_correct())
        self.assertEqual(check.expected_digest(), check.digest())

    def test_a_skip(self):
        self.assertEqual(1, self._check([(1, "a "), (3, "c ")]).faults.skips)

    def test_a_repeat(self):
        self.assertEqual(1, self._check([(1, "a "), (1, "a ")]).faults.repeats)

    def test_a_splice(self):
        self.assertEqual(1, self._check([(1, "a "), (2, "x ")]).faults.splices)

    def test_more_than_there_is(self):
        check = self._check([(1, "a "), (2, "b "), (3, "c "), (4, "d ")], 4)
        self.assertEqual((1, 1), (check.faults.splices, check.faults.wrong_ends))

    def test_a_partial_response_that_claims_to_be_complete(self):
        check = self._check([(1, "a "), (2, "b ")], 2)
        self.assertEqual(1, check.faults.wrong_ends)
        self.assertFalse(check.is_correct())

    def test_a_partial_response_is_not_correct(self):
        self.assertFalse(self._check([(1, "a "), (2, "b ")]).is_correct())


class CallerRetryTest(TestCase):
    def _after(self, outcome, has_chunks=False, now=0.0, attempts=5, **fields):
        retry = CallerRetry(attempts, deadline_at=10.0)
        return retry.after(AttemptResult(outcome, **fields), has_chunks, now)

    def test_a_lost_or_unknown_response_is_requested_with_the_same_id(self):
        for outcome in (AttemptOutcome.LOST, AttemptOutcome.UNKNOWN, AttemptOutcome.NOT_CONNECTED):
            self.assertEqual(Resend(0.1, new_id=False), self._after(outcome))

    def test_a_refused_request_starts_over_after_retry_after(self):
        step = self._after(AttemptOutcome.REFUSED, reason="overloaded", retry_after_s=2.0)
        self.assertEqual(Resend(2.0, new_id=True), step)

    def test_a_refused_resume_keeps_its_id(self):
        step = self._after(AttemptOutcome.REFUSED, has_chunks=True, retry_after_s=1.0)
        self.assertEqual(Resend(1.0, new_id=False), step)

    def test_a_duplicate_waits_for_the_first_attempt(self):
        step = self._after(AttemptOutcome.REFUSED, reason="in-progress")
        self.assertEqual(Resend(0.5, new_id=False), step)

    def test_an_invalid_request_is_not_sent_again(self):
        step = self._after(AttemptOutcome.REFUSED, reason="invalid")
        self.assertEqual(RequestDone(), step)

    def test_a_stream_that_cannot_go_on_is_over(self):
        self.assertEqual(RequestDone(), self._after(AttemptOutcome.INTERRUPTED, resumable=False))

    def test_attempts_and_deadline_bound_it(self):
        self.assertEqual(RequestDone(gave_up=True), self._after(AttemptOutcome.LOST, attempts=1))
        self.assertEqual(RequestDone(gave_up=True), self._after(AttemptOutcome.LOST, now=9.95))

    def test_delays_grow_to_a_limit(self):
        retry = CallerRetry(10, deadline_at=100.0)
        lost = AttemptResult(AttemptOutcome.LOST)
        delays = [retry.after(lost, False, 0.0).delay_s for _ in range(6)]
        self.assertEqual([0.1, 0.2, 0.4, 0.8, 1.0, 1.0], delays)


class NodePickerTest(TestCase):
    def test_a_resend_goes_to_another_node(self):
        choice = NodePicker(random.Random(1))
        choice.replace([("n1", "127.0.0.1:1"), ("n2", "127.0.0.1:2")])
        self.assertEqual({"n2"}, {choice.pick("n1")[0] for _ in range(20)})

    def test_a_lone_node_is_used_again(self):
        choice = NodePicker(random.Random(1))
        self.assertIsNone(choice.pick(""))
        choice.replace([("n1", "127.0.0.1:1")])
        self.assertEqual("n1", choice.pick("n1")[0])
