"""Writes docs/CAPACITY.md and the raw figures from the results of one run."""

from __future__ import annotations

import json
import statistics
from pathlib import Path

import attrs

from zincvale.bench import capacity_model as model
from zincvale.bench.capacity_run import CapacityResults, StormResults

NOTES_MARK = "<!-- below: written by hand -->"
"""Separates the generated part of the page from the notes below it, which are preserved."""
TAIL_QUANTILE = 0.95


def write_page(results: CapacityResults, raw: Path, page: Path) -> None:
    """Write the raw figures and the page; notes below `NOTES_MARK` in the page are preserved."""
    raw.write_text(json.dumps(attrs.asdict(results), indent=1) + "\n", encoding="utf-8")
    notes = ""
    if page.exists():
        _, mark, notes = page.read_text(encoding="utf-8").partition(NOTES_MARK)
        notes = notes if mark else ""
    page.write_text(render(results) + NOTES_MARK + notes, encoding="utf-8")


def render(results: CapacityResults) -> str:
    """Return the generated part of the page."""
    parts = [
        _introduction(results),
        "## One node (control only)\n\n" + _table(model.node_lines(results)),
        "## One core (of 26)\n\n" + _table(model.core_lines(results)),
        "## Measured: hollow nodes before three real cores\n\n" + _points_table(results),
        _storms_section(results),
        "## Measured: the state\n\n" + _state_section(results),
    ]
    return "\n\n".join(parts) + "\n\n"


def _introduction(results: CapacityResults) -> str:
    return (
        "# Capacity\n\n"
        f"The size we design for: {model.NODES:,} nodes before {model.SERVERS:,} servers,"
        f" {model.MODELS} models, {model.ADAPTERS:,} adapters, {model.CHANGES_PER_DAY:,} changes a"
        f" day, {model.LOADS_PER_HOUR:,} loads an hour, {model.CORES} cores in {model.REGIONS}"
        " regions. What runs today is three cores and eight nodes.\n\n"
        "Written by `make capacity` from docs/capacity.json"
        f" (measured {results.finished_at}, {results.machine}, one machine). A margin below 1"
        " means that the budget is missed. Each figure is marked measured (seen in the run), fitted"
        " (a slope taken beyond what was run) or assumed."
    )


def _table(lines: list[model.CapacityLine]) -> str:
    rows = [
        "| quantity | value | from | budget | margin | carried by |",
        "|---|---|---|---|---|---|",
    ]
    for line in lines:
        budget = "" if line.budget is None else _number(line.budget, line.unit)
        margin = "" if line.margin is None else f"{line.margin:.1f}"
        rows.append(
            f"| {line.quantity} | {_number(line.value, line.unit)} | {line.origin.value} |"
            f" {budget} | {margin} | {line.mechanism} |"
        )
    return "\n".join(rows)


def _number(value: float, unit: str) -> str:
    if unit == "of a core":
        return f"{value:.2%} of a core"
    if unit == "B":
        return f"{value / 1e6:.1f} MB"
    return f"{value:,.1f} {unit}"


def _points_table(results: CapacityResults) -> str:
    rows = [
        "| nodes | a wave ready in | processor a node | exchanges a node | bytes a node"
        " | processor a core | change in force p50 | p95 | unconfirmed |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for point in results.points:
        changes = point.change_s or [float("nan")]
        p95 = changes[min(len(changes) - 1, int(len(changes) * TAIL_QUANTILE))]
        rows.append(
            f"| {point.nodes:,} | {point.ready_s:.1f} s | {point.node_cpu_share:.2%} |"
            f" {point.node_exchanges_per_s:.1f}/s | {point.node_bytes_per_s:,.0f} B/s |"
            f" {point.core_cpu_share:.0%} | {statistics.median(changes):.2f} s | {p95:.2f} s |"
            f" {point.unconfirmed} of {len(point.change_s) + point.unconfirmed} |"
        )
    return "\n".join(rows)


def _storms_section(results: CapacityResults) -> str:
    parts = [_storm_text(storms) for storms in results.storms]
    parts += [f"Not reached: {what}." for what in results.not_reached]
    return "\n\n".join(parts) if parts else "No storms were run."


def _storm_text(storms: StormResults) -> str:
    restarts = ", ".join(f"{seconds:.1f} s" for seconds in storms.core_restart_s)
    return (
        f"With {storms.nodes:,} nodes, each core was killed and started again in turn: a change"
        f" through the restarted core was in force after {restarts}; at the least"
        f" {storms.lowest_ready_during_restarts:,} nodes were ready meanwhile. All nodes frozen for"
        f" 5 s and woken at once were ready again in {storms.reconnect_s:.1f} s, and a change after"
        f" that took {storms.change_after_s:.2f} s."
    )


def _state_section(results: CapacityResults) -> str:
    state = results.state
    rows = [
        "| adapters | content | decoded | decode all | check one change | apply one change |",
        "|---|---|---|---|---|---|",
    ]
    for point in state.intent:
        rows.append(
            f"| {point.adapters:,} | {point.content_bytes / 1e6:.1f} MB |"
            f" {point.decoded_bytes / 1e6:.1f} MB | {point.decode_ms:.0f} ms |"
            f" {point.reduce_one_ms:.2f} ms | {point.apply_one_ms:.1f} ms |"
        )
    slopes = (
        f"\n\nSlopes: {state.bytes_per_adapter:,.0f} B of memory per adapter,"
        f" {state.content_bytes_per_adapter:,.0f} B of content per adapter,"
        f" {state.content_bytes_per_server:,.0f} B of content per server."
    )
    return "\n".join(rows) + slopes
