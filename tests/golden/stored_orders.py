"""The orders that produced the golden data folder.

Their bodies are kept in a data file, so that renaming in the code does not change them. `python -m
tests.golden.stored_orders FOLDER` writes a new folder; replace the committed one only when the
stored format is meant to change.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import attrs

from tests.golden.golden_file import FOLDER
from tests.golden.one_core import OneCore

ORDERS_FILE = FOLDER / "stored_orders.json"
FIRST_INCARNATION = "0000aaaa"
SEED = 11
TICKS_AFTER = 100
"""Ticks that the core runs after the last order."""


def read_orders(part: str) -> list[tuple[str, str, int | None, bytes]]:
    """Return key, order id, base version and body of the orders under `part` in the file."""
    listed = json.loads(ORDERS_FILE.read_text(encoding="utf-8"))[part]
    return [(key, order_id, base, body.encode()) for key, order_id, base, body in listed]


def send_orders(core: OneCore, part: str) -> list[list[Any]]:
    """Send orders one by one; return the field values of their replies, without field names."""
    return [list(attrs.astuple(core.change(*order))) for order in read_orders(part)]


def write_folder(folder: Path) -> list[list[Any]]:
    """Write a new data folder; return the replies."""
    core = OneCore(folder, FIRST_INCARNATION, SEED)
    replies = send_orders(core, "first")
    core.tick(TICKS_AFTER)
    return replies


if __name__ == "__main__":
    write_folder(Path(sys.argv[1]))
