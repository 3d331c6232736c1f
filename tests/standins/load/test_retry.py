from testtools import TestCase

from zincvale.standins.load.retry import (
    AttemptOutcome,
    AttemptResult,
    CallerRetry,
    RequestDone,
    Resend,
)


class CallerRetryTest(TestCase):
    def _after(self, outcome, has_chunks=False, now=0.0, attempts=5, **fields):
        retry = CallerRetry(attempts, deadline_at=10.0)
        return retry.after(AttemptResult(outcome, **fields), has_chunks, now)

    def test_a_lost_or_unknown_response_is_requested_with_the_same_id(self):
        for outcome in (AttemptOutcome.LOST, AttemptOutcome.UNKNOWN, AttemptOutcome.NOT_CONNECTED):
            self.assertEqual(Resend(0.1, new_id=False), self._after(outcome))

    def test_a_refused_request_is_sent_with_a_new_id_after_retry_after(self):
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

    def test_a_stream_that_cannot_be_resumed_is_not_sent_again(self):
        self.assertEqual(RequestDone(), self._after(AttemptOutcome.INTERRUPTED, resumable=False))

    def test_retries_are_limited_by_attempts_and_deadline(self):
        self.assertEqual(RequestDone(gave_up=True), self._after(AttemptOutcome.LOST, attempts=1))
        self.assertEqual(RequestDone(gave_up=True), self._after(AttemptOutcome.LOST, now=9.95))

    def test_backoff_doubles_up_to_a_limit(self):
        retry = CallerRetry(10, deadline_at=100.0)
        lost = AttemptResult(AttemptOutcome.LOST)
        delays = [retry.after(lost, False, 0.0).delay_s for _ in range(6)]
        self.assertEqual([0.1, 0.2, 0.4, 0.8, 1.0, 1.0], delays)
