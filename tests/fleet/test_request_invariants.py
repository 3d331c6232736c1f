"""Invariants 1 to 4: each check passes on a correct journal and finds each kind of breach."""

from __future__ import annotations

from typing import Any

import testtools

from tests.fleet.journal_rows import evidence, row
from zincvale.fleet.invariants import at_most_once, refusals, responses, streams
from zincvale.fleet.invariants.rows import Row


def send(t: float, request_id: str, route: str = "quotes", **fields: Any) -> Row:
    return row(t, "send", request_id=request_id, route=route, **fields)


def run(t: float, request_id: str, server: str = "lookup-1") -> Row:
    return row(t, "run", source=server, request_id=request_id, server=server)


def result(t: float, request_id: str, outcome: str, **fields: Any) -> Row:
    return row(t, "result", request_id=request_id, outcome=outcome, **fields)


class AtMostOnceTest(testtools.TestCase):
    def test_one_run_for_two_attempts_holds(self) -> None:
        checked = at_most_once.check(
            evidence(send(1, "r1"), run(1.1, "r1"), send(2, "r1", attempt=2))
        )
        self.assertEqual(("held", 1), (checked.verdict, checked.facts))

    def test_a_second_run_on_another_server_is_a_breach(self) -> None:
        checked = at_most_once.check(
            evidence(send(1, "r1"), run(1.1, "r1"), run(2.1, "r1", "lookup-2"))
        )
        self.assertEqual(["r1"], [breach.subject for breach in checked.breaches])
        self.assertIn("lookup-2", checked.breaches[0].what)

    def test_a_request_of_a_route_that_is_not_at_most_once_may_run_twice(self) -> None:
        checked = at_most_once.check(
            evidence(send(1, "r1", "chats"), run(1.1, "r1"), run(2.1, "r1"))
        )
        self.assertEqual("not exercised", checked.verdict)

    def test_unknown_request_ids_and_routes_are_listed_as_not_checked(self) -> None:
        checked = at_most_once.check(evidence(run(1.1, "r9"), send(1, "r1", "no-such-route")))
        self.assertEqual(2, len(checked.not_checked))


class RefusalTest(testtools.TestCase):
    def test_a_refusal_without_a_run_holds(self) -> None:
        checked = refusals.check(evidence(send(1, "r1"), result(2, "r1", "refused")))
        self.assertEqual("held", checked.verdict)

    def test_a_run_before_the_refusal_is_a_breach(self) -> None:
        checked = refusals.check(
            evidence(send(1, "r1"), run(1.5, "r1"), result(2, "r1", "refused", reason="deadline"))
        )
        self.assertIn("before", checked.breaches[0].what)

    def test_a_run_after_the_refusal_is_a_breach(self) -> None:
        checked = refusals.check(evidence(send(1, "r1"), result(2, "r1", "refused"), run(9, "r1")))
        self.assertIn("after", checked.breaches[0].what)

    def test_a_run_of_a_newer_attempt_is_no_breach(self) -> None:
        checked = refusals.check(
            evidence(
                send(1, "r1"),
                result(2, "r1", "refused"),
                send(3, "r1", attempt=2),
                run(3.1, "r1"),
                result(4, "r1", "answered", attempt=2),
            )
        )
        self.assertEqual([], checked.breaches)

    def test_an_attempt_refused_while_an_earlier_one_runs_is_a_breach(self) -> None:
        checked = refusals.check(
            evidence(
                send(1, "r1"),
                run(1.1, "r1"),
                send(2, "r1", attempt=2),
                result(2.1, "r1", "refused", attempt=2, reason="overloaded"),
            )
        )
        self.assertEqual(1, len(checked.breaches))

    def test_an_in_progress_refusal_applies_to_the_duplicate_attempt_only(self) -> None:
        checked = refusals.check(
            evidence(
                send(1, "r1"),
                run(1.1, "r1"),
                send(2, "r1", attempt=2),
                result(2.1, "r1", "refused", attempt=2, reason="in-progress", status=409),
            )
        )
        self.assertEqual([], checked.breaches)
        self.assertEqual(1, len(checked.not_checked))


class ResponseTest(testtools.TestCase):
    def answered(self, **fields: Any) -> Row:
        good = {
            "answer_request_id": "r1",
            "text_digest": "d1",
            "expected_digest": "d1",
            "complete": True,
        }
        return result(2, "r1", "answered", **{**good, **fields})

    def test_a_complete_response_to_the_same_request_holds(self) -> None:
        self.assertEqual("held", responses.check(evidence(self.answered())).verdict)

    def test_the_response_to_another_request_is_a_breach(self) -> None:
        checked = responses.check(evidence(self.answered(answer_request_id="r2")))
        self.assertIn("r2", checked.breaches[0].what)

    def test_a_partial_response_that_looks_complete_is_a_breach(self) -> None:
        checked = responses.check(evidence(self.answered(text_digest="d0")))
        self.assertIn("looked whole", checked.breaches[0].what)

    def test_a_partial_response_marked_as_interrupted_is_no_breach(self) -> None:
        interrupted = result(
            2, "r1", "interrupted", text_digest="d0", expected_digest="d1", complete=False
        )
        self.assertEqual("not exercised", responses.check(evidence(interrupted)).verdict)


class StreamTest(testtools.TestCase):
    def stream(self, *results: Row) -> streams.CheckResult:
        return streams.check(evidence(send(1, "c1", "chats", stream=True), *results))

    def chunk_errors(self, **wrong: int) -> dict[str, int]:
        return {"skips": 0, "repeats": 0, "splices": 0, "wrong_ends": 0, **wrong}

    def test_a_stream_that_completes_after_a_resume_holds(self) -> None:
        checked = self.stream(
            result(2, "c1", "interrupted", pieces_in_all=3, final=False, **self.chunk_errors()),
            result(
                3,
                "c1",
                "answered",
                pieces_in_all=9,
                complete=True,
                final=True,
                **self.chunk_errors(),
            ),
        )
        self.assertEqual("held", checked.verdict)

    def test_each_kind_of_wrong_chunk_is_a_breach(self) -> None:
        for wrong in ("skips", "repeats", "splices", "wrong_ends"):
            checked = self.stream(
                result(2, "c1", "answered", complete=True, **self.chunk_errors(**{wrong: 1}))
            )
            self.assertEqual(1, len(checked.breaches), wrong)

    def test_a_stream_given_up_after_its_first_chunks_is_a_breach(self) -> None:
        checked = self.stream(
            result(2, "c1", "interrupted", pieces_in_all=3, final=False, **self.chunk_errors()),
            result(3, "c1", "refused", pieces_in_all=3, final=True, **self.chunk_errors()),
        )
        self.assertIn("lost after 3 pieces", checked.breaches[0].what)

    def test_a_stream_refused_before_any_chunk_is_not_lost(self) -> None:
        checked = self.stream(result(2, "c1", "refused", final=True, **self.chunk_errors()))
        self.assertEqual([], checked.breaches)

    def test_an_at_most_once_stream_that_ends_early_is_a_breach(self) -> None:
        checked = self.stream(
            result(
                2,
                "c1",
                "unknown",
                route="quotes",
                pieces_in_all=3,
                final=True,
                **self.chunk_errors(),
            )
        )
        self.assertIn("lost after 3 pieces", checked.breaches[0].what)

    def test_a_stream_still_open_at_the_end_of_the_run_is_listed_as_not_checked(self) -> None:
        checked = self.stream(
            result(2, "c1", "interrupted", pieces_in_all=3, final=False, **self.chunk_errors())
        )
        self.assertEqual(["1 streams had not ended when the run did"], checked.not_checked)
