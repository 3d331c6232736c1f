"""What a digest depends on, and what not."""

from __future__ import annotations

import enum

import attrs
import testtools

from tests.golden.decision_log import DecisionLog, canonical
from zincvale.model.machine import Log


class Colour(enum.Enum):
    RED = "red"


@attrs.frozen
class Pair:
    one: object
    other: object


@attrs.frozen
class RenamedPair:
    first: object
    second: object


def digest(*values: object) -> str:
    log = DecisionLog()
    for value in values:
        log.effect(value)
    return log.digest()


class DecisionDigestsTest(testtools.TestCase):
    def test_names_of_classes_and_fields_do_not_count(self):
        self.assertEqual(digest(Pair(1, Colour.RED)), digest(RenamedPair(1, "red")))

    def test_values_and_their_order_count(self):
        digests = {
            digest(Pair(1, 2)),
            digest(Pair(2, 1)),
            digest(Pair(1.0, 2)),
            digest(Pair(1, 2), Pair(1, 2)),
            digest(Pair({"a": 1, "b": 2}, 0)),
            digest(Pair({"b": 2, "a": 1}, 0)),
            digest(Pair([1, 2], 0)),
            digest(Pair([2, 1], 0)),
        }
        self.assertEqual(8, len(digests))

    def test_sets_count_sorted(self):
        names = [f"name-{number}" for number in range(20)]
        self.assertEqual(canonical(sorted(names)), canonical(frozenset(names)))

    def test_names_of_log_fields_do_not_count_but_numbers_and_values_do(self):
        self.assertEqual(digest(Log(7, {"a": 1})), digest(Log(7, {"b": 1})))
        self.assertNotEqual(digest(Log(7, {"a": 1})), digest(Log(8, {"a": 1})))
        self.assertNotEqual(digest(Log(7, {"a": 1})), digest(Log(7, {"a": 2})))

    def test_a_value_without_a_form_fails_the_digest_even_when_swallowed(self):
        log = DecisionLog()
        self.assertRaises(TypeError, log.add, "entry", object())
        self.assertRaises(TypeError, log.digest)
