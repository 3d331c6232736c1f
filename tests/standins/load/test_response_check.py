from testtools import TestCase

from zincvale.standins.load.response_check import ResponseCheck


class ResponseCheckTest(TestCase):
    def _check(self, chunks, count=None):
        check = ResponseCheck(["a ", "b ", "c "])
        for index, text in chunks:
            check.on_chunk(index, text)
        if count is not None:
            check.on_end(count)
        return check

    def test_a_complete_correct_response_has_no_faults(self):
        check = self._check([(1, "a "), (2, "b "), (3, "c ")], 3)
        self.assertTrue(check.is_correct())
        self.assertEqual(check.expected_digest(), check.digest())

    def test_a_skipped_chunk_is_counted(self):
        self.assertEqual(1, self._check([(1, "a "), (3, "c ")]).faults.skips)

    def test_a_repeated_chunk_is_counted(self):
        self.assertEqual(1, self._check([(1, "a "), (1, "a ")]).faults.repeats)

    def test_a_chunk_with_wrong_text_is_counted(self):
        self.assertEqual(1, self._check([(1, "a "), (2, "x ")]).faults.splices)

    def test_chunks_beyond_the_expected_response_are_counted(self):
        check = self._check([(1, "a "), (2, "b "), (3, "c "), (4, "d ")], 4)
        self.assertEqual((1, 1), (check.faults.splices, check.faults.wrong_ends))

    def test_an_end_event_after_a_partial_response_is_counted(self):
        check = self._check([(1, "a "), (2, "b ")], 2)
        self.assertEqual(1, check.faults.wrong_ends)
        self.assertFalse(check.is_correct())

    def test_a_partial_response_is_not_correct(self):
        self.assertFalse(self._check([(1, "a "), (2, "b ")]).is_correct())
