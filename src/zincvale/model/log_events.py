"""Registry of numbered log events.

Each package declares its events once, in its own `log_events.py`, with `declare(number, name,
meaning)`; `model.machine.Log` effects contain the number. docs/EVENTS.md lists all events, and a
test compares that page with this registry. Ranges: 1xxx runtime and daemons, 2xxx coordination,
3xxx storage, 4xxx control plane, 5xxx placement, 6xxx data plane, 7xxx claims and stream journal,
8xxx tracing, 9xxx test rigs and stand-ins.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class LogEvent:
    """One kind of log line: its number, its short dotted name and its meaning for an operator."""

    number: int
    name: str
    meaning: str


_EVENT_BY_NUMBER: dict[int, LogEvent] = {}


def declare(number: int, name: str, meaning: str) -> int:
    """Register a log event and return its number."""
    if number in _EVENT_BY_NUMBER:
        raise ValueError(f"log event {number} is declared twice")
    _EVENT_BY_NUMBER[number] = LogEvent(number, name, meaning)
    return number


def log_event(number: int) -> LogEvent:
    """Return the declared event `number`, or a placeholder if the number is not declared."""
    return _EVENT_BY_NUMBER.get(
        number, LogEvent(number, "undeclared", "this event number is not declared")
    )


def declared_events() -> list[LogEvent]:
    """Return every declared event in the order of the numbers."""
    return [_EVENT_BY_NUMBER[number] for number in sorted(_EVENT_BY_NUMBER)]
