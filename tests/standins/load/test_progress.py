import random

from testtools import TestCase

from zincvale.standins.load.progress import NodePicker


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
