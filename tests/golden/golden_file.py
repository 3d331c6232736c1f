"""Reads golden JSON files, and rewrites them when `ZINCVALE_APPROVE=1` is set."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from tests.approval import APPROVE_VARIABLE

FOLDER = Path(__file__).parent


def golden(name: str, current: Any = None) -> Any:
    """Return the content of a golden file; with ZINCVALE_APPROVE=1, write `current` to it first."""
    path = FOLDER / name
    if current is not None and os.environ.get(APPROVE_VARIABLE) == "1":
        text = json.dumps(current, indent=1, sort_keys=True, ensure_ascii=True)
        path.write_text(text + "\n", encoding="utf-8")
    return json.loads(path.read_text(encoding="utf-8"))
