"""Reads the journals of a run into evidence."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
import orjson

from zincvale.fleet.invariants.evidence import Evidence, Expectations, evidence_of
from zincvale.fleet.invariants.rows import ROW_BY_EVENT, Row

JOURNAL_SUFFIX = ".jsonl"


def read_journals(folder: Path, expectations: Expectations) -> Evidence:
    """Return the evidence in every journal of `folder`.

    A line that cannot be read is listed in `Evidence.unreadable` rather than silently skipped. The
    last line of a killed process may be incomplete.
    """
    rows: list[Row] = []
    unreadable: list[str] = []
    for path in sorted(folder.glob(f"*{JOURNAL_SUFFIX}")):
        for number, line in _numbered_lines(path):
            try:
                row = parse_row(line, path.stem)
            except (ValueError, TypeError) as error:
                unreadable.append(f"{path.name}:{number}: {error}")
                continue
            if row is not None:
                rows.append(row)
    evidence = evidence_of(rows, expectations)
    evidence.unreadable = unreadable
    return evidence


def parse_row(line: bytes | str, source: str) -> Row | None:
    """Return the typed row of one journal line, or None for an event that no check reads.

    Raises
    ------
    ValueError, TypeError
        The line is not JSON, or lacks a field that its event must have.
    """
    values = orjson.loads(line)
    if not isinstance(values, dict):
        raise ValueError("not an object")
    row_class = ROW_BY_EVENT.get(str(values.get("event")))
    if row_class is None:
        return None
    return row_class(**_known_fields(row_class, values), source=source)


def _known_fields(row_class: type[Row], values: dict[str, Any]) -> dict[str, Any]:
    names = attrs.fields_dict(row_class)
    return {name: value for name, value in values.items() if name in names and name != "source"}


def _numbered_lines(path: Path) -> Iterator[tuple[int, bytes]]:
    with path.open("rb") as lines:
        for number, line in enumerate(lines, start=1):
            if line.strip():
                yield number, line
