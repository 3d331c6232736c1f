"""Renders traces for a terminal: one trace as a tree of spans, a search as a table."""

from __future__ import annotations

import datetime
from typing import Any

TIME_FORMAT = "%Y-%m-%d %H:%M:%S.%f"
MICROSECOND_DIGITS = 6
MS_PER_S = 1000.0


def render_tree(trace: dict[str, Any]) -> str:
    """Return a tree of spans and events, from a trace as the trace API returns it."""
    lines = _heading(trace)
    children = _children_by_parent(trace["spans"])
    for span in children.get("", []):
        lines += _span_lines(span, children, "", "")
    return "\n".join(lines)


def escape_unprintable(text: object) -> str:
    """Return text from callers and servers with characters that control a terminal escaped."""
    return "".join(
        character if character.isprintable() else ascii(character)[1:-1] for character in str(text)
    )


def format_wall_time(seconds: float) -> str:
    """Return seconds since the epoch as a UTC time with milliseconds."""
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime(TIME_FORMAT)[: 3 - MICROSECOND_DIGITS] + "Z"


def format_milliseconds(value: float | None) -> str:
    """Return a duration as text; None and negative values are unknown durations."""
    return "unknown duration" if value is None or value < 0.0 else f"{value:,.1f} ms"


def render_table(rows: list[dict[str, Any]]) -> str:
    """Return a table of the summaries that a search with the trace API returns."""
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
        format_wall_time(row["start"]),
        escape_unprintable(row["name"] or "-"),
        escape_unprintable(row["route"] or "-"),
        escape_unprintable(row["outcome"] or "-"),
        format_milliseconds(row["duration_ms"]),
        escape_unprintable(",".join(row["servers"]) or "-"),
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
    replica_text = f", copy on {trace['copied_to']}" if trace["copied_to"] else ""
    lines.append(f"  held by {trace['holder']}{replica_text}")
    if trace["dropped_bytes"]:
        lines.append(f"  incomplete: {trace['dropped_bytes']} bytes of late spans were dropped")
    return lines


def _children_by_parent(spans: list[dict[str, Any]]) -> dict[str, list[dict[str, Any]]]:
    """Return spans by their parent's identifier; "" for roots and spans whose parent is missing."""
    span_ids = {span["span_id"] for span in spans}
    children: dict[str, list[dict[str, Any]]] = {}
    for span in sorted(spans, key=lambda span: float(span["start"])):
        parent = span["parent_id"] if span["parent_id"] in span_ids else ""
        children.setdefault(parent, []).append(span)
    return children


def _span_lines(
    span: dict[str, Any],
    children: dict[str, list[dict[str, Any]]],
    prefix: str,
    branch: str,
) -> list[str]:
    error_text = f" ERROR {escape_unprintable(span['error'])}" if span["error"] else ""
    duration = format_milliseconds(span["duration_ms"])
    lines = [f"{prefix}{branch}{span['name']} [{span['member']}] {duration}{error_text}"]
    child_spans = children.get(span["span_id"], [])
    child_prefix = prefix + {"": "", "├─ ": "│  ", "└─ ": "   "}[branch]
    detail_prefix = child_prefix + ("│    " if child_spans else "     ")
    if span["attributes"]:
        lines.append(detail_prefix + _attributes(span["attributes"]))
    for event in span["events"]:
        offset = event["offset_s"] * MS_PER_S
        text = f"+{offset:,.1f} ms {event['name']} {_attributes(event['attributes'])}"
        lines.append((detail_prefix + text).rstrip())
    for position, child in enumerate(child_spans):
        is_last = position == len(child_spans) - 1
        lines += _span_lines(child, children, child_prefix, "└─ " if is_last else "├─ ")
    return lines


def _attributes(attributes: dict[str, Any]) -> str:
    return " ".join(
        f"{name}={escape_unprintable(value)}" for name, value in sorted(attributes.items())
    )
