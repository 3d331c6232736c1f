"""Tables of played days, from the reports that the users' bench writes with `--report`.

    python tests/days/tables.py before.json after.json

One column for each report: worth and its parts, what each price took, the kinds of requests, the
windows and the roles. Figures stand as the reports give them; nothing is averaged.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

Report = dict[str, Any]
Row = tuple[str, str]
"""A label and a figure."""
LEAST_PRICE = 0.0001
"""Prices below it are left out."""


def worth_rows(report: Report) -> list[Row]:
    """Return the worth and the parts that it is made of."""
    parts = [(f"{name} (weight {weight})", f"{part:.3f}") for name, weight, part in report["parts"]]
    return [("worth", f"{report['G']:.3f}"), *parts]


def price_rows(report: Report) -> list[Row]:
    """Return what each price took, the dearest first."""
    prices = [(name, amount, took) for name, amount, took in report["prices"]]
    prices.sort(key=lambda price: -price[2])
    return [
        (name, f"{took:.4f} ({amount:g})") for name, amount, took in prices if took >= LEAST_PRICE
    ]


def kind_rows(report: Report) -> list[Row]:
    """Return how each kind of request fared."""
    return [
        (
            kind["name"],
            f"{kind['worth']:.3f}: {kind['n']} asked, {kind['late']} late, "
            f"{kind['refused']} refused, {kind['failed']} failed, p99 {kind['p99_ms']:.0f} ms",
        )
        for kind in report["classes"]
    ]


def window_rows(report: Report) -> list[Row]:
    """Return the worth of each window of two seconds, the worst first."""
    windows = sorted(report["windows"], key=lambda window: window["worth"])
    return [(f"from second {window['name']}", f"{window['worth']:.3f}") for window in windows]


def role_rows(report: Report) -> list[Row]:
    """Return what the processes of each role took."""
    return [
        (
            f"{role['role']} ({role['n']})",
            f"{role['cpu_mean']:.3f} of a core, {role['mem_peak_mb']:.1f} MB",
        )
        for role in report["nodes"]
    ]


TABLES: tuple[tuple[str, Callable[[Report], list[Row]]], ...] = (
    ("Worth", worth_rows),
    ("Prices", price_rows),
    ("Kinds of requests", kind_rows),
    ("Windows", window_rows),
    ("Roles", role_rows),
)


def table(title: str, names: list[str], columns: list[list[Row]]) -> str:
    """Return one Markdown table: a row for each label, in the order of its first column."""
    labels = list(dict.fromkeys(label for column in columns for label, _ in column))
    figures = [dict(column) for column in columns]
    lines = [
        f"| {title} | " + " | ".join(names) + " |",
        "|---" * (len(names) + 1) + "|",
    ]
    for label in labels:
        cells = [column.get(label, "") for column in figures]
        lines.append(f"| {label} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def page(names: list[str], reports: list[Report]) -> str:
    """Return every table of the reports."""
    return "\n\n".join(
        table(title, names, [rows_of(report) for report in reports]) for title, rows_of in TABLES
    )


def main(paths: list[str]) -> int:
    """Print the tables of the reports at `paths`; return the exit status."""
    if not paths:
        print("error: name at least one report that was written with --report", file=sys.stderr)
        return 2
    reports = [orjson.loads(Path(path).read_bytes()) for path in paths]
    print(page([Path(path).stem for path in paths], reports))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
