"""The rig's own journal: faults, and the responses to its reads and probes of daemons."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import orjson

RIG_JOURNAL = "rig.jsonl"


def boot_time_s() -> float:
    """Return seconds on the clock of all journals, which also counts while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RigJournal:
    """Appends rows to the journal; `write` returns once the row is in the file."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = (folder / RIG_JOURNAL).open("ab", buffering=0)

    def write(self, event: str, **fields: Any) -> None:
        """Append one row with the present time."""
        row = {"t": boot_time_s(), "event": event, **fields}
        self._file.write(orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Close the file."""
        self._file.close()
