"""Numbered events in the logs of a run's processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import orjson

from zincvale.coordination import log_events as coordination_events
from zincvale.dataplane import log_events as dataplane_events
from zincvale.runtime import log_events as runtime_events

DEFECTS = {
    runtime_events.HANDLER_FAILED: "handler-failed",
    runtime_events.INTENT_UNREADABLE: "document-unreadable",
}
COUNTED = {
    coordination_events.NODES_NOT_CONFIRMED: "acknowledged-without-nodes",
    coordination_events.POLL_ABANDONED: "polls-abandoned",
    coordination_events.VALUE_RESTORED: "values-restored",
    dataplane_events.SERVED_WITHOUT_LEASE: "served-without-lease",
    runtime_events.CLOCK_JUMPED: "clock-jumps",
}


def read_events(folder: Path) -> Iterator[tuple[str, dict[str, object]]]:
    """Yield the process and the fields of each log line; other output has the number 0."""
    for path in sorted(folder.glob("*.log")):
        for line in path.read_bytes().splitlines():
            try:
                event = orjson.loads(line)
            except orjson.JSONDecodeError:
                event = {"number": 0, "text": line.decode("utf-8", "replace")}
            yield path.stem, event


def count_events(folder: Path) -> tuple[Counter[str], list[tuple[str, str]]]:
    """Return how often each counted event was logged, and the defects as (rule, text)."""
    counts: Counter[str] = Counter()
    defects = []
    for process, event in read_events(folder):
        number = event["number"]
        if number in COUNTED:
            counts[COUNTED[number]] += 1
        if number in DEFECTS:
            defects.append((DEFECTS[number], f"{process}: {event}"))
        if number == 0 and "Traceback" in str(event.get("text", "")):
            defects.append(("traceback", process))
    return counts, defects
