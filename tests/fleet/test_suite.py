"""The runs of a suite, and the row of each in the table of verdicts."""

from __future__ import annotations

from pathlib import Path

import testtools

from tests.fleet.test_report import outcome
from zincvale.fleet.report import build_report
from zincvale.fleet.suite import failed_row, row_of, suite_runs
from zincvale.model.errors import InvalidInputError


class SuiteTest(testtools.TestCase):
    def runs(self, **changed: str) -> list[tuple[str, str, int]]:
        arguments = {"deployments": "nilebridge", "faults": "demo", "seeds": "1", **changed}
        runs = suite_runs(load="steady", folder=Path("out"), keep_failed=True, **arguments)
        return [(run.deployment, run.faults, run.seed) for run in runs]

    def test_a_suite_runs_every_combination(self) -> None:
        runs = self.runs(deployments="nilebridge,surtido", faults="demo, drains", seeds="1,2")
        self.assertEqual(8, len(set(runs)))
        self.assertThat(len(self.runs(faults="all")), testtools.matchers.GreaterThan(20))

    def test_an_unknown_name_or_invalid_seed_is_refused_before_any_run(self) -> None:
        for wrong in ({"faults": "demos"}, {"seeds": "one"}, {"deployments": "nil"}):
            self.assertRaises(InvalidInputError, self.runs, **wrong)

    def test_the_row_of_a_run_contains_its_verdict(self) -> None:
        self.assertIn("passed", row_of(build_report(outcome())).line())
        self.assertIn("invariants 1", row_of(build_report(outcome(broken=True))).line())
        self.assertIn("no start", failed_row("nilebridge", "demo", 1, "no start").line())
