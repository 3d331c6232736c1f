"""Journals of what actually happened, with one JSON object per line."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import orjson


class JournalWriter(Protocol):
    """Accepts the journal rows of a stand-in."""

    def write(self, event: str, **fields: Any) -> None:
        """Append one row."""
        ...


class Journal:
    """Appends rows to a file; a written row survives a kill of the process.

    Parameters
    ----------
    path : the journal file; its folder is created if it does not exist.
    clock : time of each row, its field `t`, in seconds on `CLOCK_BOOTTIME`.
    """

    def __init__(self, path: str, clock: Callable[[], float]) -> None:
        Path(path).parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
        self._descriptor = os.open(path, flags, 0o644)
        self._clock = clock

    def write(self, event: str, **fields: Any) -> None:
        """Append one row with the time, the event and its fields."""
        row = {"t": self._clock(), "event": event, **fields}
        os.write(self._descriptor, orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE))

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)
