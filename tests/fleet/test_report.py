"""The figures, report and page of a synthetic run; reading of journals; timeline; progress."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import testtools

from tests.fleet.journal_rows import EXPECTATIONS, evidence, row
from tests.fleet.sample_deployment import sample_deployment
from tests.fleet.test_faults import steps_of
from zincvale.fleet.fault_file import schedule_of
from zincvale.fleet.fault_plan import Step
from zincvale.fleet.figures import figures_of, percentiles
from zincvale.fleet.invariant_checker import InvariantReport, check_journals
from zincvale.fleet.invariants import check_all, read_journals
from zincvale.fleet.page import write_report
from zincvale.fleet.processes import UnexpectedEnd, Usage
from zincvale.fleet.progress import OutcomeCounter
from zincvale.fleet.report import build_report, summary_lines
from zincvale.fleet.run import RunOutcome
from zincvale.fleet.run_inputs import RunInputs
from zincvale.fleet.run_options import RunOptions
from zincvale.fleet.timeline import Timeline
from zincvale.model.errors import InvalidInputError
from zincvale.standins.load.spec import LoadSpec

DEPLOYMENT = sample_deployment()
USAGE = {"node-1": Usage(2.0, 50_000_000), "node-2": Usage(4.0, 60_000_000)}


def outcome(*, broken: bool = False, ends: tuple[UnexpectedEnd, ...] = ()) -> RunOutcome:
    rows = [
        row(10.5, "send", request_id="r1", route="quotes"),
        row(10.6, "run", "lookup-1", request_id="r1"),
        row(
            10.7,
            "result",
            request_id="r1",
            route="quotes",
            outcome="answered",
            final=True,
            first_ms=150.0,
            total_ms=200.0,
            answer_request_id="r1",
            text_digest="d",
            expected_digest="d",
            complete=True,
        ),
        row(11, "fault", kind="kill", target="node-1"),
        row(13, "fault-end", kind="kill", target="node-1"),
        row(11, "start", "chat-1", server="chat-1", memory_bytes=9),
        row(12, "loaded", "chat-1", name="m1"),
    ]
    if broken:
        rows.append(row(10.9, "run", "lookup-2", request_id="r1"))
    found = evidence(*rows, end_t=20)
    inputs = RunInputs(
        options=RunOptions("sample", "steady", seconds=10),
        folder=Path("sample"),
        deployment=sample_deployment(),
        documents=[],
        schedule=schedule_of({"description": "one <kill>"}, "killed.yaml"),
        steps=[],
        load=LoadSpec(callers=[]),
    )
    invariants = InvariantReport(found, check_all(found), 10.0)
    return RunOutcome(inputs, invariants, list(ends), [], [], USAGE)


class ReportTest(testtools.TestCase):
    def test_all_figures_count_time_from_the_start_of_the_load(self) -> None:
        figures = figures_of(outcome().invariants.evidence, 10.0)
        self.assertEqual(10.0, figures.duration_s)
        self.assertEqual(1.0, figures.outcomes["answered"].y[0])
        self.assertEqual([150.0], figures.first_ms["quotes"].y)
        self.assertEqual([1.0, 2.0, 10.0], figures.residency["chat-1"].x)
        self.assertEqual([(1.0, 3.0)], [(span.start, span.end) for span in figures.faults])
        self.assertEqual({}, percentiles([]))

    def test_the_report_lists_what_was_not_checked(self) -> None:
        report = build_report(outcome())
        self.assertTrue(report["passed"])
        self.assertEqual(11, len(report["invariants"]))
        text = "\n".join(report["not_checked"])
        self.assertIn("invariant 5 was not exercised", text)
        self.assertIn("power loss is a kill", text)
        lines = summary_lines(report)
        self.assertEqual("PASSED", lines[-1])
        self.assertIn("  2 node: 3.0 s processor time each, at most 60 MB", lines)

    def test_a_breach_fails_the_run_and_is_in_the_summary(self) -> None:
        report = build_report(outcome(broken=True))
        lines = summary_lines(report)
        self.assertEqual("FAILED", lines[-1])
        self.assertIn("ran 2 times", "\n".join(lines))

    def test_a_process_that_ended_by_itself_fails_the_run(self) -> None:
        report = build_report(outcome(ends=(UnexpectedEnd("node-1", 1, "trace"),)))
        self.assertFalse(report["passed"])
        self.assertIn("node-1 ended by itself with code 1", "\n".join(summary_lines(report)))

    def test_the_page_escapes_text_and_embeds_its_plots(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            page = write_report(build_report(outcome()), Path(folder) / "r.json")
            text = page.read_text(encoding="utf-8")
        self.assertIn("one &lt;kill&gt;", text)
        self.assertIn("data:image/png;base64,", text)


class JournalReadingTest(testtools.TestCase):
    def test_unreadable_journal_lines_are_listed(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "lookup-1.jsonl"
            path.write_text(
                '{"t":1,"event":"run","request_id":"r1"}\n'
                '{"t":2,"event":"unheard-of"}\n'
                '{"t":3,"event":"run"}\n'
                '{"t":4,"ev',
                encoding="utf-8",
            )
            found = read_journals(Path(folder), EXPECTATIONS)
        self.assertEqual(["lookup-1.jsonl:3", "lookup-1.jsonl:4"], _places(found.unreadable))
        self.assertEqual(3.0 - 2.0, found.start_t())

    def test_a_machine_added_during_the_run_is_in_the_expectations(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            empty = self.assertRaises(
                InvalidInputError, check_journals, Path(folder), DEPLOYMENT, []
            )
            self.assertIn("--keep-folder", str(empty))
            (Path(folder) / "rig.jsonl").write_text(
                '{"t":5,"event":"load-start"}\n'
                '{"t":6,"event":"machine-added","member":"core-b-r1","replaces":"core-b",'
                '"host":"127.90.2.41","zone":"zone-b"}\n',
                encoding="utf-8",
            )
            invariants = check_journals(Path(folder), DEPLOYMENT, [])
        expectations = invariants.evidence.expectations
        self.assertEqual("core-b", expectations.seat_by_core["core-b-r1"])
        self.assertEqual("core-b-r1", expectations.member_by_host["127.90.2.41"])
        self.assertEqual(5.0, invariants.load_started_t)

    def test_progress_counts_only_complete_lines(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "callers-1.jsonl"
            line = '{"event":"result","outcome":"answered"}\n'
            path.write_text(line + line[:10], encoding="utf-8")
            counter = OutcomeCounter(Path(folder))
            self.assertEqual({"answered": 1}, dict(counter.update()))
            path.write_text(line + line, encoding="utf-8")
            self.assertEqual({"answered": 2}, dict(counter.update()))


class TimelineTest(testtools.TestCase):
    def test_the_end_of_a_fault_waits_for_its_begin_step(self) -> None:
        steps = steps_of({"at_s": 1.0, "kind": "kill", "target": "node-1", "for_s": 1.0})
        performed: list[str] = []

        async def drive() -> None:
            begin_may_finish = asyncio.Event()

            async def perform(step: Step) -> None:
                if step.phase.value == "begin":
                    await begin_may_finish.wait()
                performed.append(step.phase.value)

            timeline = Timeline(steps, perform, print_line=lambda line: None)
            timeline.advance(0.5)
            self.assertEqual(0, len(asyncio.all_tasks()) - 1)
            timeline.advance(5.0)
            await asyncio.sleep(0)
            self.assertEqual([], performed)
            begin_may_finish.set()
            await timeline.finish()

        asyncio.run(drive())
        self.assertEqual(["begin", "end"], performed)

    def test_the_error_of_a_step_is_raised(self) -> None:
        steps = steps_of({"at_s": 1.0, "kind": "heal"})

        async def drive() -> None:
            async def perform(step: Step) -> None:
                raise ValueError("no such thing")

            timeline = Timeline(steps, perform, print_line=lambda line: None)
            timeline.advance(2.0)
            await timeline.finish()

        self.assertRaises(ValueError, asyncio.run, drive())


def _places(lines: list[str]) -> list[str]:
    return [":".join(line.split(":")[:2]) for line in lines]
