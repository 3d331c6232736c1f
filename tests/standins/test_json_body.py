from testtools import TestCase

from zincvale.standins.json_body import json_object


class JsonObjectTest(TestCase):
    def test_a_json_object_is_returned(self):
        self.assertEqual({"a": 1}, json_object(b'{"a":1}'))

    def test_a_body_that_is_no_json_object_gives_an_empty_dict(self):
        for body in (b"", b'{"a":', b"[1]", b"null", b"\xff"):
            self.assertEqual({}, json_object(body))
