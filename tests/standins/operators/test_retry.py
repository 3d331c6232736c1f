from testtools import TestCase

from zincvale.standins.operators.retry import OrderRetry, Verdict


class OrderRetryTest(TestCase):
    def test_a_lost_acknowledgement_sends_the_same_order_again(self):
        retry = OrderRetry(lost_acknowledgements=1, give_up_at=10.0)
        verdicts = [retry.after(200, 0.0), retry.after(200, 0.0)]
        self.assertEqual([Verdict.RESEND, Verdict.ACKNOWLEDGED], verdicts)

    def test_no_response_and_not_confirmed_are_sent_again_until_given_up(self):
        retry = OrderRetry(0, give_up_at=10.0)
        for status in (0, 500, 503, 504):
            self.assertEqual(Verdict.RESEND, retry.after(status, 9.0))
        self.assertEqual(Verdict.GAVE_UP, retry.after(503, 10.0))

    def test_a_conflict_and_an_invalid_change_are_final(self):
        retry = OrderRetry(0, give_up_at=10.0)
        self.assertEqual(Verdict.CONFLICT, retry.after(409, 0.0))
        self.assertEqual(Verdict.REFUSED, retry.after(422, 0.0))
