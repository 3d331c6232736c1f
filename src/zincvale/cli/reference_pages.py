"""Generates the reference pages from the code: log events and schemas of the peer protocol."""

from __future__ import annotations

import importlib
import json
import pkgutil
from typing import Any

import zincvale
from zincvale.model.log_events import declared_events
from zincvale.model.messages import message_classes
from zincvale.transport.codec import schema_json

LOG_EVENTS_SUFFIX = "log_events"
MESSAGES_SUFFIX = "messages"
EVENTS_PAGE_INTRODUCTION = """# Log events

Every daemon writes one JSON object a line: `number`, `message_type` (the event's name), `member`,
`timestamp` and the event's fields. A number never changes its meaning. This page is written from
the code (`python -m zincvale.cli.reference_pages`); a test holds it against the code.

| number | name | meaning |
|---|---|---|
"""


def events_page() -> str:
    """Return the content of docs/EVENTS.md."""
    _import_modules_ending_in(LOG_EVENTS_SUFFIX)
    rows = [f"| {event.number} | `{event.name}` | {event.meaning} |" for event in declared_events()]
    return EVENTS_PAGE_INTRODUCTION + "\n".join(rows) + "\n"


def schemas_page() -> str:
    """Return the content of docs/schemas.json: the Avro schema of every message between daemons."""
    _import_modules_ending_in(MESSAGES_SUFFIX)
    schemas: dict[str, Any] = {
        name: schema_json(message_class)
        for name, message_class in sorted(message_classes().items())
        if message_class.__module__.startswith("zincvale.")
    }
    return json.dumps(schemas, indent=1) + "\n"


def _import_modules_ending_in(suffix: str) -> None:
    for module in pkgutil.walk_packages(zincvale.__path__, "zincvale."):
        if module.name.endswith(suffix) and not module.ispkg:
            importlib.import_module(module.name)


def main() -> None:
    """Write both pages below docs/."""
    from pathlib import Path

    Path("docs/EVENTS.md").write_text(events_page(), encoding="utf-8")
    Path("docs/schemas.json").write_text(schemas_page(), encoding="utf-8")


if __name__ == "__main__":
    main()
