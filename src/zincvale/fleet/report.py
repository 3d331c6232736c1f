"""The report of a run: its JSON form, and a summary for the terminal."""

from __future__ import annotations

import time
from typing import Any

import attrs

from zincvale.fleet.environment import machine, versions
from zincvale.fleet.figures import FaultSpan, Figures, Series, figures_of
from zincvale.fleet.run import RunOutcome

FORMAT = "zincvale-fleet-report-1"
SHOWN_BREACHES = 5
BYTES_PER_MEGABYTE = 1_000_000
NEVER_CHECKED = (
    "power loss is a kill: what was written and not synced survives it on this machine "
    "(the simulator loses it)",
    "all processes share one clock and one kernel: clocks that differ are not part of a run",
    "network faults touch what daemons dial; callers and the platform reach nodes directly",
)
"""Limits of the rig, which are listed as not checked in every report."""


def build_report(outcome: RunOutcome) -> dict[str, Any]:
    """Return the report of a run as JSON-compatible values."""
    options = outcome.inputs.options
    figures = figures_of(outcome.invariants.evidence, outcome.invariants.load_started_t)
    return {
        "format": FORMAT,
        "passed": outcome.passed,
        "deployment": outcome.inputs.deployment.name,
        "load": options.load,
        "faults": outcome.inputs.schedule.name,
        "faults_description": outcome.inputs.schedule.description,
        "seconds": options.seconds,
        "seed": options.seed,
        "rate_factor": options.rate_factor,
        "finished_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "machine": machine(),
        "versions": versions(),
        "invariants": [check.to_json() for check in outcome.invariants.checks],
        "not_checked": not_checked(outcome),
        "figures": attrs.asdict(figures),
        "usage": {name: attrs.asdict(used) for name, used in sorted(outcome.usage.items())},
        "callers": outcome.caller_figures,
        "unexpected_ends": [attrs.asdict(ended) for ended in outcome.unexpected_ends],
        "processes_left": outcome.remaining_processes,
        "unreadable_journal_lines": outcome.invariants.evidence.unreadable,
    }


def not_checked(outcome: RunOutcome) -> list[str]:
    """Return what this run did not check, one line each."""
    lines = []
    for check in outcome.invariants.checks:
        if not check.facts:
            lines.append(f"invariant {check.number} was not exercised: {check.title}")
        lines.extend(f"invariant {check.number}: {line}" for line in check.not_checked)
    if outcome.invariants.evidence.unreadable:
        lines.append(
            f"{len(outcome.invariants.evidence.unreadable)} journal lines could not be read"
        )
    return [*lines, *NEVER_CHECKED]


def summary_lines(report: dict[str, Any]) -> list[str]:
    """Return the summary of a report as lines of text."""
    lines = [
        "",
        f"{report['deployment']}, load {report['load']}, faults {report['faults']}, "
        f"{report['seconds']:.0f} s, seed {report['seed']}",
    ]
    totals = report["figures"]["totals"]
    lines.append(
        f"{totals['requests']} requests in {totals['attempts']} attempts: "
        + ", ".join(f"{count} {name}" for name, count in sorted(totals["outcomes"].items()))
    )
    lines.extend(_route_line(name, row) for name, row in report["figures"]["routes"].items())
    lines.extend(f"  {_fault_line(fault)}" for fault in report["figures"]["faults"])
    lines.extend(_usage_lines(report["usage"]))
    lines.append("")
    lines.extend(verdict_lines(report["invariants"]))
    lines.extend(_problem_lines(report))
    lines.append("")
    lines.append("PASSED" if report["passed"] else "FAILED")
    return lines


def verdict_lines(checks: list[dict[str, Any]]) -> list[str]:
    """Return the verdicts of the invariants, with their breaches, as lines of text."""
    lines = []
    for check in checks:
        lines.append(
            f"{check['number']:2d}. {check['verdict']:13s} {check['title']} "
            f"({check['facts']} checked)"
        )
        lines.extend(_breach_lines(check))
    return lines


def figures_from(report: dict[str, Any]) -> Figures:
    """Return the figures of a report in its JSON form."""
    plain = report["figures"]
    series = {
        name: {key: Series(**value) for key, value in plain[name].items()}
        for name in ("outcomes", "first_ms", "residency")
    }
    return Figures(
        totals=plain["totals"],
        routes=plain["routes"],
        faults=[FaultSpan(**fault) for fault in plain["faults"]],
        duration_s=plain["duration_s"],
        **series,
    )


def _route_line(name: str, row: dict[str, Any]) -> str:
    first, total = row["first_ms"], row["total_ms"]
    times = ""
    if first:
        times = (
            f"; first p50 {first['p50']:.0f} ms, p99 {first['p99']:.0f} ms; "
            f"whole p50 {total['p50']:.0f} ms, p99 {total['p99']:.0f} ms"
        )
    return (
        f"  {name}: {row['answered_requests']} of {row['ended_requests']} ended requests "
        f"answered{times}"
    )


def _fault_line(fault: dict[str, Any]) -> str:
    lasted_s = fault["end"] - fault["start"]
    return f"{fault['start']:5.1f} s  {fault['kind']} {fault['target']} ({lasted_s:.1f} s)"


def _usage_lines(usage: dict[str, dict[str, float]]) -> list[str]:
    """Return the processor time and memory of the processes alive at the end, grouped by kind."""
    by_kind: dict[str, list[dict[str, float]]] = {}
    for name, used in usage.items():
        by_kind.setdefault(name.partition("-")[0], []).append(used)
    lines = []
    for kind, rows in sorted(by_kind.items()):
        processor_s = sum(row["processor_s"] for row in rows) / len(rows)
        memory = max(row["resident_bytes"] for row in rows) / BYTES_PER_MEGABYTE
        lines.append(
            f"  {len(rows)} {kind}: {processor_s:.1f} s processor time each, "
            f"at most {memory:.0f} MB"
        )
    return lines


def _breach_lines(check: dict[str, Any]) -> list[str]:
    breaches = check["breaches"]
    lines = [f"      {item['subject']}: {item['what']}" for item in breaches[:SHOWN_BREACHES]]
    if len(breaches) > SHOWN_BREACHES:
        lines.append(f"      and {len(breaches) - SHOWN_BREACHES} more in the report")
    return lines


def _problem_lines(report: dict[str, Any]) -> list[str]:
    lines = []
    for ended in report["unexpected_ends"]:
        lines.append(f"{ended['name']} ended by itself with code {ended['exit_code']}")
    lines.extend(f"left behind: {process}" for process in report["processes_left"])
    lines.append(f"not checked: {len(report['not_checked'])} things, listed in the report")
    return lines
