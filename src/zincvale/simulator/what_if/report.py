"""The report of a what-if comparison, as text with both runs side by side and as JSON."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from zincvale.simulator.what_if.figures import RouteFigures, RunFigures
from zincvale.simulator.what_if.inputs import WhatIfInputs

FORMAT = "zincvale-what-if-1"
LABEL_WIDTH = 34
COLUMN_WIDTH = 14
BYTES_PER_GIGABYTE = 1e9
NO_FIGURE = "-"


@attrs.frozen
class Comparison:
    """Both runs of a comparison; `after` is None when no change was given."""

    inputs: WhatIfInputs
    before: RunFigures
    after: RunFigures | None
    wall_s: float
    refused_changes: tuple[str, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return the whole report as plain JSON."""
        scenario = self.inputs.scenario
        return {
            "format": FORMAT,
            "deployment": scenario.deployment.name,
            "load": self.inputs.run.options.load,
            "faults": self.inputs.run.schedule.name,
            "seconds": scenario.seconds,
            "seed": scenario.seed,
            "rate_factor": scenario.rate_factor,
            "change": list(scenario.change),
            "apply_at_s": scenario.apply_at_s,
            "without": self.before.to_json(),
            "with": None if self.after is None else self.after.to_json(),
            "wall_s": round(self.wall_s, 2),
            "refused_changes": list(self.refused_changes),
            "not_modelled": list(self.inputs.not_modelled),
            "assumed_delays_s": attrs.asdict(scenario.timings),
        }


def comparison_lines(comparison: Comparison) -> list[str]:
    """Return the lines of the text report."""
    scenario = comparison.inputs.scenario
    options = comparison.inputs.run.options
    lines = [
        f"{scenario.deployment.name}, load {options.load}, "
        f"faults {comparison.inputs.run.schedule.name}, "
        f"{scenario.seconds:.0f} s of load, seed {scenario.seed}",
    ]
    if comparison.after is not None:
        lines.append(
            f"change {comparison.inputs.change_file} ({len(scenario.change)} resources) "
            f"applied {scenario.apply_at_s:.0f} s after the load began"
        )
    lines += ["", _table_line("", "without", "with", "difference")]
    lines += _route_lines(comparison)
    lines += _move_lines(comparison)
    lines += ["", *_speed_lines(comparison)]
    lines += [f"refused during the run: {problem}" for problem in comparison.refused_changes]
    lines.append("not modelled:")
    lines += [f"  {line}" for line in comparison.inputs.not_modelled]
    return lines


def _route_lines(comparison: Comparison) -> list[str]:
    lines = []
    names = set(comparison.before.routes)
    if comparison.after is not None:
        names |= set(comparison.after.routes)
    for name in sorted(names):
        before = comparison.before.routes.get(name)
        after = None if comparison.after is None else comparison.after.routes.get(name)
        lines.append(name)
        for label, figures in _route_rows(before, after):
            lines.append(_comparison_line(f"  {label}", *figures))
    return lines


FigurePair = tuple[float | None, float | None]


def _route_rows(
    before: RouteFigures | None, after: RouteFigures | None
) -> Iterable[tuple[str, FigurePair]]:
    yield "requests offered", _pair(before, after, "offered")
    yield "answered", _pair(before, after, "answered")
    yield "refused attempts", _pair(before, after, "refused_attempts")
    for reason in _keys(before, after, "refusal_reasons"):
        yield f"  {reason}", _pair(before, after, "refusal_reasons", reason, 0)
    for outcome in _keys(before, after, "outcomes"):
        if outcome != "answered":
            yield f"ended {outcome}", _pair(before, after, "outcomes", outcome, 0)
    yield "waited for a load", _pair(before, after, "waited_for_load")
    for rank in ("p50", "p99"):
        yield f"wait for a load {rank}, ms", _pair(before, after, "load_wait_ms", rank)
    for rank in ("p50", "p99"):
        yield f"wait in the queue {rank}, ms", _pair(before, after, "queue_wait_ms", rank)
    for rank in ("p50", "p95", "p99"):
        yield f"first byte {rank}, ms", _pair(before, after, "first_ms", rank)
    for rank in ("p50", "p95", "p99"):
        yield f"whole answer {rank}, ms", _pair(before, after, "total_ms", rank)


def _move_lines(comparison: Comparison) -> list[str]:
    before = comparison.before.moves
    after = None if comparison.after is None else comparison.after.moves
    lines = ["moves"]
    for label, name in (
        ("loads", "loads"),
        ("unloads", "unloads"),
        ("orders refused", "refused_orders"),
        ("requests run at servers", "runs"),
        ("requests refused by servers", "refusals_by_servers"),
    ):
        lines.append(_comparison_line(f"  {label}", *_pair(before, after, name)))
    pulled = _pair(before, after, "pulled_bytes")
    gigabytes = [None if value is None else value / BYTES_PER_GIGABYTE for value in pulled]
    lines.append(_comparison_line("  pulled, GB", *gigabytes))
    for label in _keys(before, after, "moves"):
        lines.append(_comparison_line(f"    {label}", *_pair(before, after, "moves", label, 0)))
    return lines


def _speed_lines(comparison: Comparison) -> list[str]:
    runs = [run for run in (comparison.before, comparison.after) if run is not None]
    virtual_s = sum(run.virtual_s for run in runs)
    processor_s = sum(run.processor_s for run in runs)
    return [
        f"{virtual_s:,.0f} virtual seconds in {comparison.wall_s:,.1f} s: "
        f"{virtual_s / max(comparison.wall_s, 1e-9):.0f} times real time "
        f"(each world {min(run.speed_up for run in runs):.0f} times; "
        f"{virtual_s / max(processor_s, 1e-9):.0f} virtual seconds a second of processor time)"
    ]


def _pair(before: Any, after: Any, name: str, key: str = "", default: Any = None) -> FigurePair:
    return _value(before, name, key, default), _value(after, name, key, default)


def _value(figures: Any, name: str, key: str, default: Any) -> float | None:
    if figures is None:
        return None
    value = getattr(figures, name)
    figure = value.get(key, default) if key else value
    return None if figure is None else float(figure)


def _keys(before: Any, after: Any, name: str) -> list[str]:
    keys: dict[str, None] = {}
    for figures in (before, after):
        if figures is not None:
            keys.update(dict.fromkeys(getattr(figures, name)))
    return sorted(keys)


def _comparison_line(label: str, before: float | None, after: float | None) -> str:
    difference = NO_FIGURE
    if before is not None and after is not None:
        difference = f"{after - before:+,.1f}".removesuffix(".0")
    return _table_line(label, _format_figure(before), _format_figure(after), difference)


def _format_figure(value: float | None) -> str:
    if value is None:
        return NO_FIGURE
    return f"{value:,.1f}".removesuffix(".0")


def _table_line(label: str, before: str, after: str, difference: str) -> str:
    columns = "".join(f"{text:>{COLUMN_WIDTH}}" for text in (before, after, difference))
    return f"{label:<{LABEL_WIDTH}}{columns}".rstrip()
