"""`zincvale watch`: prints changes of the intent, or of one resource's status, as they happen."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any

from zincvale.cli.operator.errors import ConditionNotReachedError
from zincvale.cli.operator.output import condition_line, json_text, shown_value
from zincvale.cli.operator.session import CoreTransport, OperatorSession
from zincvale.model.errors import UnavailableError

POLL_S = 30.0
"""Longest time that a core may hold one long poll open."""
STATUS_INTERVAL_S = 0.5
"""Interval between two reads of a resource's status."""
RETRY_S = 1.0
"""Pause after a poll that no core served; also added to the timeout of each poll."""

WriteLine = Callable[[str], None]
SpecsByResource = dict[tuple[str, str], Any]


async def watch_intent(
    session: OperatorSession,
    transport: CoreTransport,
    write: WriteLine,
    after: int,
    limit_s: float | None,
    as_json: bool,
) -> None:
    """Write how each version differs from the previous one, until `limit_s` has passed."""
    started_at = transport.now()
    previous: SpecsByResource | None = None
    while True:
        remaining_s = _remaining_s(transport, started_at, limit_s)
        if remaining_s is not None and remaining_s <= 0:
            return
        poll_s = POLL_S if remaining_s is None else min(POLL_S, remaining_s)
        query = urllib.parse.urlencode({"after": after, "timeout_s": f"{poll_s:.3f}"})
        try:
            response = await session.read(f"/v1/watch?{query}", poll_s + RETRY_S)
        except UnavailableError as error:
            if remaining_s is not None and remaining_s <= RETRY_S:
                raise
            write(f"# {error}")
            await transport.pause(RETRY_S)
            continue
        body = response.json()
        if "resources" not in body:
            continue
        after = int(body["version"])
        specs = {(item["kind"], item["name"]): item["spec"] for item in body["resources"]}
        write(json_text(body) if as_json else _differences_text(after, previous, specs))
        previous = specs


async def watch_status(
    session: OperatorSession,
    transport: CoreTransport,
    write: WriteLine,
    target: str,
    until: str,
    limit_s: float | None,
    as_json: bool,
) -> dict[str, Any]:
    """Write a resource's conditions as they change; return it once condition `until` is true.

    Raises
    ------
    ConditionNotReachedError
        When `limit_s` passes first; without `until`, reaching the limit is not an error.
    """
    started_at = transport.now()
    shown: list[str] = []
    while True:
        resource = await session.read_json(target)
        conditions = resource["status"]["conditions"]
        lines = [condition_line(condition) for condition in conditions]
        if lines != shown:
            write(json_text(resource) if as_json else _status_text(resource, lines))
            shown = lines
        if until and _is_true(conditions, until):
            return resource
        remaining_s = _remaining_s(transport, started_at, limit_s)
        if remaining_s is not None and remaining_s <= 0:
            if until:
                raise _not_reached_error(resource, until)
            return resource
        await transport.pause(STATUS_INTERVAL_S)


def _status_text(resource: Mapping[str, Any], lines: list[str]) -> str:
    head = f"{resource['kind']} {resource['name']} at version {resource['version']}"
    return "\n".join([head, *lines])


def _remaining_s(
    transport: CoreTransport, started_at: float, limit_s: float | None
) -> float | None:
    return None if limit_s is None else started_at + limit_s - transport.now()


def _is_true(conditions: list[dict[str, Any]], wanted: str) -> bool:
    return any(
        condition["type"].lower() == wanted.lower() and condition["status"] == "True"
        for condition in conditions
    )


def _not_reached_error(resource: Mapping[str, Any], until: str) -> ConditionNotReachedError:
    what = f"{resource['kind']} {resource['name']}"
    return ConditionNotReachedError(
        f"{what}: condition {until} was not true in time",
        f"see zincvale describe {resource['kind'].lower()} {resource['name']}, or wait longer",
    )


def _differences_text(
    version: int, previous: SpecsByResource | None, specs: SpecsByResource
) -> str:
    if previous is None:
        return f"version {version}: {len(specs)} resources"
    lines = [f"version {version}"]
    for key in sorted(previous.keys() | specs.keys()):
        what = f"{key[0]} {key[1]}"
        if key not in specs:
            lines.append(f"  - {what}")
        elif key not in previous:
            lines.append(f"  + {what} {_fields_text(specs[key])}".rstrip())
        elif previous[key] != specs[key]:
            lines.append(f"  ~ {what} {_changed_fields_text(previous[key], specs[key])}")
    return "\n".join(lines)


def _fields_text(spec: Mapping[str, Any]) -> str:
    return " ".join(f"{name}={shown_value(value)}" for name, value in spec.items())


def _changed_fields_text(before: Mapping[str, Any], after: Mapping[str, Any]) -> str:
    changes = []
    for name in sorted(before.keys() | after.keys()):
        if before.get(name) != after.get(name):
            old, new = shown_value(before.get(name)), shown_value(after.get(name))
            changes.append(f"{name}: {old} -> {new}")
    return ", ".join(changes)
