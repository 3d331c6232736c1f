"""Invariants 5, 6, 9: each check passes on a correct journal and finds each kind of breach."""

from __future__ import annotations

from typing import Any

import testtools

from tests.fleet.journal_rows import change, evidence, marker, row
from zincvale.fleet.invariants import changes, in_force, repair
from zincvale.fleet.invariants.rows import Row

ZONE = [{"kind": "Zone", "name": "zone-a", "spec": {"evacuated": True}}]


class ChangeTest(testtools.TestCase):
    def test_a_race_with_one_winner_holds(self) -> None:
        checked = changes.check(
            evidence(
                *change(1, "o1", ZONE, 5, ((2, 200, 6),)),
                *change(1, "o2", ZONE, 5, ((2, 409, None),)),
            )
        )
        self.assertEqual(("held", 2), (checked.verdict, checked.facts))

    def test_two_winners_on_one_base_version_are_a_breach(self) -> None:
        checked = changes.check(
            evidence(
                *change(1, "o1", ZONE, 5, ((2, 200, 6),)),
                *change(1, "o2", ZONE, 5, ((2, 200, 7),)),
            )
        )
        self.assertIn("won on version 5", checked.breaches[0].what)

    def test_one_version_given_to_two_changes_is_a_breach(self) -> None:
        checked = changes.check(
            evidence(
                *change(1, "o1", ZONE, None, ((2, 200, 6),)),
                *change(1, "o2", ZONE, None, ((2, 200, 6),)),
            )
        )
        self.assertIn("was given version 6", checked.breaches[0].what)

    def test_a_later_change_with_a_lower_version_is_a_breach(self) -> None:
        checked = changes.check(
            evidence(
                *change(1, "o1", ZONE, None, ((2, 200, 6),)),
                *change(3, "o2", ZONE, None, ((4, 200, 5),)),
            )
        )
        self.assertIn("version 5 was given after 6", checked.breaches[0].what)

    def test_an_acknowledged_order_refused_when_resent_is_a_breach(self) -> None:
        checked = changes.check(evidence(*change(1, "o1", ZONE, 5, ((2, 200, 6), (50, 409, None)))))
        self.assertIn("was refused (409) when resent", checked.breaches[0].what)

    def test_another_version_for_a_resent_order_is_a_breach(self) -> None:
        checked = changes.check(evidence(*change(1, "o1", ZONE, 5, ((2, 200, 6), (50, 200, 9)))))
        self.assertIn("got version 9 when resent, not 6", checked.breaches[0].what)

    def test_an_order_acknowledged_after_its_refusal_is_a_breach(self) -> None:
        checked = changes.check(evidence(*change(1, "o1", ZONE, 5, ((2, 422, None), (3, 200, 6)))))
        self.assertIn("though it was refused", checked.breaches[0].what)

    def test_a_lost_response_followed_by_an_acknowledgement_holds(self) -> None:
        checked = changes.check(evidence(*change(1, "o1", ZONE, 5, ((2, 0, None), (3, 200, 6)))))
        self.assertEqual("held", checked.verdict)

    def test_a_conflict_that_no_other_change_explains_is_listed_as_not_checked(self) -> None:
        checked = changes.check(evidence(*change(1, "o1", ZONE, 5, ((2, 0, None), (3, 409, None)))))
        self.assertIn("no other acknowledged change", checked.not_checked[0])


class InForceTest(testtools.TestCase):
    def probe(self, asked_t: float, number: int, status: int, ready: bool = True) -> Row:
        return row(
            asked_t + 0.1,
            "probe",
            member="node-1",
            asked_t=asked_t,
            marker=number,
            status=status,
            ready=ready,
        )

    def read(self, asked_t: float, version: int) -> Row:
        return row(
            asked_t + 0.1,
            "intent-read",
            member="core-a",
            asked_t=asked_t,
            status=200,
            version=version,
        )

    def test_a_node_that_has_the_acknowledged_marker_holds(self) -> None:
        checked = in_force.check(
            evidence(*change(1, "o1", marker(1), None, ((2, 200, 6),)), self.probe(5, 1, 422))
        )
        self.assertEqual(("held", 1), (checked.verdict, checked.facts))

    def test_a_ready_node_without_the_marker_is_a_breach(self) -> None:
        checked = in_force.check(
            evidence(*change(1, "o1", marker(1), None, ((2, 200, 6),)), self.probe(5, 1, 404))
        )
        self.assertIn("has no marker 1", checked.breaches[0].what)

    def test_probes_within_two_seconds_of_the_acknowledgement_are_not_checked(self) -> None:
        checked = in_force.check(
            evidence(*change(1, "o1", marker(1), None, ((2, 200, 6),)), self.probe(3.5, 1, 404))
        )
        self.assertEqual("not exercised", checked.verdict)

    def test_a_marker_that_a_later_change_may_have_replaced_is_not_checked(self) -> None:
        checked = in_force.check(
            evidence(
                *change(1, "o1", marker(1), None, ((2, 200, 6),)),
                *change(5, "o2", marker(2), None, ((30, 0, None),)),
                self.probe(6, 1, 404),
            )
        )
        self.assertEqual([], checked.breaches)

    def test_a_node_that_is_not_ready_is_not_checked(self) -> None:
        checked = in_force.check(
            evidence(
                *change(1, "o1", marker(1), None, ((2, 200, 6),)), self.probe(5, 1, 404, False)
            )
        )
        self.assertEqual(1, len(checked.not_checked))

    def test_a_read_below_the_acknowledged_version_is_a_breach(self) -> None:
        rows = change(1, "o1", marker(1), None, ((2, 200, 6),))
        self.assertEqual([], in_force.check(evidence(*rows, self.read(5, 6))).breaches)
        checked = in_force.check(evidence(*rows, self.read(5, 5)))
        self.assertIn("shows version 5 after 6", checked.breaches[0].what)


class RepairTest(testtools.TestCase):
    def last_read(self, version: int, resources: list[dict[str, Any]]) -> Row:
        return row(
            91,
            "intent-read",
            member="core-a",
            asked_t=90.0,
            status=200,
            version=version,
            resources=resources,
        )

    def rows(self) -> list[Row]:
        first = [
            {"kind": "Zone", "name": "zone-a", "spec": {"region": "r"}},
            {"kind": "Zone", "name": "zone-b", "spec": {"region": "r"}},
        ]
        return [
            *change(1, "o1", first, None, ((2, 200, 1),)),
            *change(3, "o2", ZONE, None, ((4, 200, 2),)),
            *change(5, "o3", [{"kind": "Zone", "name": "zone-b"}], None, ((6, 200, 3),)),
        ]

    def expected_resources(self) -> list[dict[str, Any]]:
        spec = {"region": "r", "evacuated": True}
        return [{"kind": "Zone", "name": "zone-a", "spec": spec}]

    def test_an_intent_with_all_acknowledged_changes_holds(self) -> None:
        checked = repair.check(evidence(*self.rows(), self.last_read(3, self.expected_resources())))
        self.assertEqual("held", checked.verdict)

    def test_a_final_intent_of_an_older_version_is_a_breach(self) -> None:
        checked = repair.check(evidence(*self.rows(), self.last_read(2, self.expected_resources())))
        self.assertIn("ended at version 2, below 3", checked.breaches[0].what)

    def test_a_lost_field_breaks(self) -> None:
        lost = [{"kind": "Zone", "name": "zone-a", "spec": {"region": "r", "evacuated": False}}]
        checked = repair.check(evidence(*self.rows(), self.last_read(3, lost)))
        self.assertIn("evacuated is False, not True", checked.breaches[0].what)

    def test_a_lost_resource_is_a_breach(self) -> None:
        checked = repair.check(evidence(*self.rows(), self.last_read(3, [])))
        self.assertIn("Zone zone-a is missing", checked.breaches[0].what)

    def test_a_deleted_resource_that_is_present_again_is_a_breach(self) -> None:
        back = [
            *self.expected_resources(),
            {"kind": "Zone", "name": "zone-b", "spec": {"region": "r"}},
        ]
        checked = repair.check(evidence(*self.rows(), self.last_read(3, back)))
        self.assertIn("is back after its deletion", checked.breaches[0].what)

    def test_fields_set_by_an_unconfirmed_order_are_not_compared(self) -> None:
        undo = [{"kind": "Zone", "name": "zone-a", "spec": {"evacuated": False}}]
        rows = [*self.rows(), *change(7, "o4", undo, None, ((8, 0, None),))]
        undone = [{"kind": "Zone", "name": "zone-a", "spec": {"region": "r", "evacuated": False}}]
        checked = repair.check(evidence(*rows, self.last_read(4, undone)))
        self.assertEqual([], checked.breaches)
        self.assertIn("core-a: 1 fields that unanswered orders may have set", checked.not_checked)
