"""Digests of decisions depend on values and their order, and not on identifiers."""

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
    def test_names_of_classes_and_fields_do_not_change_a_digest(self):
        self.assertEqual(digest(Pair(1, Colour.RED)), digest(RenamedPair(1, "red")))

    def test_values_and_their_order_change_a_digest(self):
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

    def test_sets_are_hashed_in_sorted_order(self):
        names = [f"name-{number}" for number in range(20)]
        self.assertEqual(canonical(sorted(names)), canonical(frozenset(names)))

    def test_numbers_and_values_of_log_events_change_a_digest_but_field_names_do_not(self):
        self.assertEqual(digest(Log(7, {"a": 1})), digest(Log(7, {"b": 1})))
        self.assertNotEqual(digest(Log(7, {"a": 1})), digest(Log(8, {"a": 1})))
        self.assertNotEqual(digest(Log(7, {"a": 1})), digest(Log(7, {"a": 2})))

    def test_the_digest_fails_after_a_value_without_canonical_form(
        self,
    ):
        log = DecisionLog()
        self.assertRaises(TypeError, log.add, "entry", object())
        self.assertRaises(TypeError, log.digest)
