"""Suites: which runs they are made of, and one line a run."""

from __future__ import annotations

from pathlib import Path

import testtools

from tests.fleet.test_report import outcome
from zincvale.fleet.report import build_report
from zincvale.fleet.suite import failed_row, row_of, suite_runs
from zincvale.model.errors import InvalidInputError


class SuiteTest(testtools.TestCase):
    def runs(self, **changed: str) -> list[tuple[str, str, int]]:
        given = {"deployments": "nilebridge", "faults": "demo", "seeds": "1", **changed}
        runs = suite_runs(load="steady", folder=Path("out"), keep_failed=True, **given)
        return [(run.deployment, run.faults, run.seed) for run in runs]

    def test_every_combination_is_run(self) -> None:
        runs = self.runs(deployments="nilebridge,surtido", faults="demo, drains", seeds="1,2")
        self.assertEqual(8, len(set(runs)))
        self.assertThat(len(self.runs(faults="all")), testtools.matchers.GreaterThan(20))

    def test_a_wrong_name_is_refused_before_anything_starts(self) -> None:
        for wrong in ({"faults": "demos"}, {"seeds": "one"}, {"deployments": "nil"}):
            self.assertRaises(InvalidInputError, self.runs, **wrong)

    def test_a_row_tells_the_verdict(self) -> None:
        self.assertIn("passed", row_of(build_report(outcome())).line())
        self.assertIn("invariants 1", row_of(build_report(outcome(broken=True))).line())
        self.assertIn("no start", failed_row("nilebridge", "demo", 1, "no start").line())
