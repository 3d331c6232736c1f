"""Shows the progress of a run on the terminal, with outcomes from the callers' journals."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import TextIO

import attrs
import orjson

from zincvale.model.outcomes import Outcome

CALLERS_JOURNALS = "callers*.jsonl"


@attrs.define
class OutcomeCounter:
    """Counts the outcomes in journals that are still being written."""

    folder: Path
    outcomes: Counter[str] = attrs.field(factory=Counter)
    _offset_by_file: dict[Path, int] = attrs.field(factory=dict)

    def update(self) -> Counter[str]:
        """Read the rows added since the last call, and return the total counts."""
        for path in sorted(self.folder.glob(CALLERS_JOURNALS)):
            with path.open("rb") as journal:
                journal.seek(self._offset_by_file.get(path, 0))
                for line in journal:
                    if not line.endswith(b"\n"):
                        break
                    self._offset_by_file[path] = self._offset_by_file.get(path, 0) + len(line)
                    self._count(line)
        return self.outcomes

    def _count(self, line: bytes) -> None:
        try:
            row = orjson.loads(line)
        except orjson.JSONDecodeError:
            return
        if row.get("event") == "result":
            self.outcomes[str(row.get("outcome"))] += 1


@attrs.define
class Progress:
    """Writes progress lines to the terminal, or nothing when `quiet`."""

    stream: TextIO = attrs.field(default=sys.stderr)
    quiet: bool = False

    def print_line(self, text: str) -> None:
        """Write a line, unless the progress is quiet."""
        if not self.quiet:
            print(text, file=self.stream, flush=True)

    def print_status(
        self,
        elapsed_s: float,
        seconds: float,
        outcomes: Counter[str],
        ready: str,
        version: int,
    ) -> None:
        """Write a line with the current state of the run."""
        counts = ", ".join(f"{outcomes[item.value]} {item.value}" for item in Outcome)
        self.print_line(
            f"{elapsed_s:5.1f}/{seconds:.0f} s  attempts: {counts}; nodes ready {ready}; "
            f"intent version {version}"
        )
