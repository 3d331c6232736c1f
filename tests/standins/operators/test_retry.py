from testtools import TestCase

from zincvale.standins.operators.retry import OrderRetry, Verdict


class OrderRetryTest(TestCase):
    def test_an_order_is_resent_after_a_lost_acknowledgement(self):
        retry = OrderRetry(lost_acknowledgements=1, give_up_at=10.0)
        verdicts = [retry.after(200, 0.0), retry.after(200, 0.0)]
        self.assertEqual([Verdict.RESEND, Verdict.ACKNOWLEDGED], verdicts)

    def test_an_order_is_resent_after_a_missing_response_or_server_error_until_give_up_at(self):
        retry = OrderRetry(0, give_up_at=10.0)
        for status in (0, 500, 503, 504):
            self.assertEqual(Verdict.RESEND, retry.after(status, 9.0))
        self.assertEqual(Verdict.GAVE_UP, retry.after(503, 10.0))

    def test_an_order_is_not_resent_after_a_conflict_or_an_invalid_change(self):
        retry = OrderRetry(0, give_up_at=10.0)
        self.assertEqual(Verdict.CONFLICT, retry.after(409, 0.0))
        self.assertEqual(Verdict.REFUSED, retry.after(422, 0.0))
