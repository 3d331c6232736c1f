"""The report as one HTML page with embedded plots."""

from __future__ import annotations

import base64
from html import escape
from pathlib import Path
from typing import Any

import orjson

from zincvale.fleet.plots import draw_timeline
from zincvale.fleet.report import figures_from, summary_lines

STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 72rem; color: #212529 }
table { border-collapse: collapse; width: 100% } td, th { text-align: left; padding: .25rem .6rem;
border-bottom: 1px solid #dee2e6; vertical-align: top }
.held { color: #2b8a3e } .broken { color: #c92a2a; font-weight: bold } .not { color: #868e96 }
img { width: 100% } pre { background: #f8f9fa; padding: 1rem; overflow-x: auto }
"""


def write_report(report: dict[str, Any], path: Path) -> Path:
    """Write the JSON to `path` and an HTML page beside it, and return the path of the page."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS))
    page = path.with_suffix(".html")
    page.write_text(render_page(report), encoding="utf-8")
    return page


def render_page(report: dict[str, Any]) -> str:
    """Return the HTML page of a report."""
    image = base64.b64encode(draw_timeline(figures_from(report))).decode("ascii")
    verdict = "passed" if report["passed"] else "FAILED"
    title = f"{report['deployment']}: {report['faults']}, seed {report['seed']}: {verdict}"
    return "\n".join(
        [
            "<!DOCTYPE html>",
            f'<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title>',
            f"<style>{STYLE}</style></head><body>",
            f"<h1>{escape(title)}</h1>",
            f"<p>{escape(report['faults_description'])}</p>",
            _invariants(report),
            f'<img alt="latency, outcomes, residency and faults over time" '
            f'src="data:image/png;base64,{image}">',
            f"<h2>Summary</h2><pre>{escape(chr(10).join(summary_lines(report)))}</pre>",
            _list("Not checked", report["not_checked"]),
            _pairs("Run", _run_facts(report)),
            "</body></html>",
        ]
    )


def _invariants(report: dict[str, Any]) -> str:
    rows = []
    for check in report["invariants"]:
        breaches = "".join(
            f"<br>{escape(item['subject'])}: {escape(item['what'])}"
            for item in check["breaches"][:20]
        )
        verdict = check["verdict"]
        rows.append(
            f'<tr><td>{check["number"]}</td><td class="{verdict.split()[0]}">{verdict}</td>'
            f"<td>{escape(check['title'])}{breaches}</td><td>{check['facts']}</td></tr>"
        )
    head = "<tr><th></th><th>verdict</th><th>invariant</th><th>checked</th></tr>"
    return f"<h2>Invariants</h2><table>{head}{''.join(rows)}</table>"


def _list(title: str, lines: list[str]) -> str:
    items = "".join(f"<li>{escape(line)}</li>" for line in lines)
    return f"<h2>{escape(title)}</h2><ul>{items}</ul>"


def _pairs(title: str, facts: dict[str, Any]) -> str:
    rows = "".join(
        f"<tr><td>{escape(str(key))}</td><td>{escape(str(value))}</td></tr>"
        for key, value in facts.items()
    )
    return f"<h2>{escape(title)}</h2><table>{rows}</table>"


def _run_facts(report: dict[str, Any]) -> dict[str, Any]:
    named = ("seconds", "seed", "rate_factor", "load", "finished_at")
    facts = {name: report[name] for name in named}
    return {**facts, **report["machine"], **report["versions"]}
