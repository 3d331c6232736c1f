"""The checks of the soak notice each form of a broken rule."""

from __future__ import annotations

import testtools

from tests.soak.checks import check
from tests.soak.documents import Document
from tests.soak.history import (
    Answer,
    ChangeRecord,
    EvacuationRecord,
    History,
    ProcessEnd,
    ReadRecord,
    RequestRecord,
    ServerRun,
)

OLD = Document(1, {"base-0": ("service-a",)})
NEW = Document(2, {"base-0": ("service-b",), "added-1": ("service-a",)})


def change(document: Document, sent_at: float, *acknowledged_at: float) -> ChangeRecord:
    return ChangeRecord(
        f"c{document.number}",
        document.number,
        document.number - 1,
        b"",
        True,
        document,
        True,
        sent_at,
        list(acknowledged_at),
    )


def request(sent_at: float, answer: Answer, path: str, service: str = "") -> RequestRecord:
    return RequestRecord(
        "q1", "machine-5", 1, path, "probe", sent_at, sent_at + 0.01, answer, 200, service
    )


class ChecksTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.history = History(changes=[change(OLD, 0.0, 1.0), change(NEW, 10.0, 10.1)])

    def rules(self) -> list[str]:
        return [problem.rule for problem in check(self.history).problems]

    def test_answers_by_the_newest_version_are_allowed(self) -> None:
        self.history.requests = [
            request(20.0, Answer.RAN, "base-0", "service-b"),
            request(20.0, Answer.RAN, "added-1", "service-a"),
            request(20.0, Answer.NOT_FOUND, "never-existed"),
        ]
        self.assertEqual([], self.rules())

    def test_an_older_version_is_allowed_until_its_bound_after_the_acknowledgement(self) -> None:
        self.history.requests = [request(12.05, Answer.RAN, "base-0", "service-a")]
        self.assertEqual([], self.rules())
        self.history.requests = [request(12.2, Answer.RAN, "base-0", "service-a")]
        self.assertEqual(["not-in-force"], self.rules())

    def test_a_404_on_an_added_route_is_noticed(self) -> None:
        self.history.requests = [request(12.2, Answer.NOT_FOUND, "added-1")]
        self.assertEqual(["not-in-force"], self.rules())

    def test_a_machine_is_not_in_touch_while_it_is_cut_off_and_the_contact_time_after(self) -> None:
        self.history.machine("machine-5").cut_off.append([11.0, 15.0])
        self.history.requests = [request(17.9, Answer.RAN, "base-0", "service-a")]
        self.assertEqual([], self.rules())
        self.history.requests = [request(18.1, Answer.RAN, "base-0", "service-a")]
        self.assertEqual(["not-in-force"], self.rules())

    def test_a_change_that_is_not_acknowledged_in_time_is_noticed(self) -> None:
        self.history.note(30.0, "end")
        self.history.changes.append(change(Document(3, {}), 20.0))
        self.assertEqual(["late-acknowledgement"], self.rules())
        self.history.changes[-1].acknowledged_at.append(24.5)
        self.assertEqual(["late-acknowledgement"], self.rules())
        self.history.changes[-1].acknowledged_at[:] = [23.9]
        self.assertEqual([], self.rules())

    def test_an_acknowledgement_may_be_late_around_an_unstable_core_or_a_cut(self) -> None:
        self.history.note(30.0, "end")
        self.history.changes.append(change(Document(3, {}), 20.0, 25.0))
        self.history.machine("machine-5").cut_off.append([10.0, 17.5])
        self.assertEqual([], self.rules())
        self.history.machine("machine-5").cut_off[:] = [[10.0, 16.5]]
        self.assertEqual(["late-acknowledgement"], self.rules())
        self.history.disturbed("machine-1", 23.0, is_core=True)
        self.assertEqual([], self.rules())

    def test_a_machine_that_was_frozen_is_not_in_touch(self) -> None:
        self.history.disturbed("machine-5", 11.0, is_core=False)
        self.history.requests = [request(12.2, Answer.NOT_FOUND, "added-1")]
        self.assertEqual([], self.rules())

    def test_an_unstable_core_stretches_the_bound_but_not_for_ever(self) -> None:
        self.history.disturbed("machine-0", 16.0, is_core=True)
        self.history.requests = [request(16.5, Answer.NOT_FOUND, "added-1")]
        self.assertEqual([], self.rules())
        self.history.requests = [request(17.5, Answer.NOT_FOUND, "added-1")]
        self.assertEqual(["not-in-force"], self.rules())

    def test_a_run_of_a_node_that_returns_to_an_older_version_is_noticed(self) -> None:
        self.history.changes[1].acknowledged_at = []
        self.history.requests = [
            request(10.5, Answer.RAN, "base-0", "service-b"),
            request(10.9, Answer.RAN, "base-0", "service-a"),
        ]
        self.assertEqual(["regressed"], self.rules())

    def test_a_refused_change_in_force_is_noticed(self) -> None:
        self.history.changes[1].acknowledged_at = []
        self.history.changes[1].refused_at = [(10.2, 412)]
        self.history.requests = [request(10.5, Answer.RAN, "added-1", "service-a")]
        self.assertEqual(["refused-in-force"], self.rules())

    def test_two_changes_on_one_version_that_are_both_acknowledged_are_noticed(self) -> None:
        first, second = change(NEW, 10.0, 10.1), change(NEW, 10.0, 10.2)
        first.name, second.name = "x", "y"
        first.rival, second.rival = "y", "x"
        self.history.changes[1:] = [first, second]
        self.assertEqual(["both-acknowledged"] * 2, self.rules())

    def test_an_acknowledged_change_that_is_refused_when_sent_again_is_noticed(self) -> None:
        self.history.changes[1].refused_at = [(11.0, 412)]
        self.assertEqual(["acknowledged-refused"], self.rules())

    def test_a_refused_change_that_is_acknowledged_later_is_noticed(self) -> None:
        self.history.changes[1].refused_at = [(10.05, 412)]
        self.assertEqual(["refused-acknowledged"], self.rules())

    def test_an_invalid_change_that_is_acknowledged_is_noticed(self) -> None:
        invalid = change(Document(3, NEW.routes), 11.0, 11.1)
        invalid.is_valid = False
        self.history.changes.append(invalid)
        self.assertEqual(["invalid-acknowledged"], self.rules())

    def test_a_read_that_is_older_or_differs_is_noticed(self) -> None:
        self.history.reads = [ReadRecord("machine-0", 10.2, 10.3, 1, OLD)]
        self.assertEqual(["read-older"], self.rules())
        self.history.reads = [ReadRecord("machine-0", 10.2, 10.3, 2, Document(2, OLD.routes))]
        self.assertEqual(["read-differs"], self.rules())

    def test_a_read_back_that_is_missing_or_older_is_noticed(self) -> None:
        self.history.recovered_at = 20.0
        self.assertEqual(["no-read-back"], self.rules())
        self.history.final_read_number = 1
        self.assertEqual(["read-back-older"], self.rules())

    def test_requests_that_run_twice_or_although_refused_are_noticed(self) -> None:
        self.history.requests = [request(20.0, Answer.REFUSED, "base-0")]
        self.history.runs = [ServerRun(20.0, "q1", "service-b")] * 2
        self.assertEqual(["twice", "refused-ran"], self.rules())

    def test_a_request_that_a_stopping_node_cuts_is_noticed(self) -> None:
        self.history.terminated("machine-5", 19.0)
        self.history.requests = [request(20.0, Answer.CUT, "base-0")]
        self.history.runs = [ServerRun(20.0, "q1", "service-b")]
        self.assertEqual(["lost"], self.rules())

    def evacuate(self, *, acknowledged_at: float | None = 20.0) -> None:
        order = EvacuationRecord("zone-a", True, 19.9, acknowledged_at, "machine-0")
        self.history.evacuations = [order]

    def run_in_zone(self, at: float, zone: str = "zone-a") -> None:
        self.history.requests = [request(at, Answer.RAN, "base-0", "service-b")]
        self.history.runs = [ServerRun(at, "q1", "service-b", zone)]

    def test_a_request_that_reaches_an_evacuated_zone_is_noticed(self) -> None:
        self.evacuate()
        self.run_in_zone(25.2)
        self.assertEqual(["evacuated-zone-reached"], self.rules())
        self.run_in_zone(25.2, "zone-b")
        self.assertEqual([], self.rules())
        self.run_in_zone(24.9)
        self.assertEqual([], self.rules())

    def test_an_unstable_core_stretches_the_bound_of_an_evacuation_but_not_for_ever(self) -> None:
        self.evacuate()
        self.history.disturbed("machine-0", 25.0, is_core=True)
        self.run_in_zone(25.2)
        self.assertEqual([], self.rules())
        self.history.disturbed("machine-0", 30.0, is_core=True)
        self.run_in_zone(30.2)
        self.assertEqual(["evacuated-zone-reached"], self.rules())

    def test_a_zone_that_was_taken_back_or_never_acknowledged_may_be_reached(self) -> None:
        self.evacuate(acknowledged_at=None)
        self.run_in_zone(26.0)
        self.assertEqual([], self.rules())
        self.evacuate()
        self.history.evacuations.append(EvacuationRecord("zone-a", False, 25.0))
        self.assertEqual([], self.rules())

    def test_a_refused_order_about_an_evacuation_is_noticed(self) -> None:
        self.evacuate()
        self.history.evacuations[0].refused_with = [412]
        self.assertEqual(["evacuation-refused"], self.rules())

    def test_a_process_that_ends_by_itself_is_noticed(self) -> None:
        self.history.ends = [
            ProcessEnd(5.0, "machine-5", "node", -9, by_rig=True),
            ProcessEnd(6.0, "machine-5", "node", 1, by_rig=False),
        ]
        self.assertEqual(["own-end"], self.rules())
