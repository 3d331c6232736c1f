import random

from testtools import TestCase

from zincvale.standins.load.progress import NodePicker


class NodePickerTest(TestCase):
    def test_a_resend_goes_to_another_node(self):
        picker = NodePicker(random.Random(1))
        picker.replace([("n1", "127.0.0.1:1"), ("n2", "127.0.0.1:2")])
        self.assertEqual({"n2"}, {picker.pick("n1")[0] for _ in range(20)})

    def test_the_only_node_is_used_again(self):
        picker = NodePicker(random.Random(1))
        self.assertIsNone(picker.pick(""))
        picker.replace([("n1", "127.0.0.1:1")])
        self.assertEqual("n1", picker.pick("n1")[0])
