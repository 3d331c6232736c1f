"""Structured logs: eliot messages with numbered events.

The log file is opened once and stays open until the process ends.
"""

from __future__ import annotations

import sys
from typing import Any

import eliot

from zincvale.model.log_events import log_event

_member_id = ""


def open_log(path: str, member_id: str) -> None:
    """Write log lines (one JSON object each) to the file `path`; empty means standard error."""
    global _member_id
    _member_id = member_id
    destination = open(path, "a", buffering=1) if path else sys.stderr  # noqa: SIM115
    eliot.to_file(destination)


def log(number: int, **fields: Any) -> None:
    """Write the log event `number` with its fields."""
    event = log_event(number)
    eliot.log_message(message_type=event.name, number=number, member=_member_id, **fields)
