"""A trace as a tree of lines, for a terminal."""

from __future__ import annotations

import datetime
from typing import Any

TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
MICROSECOND_DIGITS = 6
MS_PER_S = 1000.0


def render_tree(trace: dict[str, Any]) -> str:
    """Return a trace, as the trace API writes it, as a tree with its events."""
    lines = _heading(trace)
    children = _children_by_parent(trace["spans"])
    for span in children.get("", []):
        lines += _span_lines(span, children, "", "")
    return "\n".join(lines)


def printable(text: object) -> str:
    """Return text from callers and servers without characters that steer a terminal."""
    return "".join(
        character if character.isprintable() else ascii(character)[1:-1] for character in str(text)
    )


def wall_time(seconds: float) -> str:
    """Return seconds since the epoch as a UTC time with milliseconds."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime(TIME_FORMAT)[: 3 - MICROSECOND_DIGITS] + "Z"


def milliseconds(value: float | None) -> str:
    """Return a duration for people."""
    return "unknown duration" if value is None or value < 0.0 else f"{value:,.1f} ms"


def render_table(rows: list[dict[str, Any]]) -> str:
    """Return summaries, as the trace API writes them, as a table."""
    header = (
        "TRACE",
        "START",
        "ROOT",
        "ROUTE",
        "OUTCOME",
        "DURATION",
        "SERVERS",
        "POLICY",
        "WEIGHT",
    )
    table = [header, *[_summary_columns(row) for row in rows]]
    widths = [max(len(line[column]) for line in table) for column in range(len(header))]
    return "\n".join(
        "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        for line in table
    )


def _summary_columns(row: dict[str, Any]) -> tuple[str, ...]:
    return (
        row["trace_id"],
        wall_time(row["start"]),
        printable(row["name"] or "-"),
        printable(row["route"] or "-"),
        printable(row["outcome"] or "-"),
        milliseconds(row["duration_ms"]),
        printable(",".join(row["servers"]) or "-"),
        row["policy"],
        f"{row['weight']:.2f}",
    )


def _heading(trace: dict[str, Any]) -> list[str]:
    lines = [f"trace {trace['trace_id']}"]
    if trace["state"] == "pending":
        lines.append("  not decided yet: its collector still waits for spans")
        return lines
    lines.append(
        f"  kept by {trace['policy']}, stands for {trace['weight']:.2f} traces,"
        f" head probability {trace['probability']:.4f}"
    )
    copy = f", copy on {trace['copied_to']}" if trace["copied_to"] else ""
    lines.append(f"  held by {trace['holder']}{copy}")
    if trace["dropped_bytes"]:
        lines.append(f"  incomplete: {trace['dropped_bytes']} bytes of late spans were too many")
    return lines


def _children_by_parent(spans: list[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return spans by parent; spans whose parent is missing stand beside the root."""
    known = {span["span_id"] for span in spans}
    children: dict[str, list[dict[str, Any]]] = {}
    for span in sorted(spans, key=lambda span: float(span["start"])):
        parent = span["parent_id"] if span["parent_id"] in known else ""
        children.setdefault(parent, []).append(span)
    return children


def _span_lines(
    span: dict[str, Any],
    children: dict[str, list[dict[str, Any]]],
    prefix: str,
    branch: str,
) -> list[str]:
    failed = f" ERROR {printable(span['error'])}" if span["error"] else ""
    duration = milliseconds(span["duration_ms"])
    lines = [f"{prefix}{branch}{span['name']} [{span['member']}] {duration}{failed}"]
    below = children.get(span["span_id"], [])
    inner = prefix + {"": "", "├─ ": "│  ", "└─ ": "   "}[branch]
    margin = inner + ("│    " if below else "     ")
    if span["attributes"]:
        lines.append(margin + _attributes(span["attributes"]))
    for event in span["events"]:
        offset = event["offset_s"] * MS_PER_S
        text = f"+{offset:,.1f} ms {event['name']} {_attributes(event['attributes'])}"
        lines.append((margin + text).rstrip())
    for position, child in enumerate(below):
        is_last = position == len(below) - 1
        lines += _span_lines(child, children, inner, "└─ " if is_last else "├─ ")
    return lines


def _attributes(attributes: dict[str, Any]) -> str:
    return " ".join(f"{name}={printable(value)}" for name, value in sorted(attributes.items()))
