"""The `zincvale fleet` commands: run a fleet on this machine, and check its journals."""

from __future__ import annotations

import asyncio
import shutil
import sys
from pathlib import Path
from typing import Any

from fire.decorators import SetParseFns

from zincvale.fleet.fault_file import built_in_files, read_faults
from zincvale.fleet.invariant_checker import check_journals
from zincvale.fleet.page import write_report
from zincvale.fleet.progress import Progress
from zincvale.fleet.report import build_report, summary_lines, verdict_lines
from zincvale.fleet.run import run_fleet
from zincvale.fleet.run_folder import make_run_folder, remove_run_folder
from zincvale.fleet.run_inputs import read_inputs
from zincvale.fleet.run_options import RunOptions, find_deployment
from zincvale.fleet.suite import ALL, SuiteRow, failed_row, row_of, suite_runs
from zincvale.model.errors import ZincvaleError
from zincvale.standins.deployment import load_deployment, load_intent

EXIT_BROKEN = 1
EXIT_REFUSED = 2
EXIT_INTERRUPTED = 130


class FleetCommands:
    """Run a whole deployment on loopback addresses under load and faults, and check invariants."""

    @SetParseFns(network=str)
    def run(
        self,
        deployment: str = "nilebridge",
        load: str = "steady",
        faults: str = "",
        seconds: float = 0.0,
        seed: int = 1,
        report: str = "",
        keep_folder: str = "",
        rate_factor: float = 1.0,
        caller_processes: int = 1,
        network: str = "",
        quiet: bool = False,
    ) -> None:
        """Run a fleet and exit non-zero when an invariant breaks.

        Args:
            deployment: a folder, or the name of one under deployments/.
            load: a load file, or the name of one in the deployment.
            faults: a fault file, or the name of a built-in one (see `fleet faults`); default none.
            seconds: how long new requests arrive; 0 takes the duration in the fault file.
            seed: the seed of the load and of random choices in the fault file.
            report: the report's JSON file; an HTML page is written beside it.
            keep_folder: an empty folder in which settings, journals, logs and data are kept.
            rate_factor: multiplies every caller's rate.
            caller_processes: how many processes share the callers.
            network: first two octets of the loopback addresses, to run beside another fleet.
            quiet: print no progress, only the summary.
        """
        options = RunOptions(
            deployment=deployment,
            load=load,
            faults=faults,
            seconds=seconds,
            seed=seed,
            rate_factor=rate_factor,
            caller_processes=caller_processes,
            network=network,
            report=report,
            keep_folder=keep_folder,
            quiet=quiet,
        )
        sys.exit(_run(options))

    def demo(self, deployment: str = "nilebridge", report: str = "", keep_folder: str = "") -> None:
        """Run half a minute of load with an intent change, a killed node and an evacuated zone."""
        self.run(
            deployment=deployment,
            load="steady",
            faults="demo",
            report=report,
            keep_folder=keep_folder,
        )

    def suite(
        self,
        deployments: str = "nilebridge,surtido",
        faults: str = ALL,
        seeds: str = "1",
        load: str = "steady",
        folder: str = "fleet-reports",
        keep_failed: bool = False,
    ) -> None:
        """Run many fault files one after the other, and print a table of the verdicts.

        Args:
            deployments: comma-separated deployments.
            faults: comma-separated fault files, or all for every built-in one.
            seeds: comma-separated seeds.
            load: the load of every run.
            folder: the folder for the reports, one JSON file and one HTML page per run.
            keep_failed: keep the journals and logs of runs that fail, beside their reports.
        """
        try:
            runs = suite_runs(
                deployments=_joined(deployments),
                faults=_joined(faults),
                seeds=_joined(seeds),
                load=load,
                folder=Path(folder),
                keep_failed=keep_failed,
            )
        except ZincvaleError as error:
            print(f"error: {error}", file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        failed = 0
        for options in runs:
            row = _suite_run(options)
            failed += not row.passed
            print(row.line(), flush=True)
        print(f"{len(runs) - failed} of {len(runs)} runs passed")
        sys.exit(EXIT_BROKEN if failed else 0)

    @SetParseFns(network=str)
    def judge(self, journals: str, deployment: str = "nilebridge", network: str = "") -> None:
        """Check the journals of a kept run, and exit non-zero when an invariant broke.

        Args:
            journals: the journals folder in the run's folder.
            deployment: the run's deployment.
            network: the run's loopback network, when it was not the deployment's.
        """
        try:
            folder = find_deployment(deployment)
            declared = load_deployment(folder)
            if network:
                declared = declared.moved_to(network)
            documents = load_intent(folder, declared)
            invariants = check_journals(Path(journals), declared, documents)
        except ZincvaleError as error:
            print(f"error: {error}", file=sys.stderr)
            sys.exit(EXIT_REFUSED)
        print("\n".join(verdict_lines([check.to_json() for check in invariants.checks])))
        broken = any(check.breaches for check in invariants.checks)
        sys.exit(EXIT_BROKEN if broken else 0)

    def faults(self) -> None:
        """List the built-in fault files with their descriptions."""
        for name in built_in_files():
            schedule = read_faults(name)
            print(f"{name} ({schedule.seconds:.0f} s): {schedule.description.strip()}")


def _joined(value: object) -> str:
    """Return a comma-separated argument as text, as fire parses `a,b` into a tuple."""
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value)
    return str(value)


def _suite_run(options: RunOptions) -> SuiteRow:
    try:
        report = _run_and_report(options, Progress(quiet=True))
    except ZincvaleError as error:
        return failed_row(options.deployment, options.faults, options.seed, str(error))
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("interrupted; all processes were ended", file=sys.stderr)
        sys.exit(EXIT_INTERRUPTED)
    if options.keep_folder and report["passed"]:
        shutil.rmtree(options.keep_folder, ignore_errors=True)
    return row_of(report)


def _run(options: RunOptions) -> int:
    try:
        report = _run_and_report(options, Progress(quiet=options.quiet))
    except ZincvaleError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_REFUSED
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("interrupted; all processes were ended", file=sys.stderr)
        return EXIT_INTERRUPTED
    print("\n".join(summary_lines(report)))
    if options.report:
        print(f"report: {options.report} and {Path(options.report).with_suffix('.html')}")
    return 0 if report["passed"] else EXIT_BROKEN


def _run_and_report(options: RunOptions, progress: Progress) -> dict[str, Any]:
    """Run a fleet and return its report; write it to the file in the options, if there is one."""
    inputs = read_inputs(options)
    root = make_run_folder(options)
    try:
        outcome = asyncio.run(run_fleet(inputs, root, progress))
        report = build_report(outcome)
        if options.report:
            write_report(report, Path(options.report))
        return report
    finally:
        remove_run_folder(options, root)


if __name__ == "__main__":
    import fire

    fire.Fire(FleetCommands)
