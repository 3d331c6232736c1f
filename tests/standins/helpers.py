"""Shared by the tests of the stand-ins: a temporary folder, a ticking clock, a memory journal."""

import shutil
import tempfile
from pathlib import Path


def temporary_folder(test):
    """Return a folder that is removed after `test`."""
    folder = Path(tempfile.mkdtemp())
    test.addCleanup(shutil.rmtree, folder)
    return folder


class TickingClock:
    """A clock that advances by `step_s` at each reading, so that tests need not wait."""

    def __init__(self, step_s=1.0):
        self.now = 100.0
        self.step_s = step_s

    def __call__(self):
        self.now += self.step_s
        return self.now


class MemoryJournal:
    """A journal that collects its rows in a list."""

    def __init__(self):
        self.rows = []

    def write(self, event, **fields):
        self.rows.append({"event": event, **fields})

    def events(self):
        return [row["event"] for row in self.rows]
