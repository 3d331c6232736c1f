"""The options of the runs of a suite, and the rows of its table of verdicts."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs

from zincvale.fleet.fault_file import built_in_files
from zincvale.fleet.run_options import RunOptions, find_deployment
from zincvale.model.errors import InvalidInputError

ALL = "all"


@attrs.frozen
class SuiteRow:
    """The verdict of one run; `broken` lists the numbers of the invariants that broke."""

    deployment: str
    faults: str
    seed: int
    passed: bool
    broken: tuple[int, ...]
    requests: int
    answered_share: float
    problem: str = ""

    def line(self) -> str:
        """Return the row as one line of text."""
        verdict = "passed" if self.passed else "FAILED"
        broken = ", ".join(str(number) for number in self.broken)
        remark = self.problem or (f"invariants {broken}" if broken else "")
        return (
            f"{verdict}  {self.deployment:11s} {self.faults:28s} seed {self.seed}  "
            f"{self.requests:5d} requests, {self.answered_share:6.1%} of ended answered  {remark}"
        )


def suite_fault_files(names: str) -> list[str]:
    """Return the fault files that a comma-separated list names; raises `InvalidInputError`."""
    ready = built_in_files()
    if names == ALL:
        return ready
    chosen = [name.strip() for name in names.split(",") if name.strip()]
    for name in chosen:
        if name not in ready and not Path(name).is_file():
            raise InvalidInputError(f"no fault file {name!r}", f"use {ALL}, or: {', '.join(ready)}")
    return chosen


def suite_runs(
    deployments: str, faults: str, seeds: str, load: str, folder: Path, keep_failed: bool
) -> list[RunOptions]:
    """Return the options of every run of a suite; raises `InvalidInputError` for a wrong name."""
    runs = []
    for name in suite_fault_files(faults):
        for deployment in deployments.split(","):
            find_deployment(deployment)
            for seed in seeds.split(","):
                report = folder / f"{deployment}-{Path(name).stem}-{seed}.json"
                options = RunOptions(
                    deployment=deployment,
                    load=load,
                    faults=name,
                    seed=_seed(seed),
                    report=str(report),
                    keep_folder=str(report.with_suffix("")) if keep_failed else "",
                    quiet=True,
                )
                runs.append(options)
    return runs


def _seed(text: str) -> int:
    try:
        return int(text)
    except ValueError as error:
        raise InvalidInputError(f"seed {text!r} is not a whole number", "write 1,2,3") from error


def row_of(report: dict[str, Any]) -> SuiteRow:
    """Return the row of a finished run."""
    routes = report["figures"]["routes"].values()
    ended = sum(route["ended_requests"] for route in routes)
    answered = sum(route["answered_requests"] for route in routes)
    ends = report["unexpected_ends"]
    return SuiteRow(
        deployment=report["deployment"],
        faults=report["faults"],
        seed=report["seed"],
        passed=report["passed"],
        broken=tuple(check["number"] for check in report["invariants"] if check["breaches"]),
        requests=report["figures"]["totals"]["requests"],
        answered_share=answered / ended if ended else 0.0,
        problem=f"{ends[0]['name']} ended by itself" if ends else "",
    )


def failed_row(deployment: str, faults: str, seed: int, problem: str) -> SuiteRow:
    """Return the row of a run that could not start."""
    return SuiteRow(deployment, faults, seed, False, (), 0, 0.0, problem)
