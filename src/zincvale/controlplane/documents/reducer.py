"""Reducer of the forwarding document: checks a change against the rows and returns the new rows.

Pure and stateless: the same rows and change give the same result on every core. A change names the
number of the document that it was built on; of two changes with the same base number only one is
accepted.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import orjson
from returns.result import Failure, Result, Success

from zincvale.controlplane.documents.changes import (
    EVACUATE,
    REPLACE,
    change_identity,
    decode_change,
)
from zincvale.controlplane.documents.positions import (
    FIRST_POSITION,
    Position,
    assign_positions,
)
from zincvale.controlplane.documents.rows import (
    EVACUATED,
    EVACUATED_PREFIX,
    EVACUATION_REVISION_PREFIX,
    LAST_CHANGE_ROW,
    LIMITS_ROW,
    NUMBER_ROW,
    OTHER_ROW,
    POOL_PREFIX,
    ROUTE_PREFIX,
    encode_item,
    evacuation_revision,
    item_position,
    number_of,
)
from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.model.errors import InvalidInputError, VersionConflictError, ZincvaleError


@attrs.frozen
class DocumentReducer:
    """Reducer of the forwarding document, called by the register of its key."""

    def __call__(self, rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
        """Return the rows that a change puts or deletes, or why the change is refused."""
        try:
            changed = changed_rows(rows, change)
        except VersionConflictError as error:
            return Failure(ChangeRefused(error.problem, error.remedy, is_conflict=True))
        except ZincvaleError as error:
            return Failure(ChangeRefused(error.problem, error.remedy))
        return Success([RowChange(row, content) for row, content in changed.items()])


def changed_rows(rows: Mapping[str, bytes], change: bytes) -> dict[str, bytes | None]:
    """Return the new content by row id, None for removed rows; raises a `ZincvaleError`."""
    plain = decode_change(change)
    if plain["mode"] == EVACUATE:
        return _changed_evacuation(rows, plain)
    identity = change_identity(change).encode()
    if rows.get(LAST_CHANGE_ROW) == identity:
        # A retry of the change in force, whose idempotency entry was already removed.
        return {}
    _check_numbers(rows, plain)
    changed = _changed_items(rows, plain)
    _check_consistency(rows, changed)
    changed[NUMBER_ROW] = str(plain["number"]).encode()
    changed[LAST_CHANGE_ROW] = identity
    return changed


def _changed_evacuation(
    rows: Mapping[str, bytes], plain: Mapping[str, Any]
) -> dict[str, bytes | None]:
    """Return the rows of an evacuation; raises `VersionConflictError` if a newer change differs.

    Every change counts, even one that leaves the zone as it is: it must also outdate the attempts
    of the opposite order that were sent before it.
    """
    zone, is_evacuated = plain["zone"], plain["evacuated"]
    row = f"{EVACUATED_PREFIX}{zone}"
    content = EVACUATED if is_evacuated else None
    base, revision = plain.get("base"), evacuation_revision(rows, zone)
    if base is None:
        # Forwarded by a core of an earlier release, which knows no revisions.
        return {row: content}
    if base != revision:
        if (row in rows) == is_evacuated:
            return {}
        raise VersionConflictError(
            f"the order was given at revision {base} of the evacuation of {zone!r}, but "
            f"{revision} is current",
            "send the order again if it is still wanted",
            revision,
        )
    return {
        row: content,
        f"{EVACUATION_REVISION_PREFIX}{zone}": str(revision + 1).encode(),
    }


def _check_numbers(rows: Mapping[str, bytes], plain: Mapping[str, Any]) -> None:
    """Raise unless the change was built on the current document and has a higher number."""
    current = number_of(rows)
    if plain["base"] != current:
        raise VersionConflictError(
            f"the change was built on document {plain['base']}, but the current one is {current}",
            "read the current document and build the change on it",
            current,
        )
    if plain["number"] <= current:
        raise InvalidInputError(
            f"number {plain['number']} is not above the current number {current}",
            "give the document a higher number",
        )


def _changed_items(rows: Mapping[str, bytes], plain: Mapping[str, Any]) -> dict[str, bytes | None]:
    """Return the rows of routes, pools, limits and other fields that the change modifies."""
    changed: dict[str, bytes | None] = {}
    is_complete = plain["mode"] == REPLACE
    for prefix, items, removed in (
        (ROUTE_PREFIX, plain["routes"], plain["removed_routes"]),
        (POOL_PREFIX, plain["pools"], plain["removed_pools"]),
    ):
        changed.update(_changed_table(rows, prefix, items, removed, is_complete=is_complete))
    if plain["limits"] is not None:
        limits = plain["limits"]
        changed[LIMITS_ROW] = encode_item(FIRST_POSITION, limits["spec"], limits["source"])
    elif is_complete and LIMITS_ROW in rows:
        changed[LIMITS_ROW] = None
    if is_complete:
        changed[OTHER_ROW] = orjson.dumps(plain["other"])
    return {row: content for row, content in changed.items() if rows.get(row) != content}


def _changed_table(
    rows: Mapping[str, bytes],
    prefix: str,
    items: Iterable[Mapping[str, Any]],
    removed: Iterable[str],
    *,
    is_complete: bool,
) -> dict[str, bytes | None]:
    """Return the rows of one table that a change puts, and None for those that it removes."""
    stored = {
        row: item_position(content) for row, content in rows.items() if row.startswith(prefix)
    }
    changed: dict[str, bytes | None] = {f"{prefix}{name}": None for name in removed}
    if is_complete:
        changed.update(dict.fromkeys(stored))
    items_by_row: dict[str, Mapping[str, Any]] = {}
    for item in items:
        row = f"{prefix}{item['spec']['name']}"
        if row in items_by_row:
            raise InvalidInputError(f"{row} is declared twice", "declare each name once")
        items_by_row[row] = item
    if is_complete:
        positions = assign_positions(list(items_by_row), stored)
    else:
        positions = _patched_positions(list(items_by_row), stored)
    for row, item in items_by_row.items():
        changed[row] = encode_item(positions[row], item["spec"], item["source"])
    return changed


def _patched_positions(rows: Iterable[str], stored: Mapping[str, Position]) -> dict[str, Position]:
    """Return the positions of patched items: they keep theirs, and new ones are appended."""
    next_position = max(stored.values(), default=FIRST_POSITION - 1) + 1
    positions: dict[str, Position] = {}
    for row in rows:
        if row in stored:
            positions[row] = stored[row]
        else:
            positions[row], next_position = next_position, next_position + 1
    return positions


def _check_consistency(rows: Mapping[str, bytes], changed: Mapping[str, bytes | None]) -> None:
    """Check each route and its pools, and that no two routes have one host and path prefix.

    Raises `InvalidInputError` for the first broken rule.
    """
    after = {**rows, **changed}
    route_specs = {
        row: orjson.loads(content)["spec"]
        for row, content in after.items()
        if content is not None and row.startswith(ROUTE_PREFIX)
    }
    row_by_location: dict[tuple[str, str], str] = {}
    for row, spec in route_specs.items():
        _check_route(row, spec, after)
        location = (spec["host"], spec["path_prefix"])
        other = row_by_location.setdefault(location, row)
        if other != row:
            raise InvalidInputError(
                f"{other} and {row} have the same host and path prefix", "change one of them"
            )


def _check_route(row: str, spec: Mapping[str, Any], after: Mapping[str, bytes | None]) -> None:
    for share in spec["split"]:
        if after.get(f"{POOL_PREFIX}{share['pool']}") is None:
            raise InvalidInputError(
                f"{row} names pool {share['pool']!r}, which is not declared",
                "declare the pool or correct the name",
            )
        if share["weight"] < 0:
            raise InvalidInputError(f"{row}: a weight is below 0", "use weights of 0 or more")
    if sum(share["weight"] for share in spec["split"]) <= 0:
        raise InvalidInputError(f"{row}: its weights add up to 0", "give one pool a weight above 0")
    if spec["timeout_s"] <= 0:
        raise InvalidInputError(f"{row}: its time-out is not above 0", "give it a time-out above 0")
    if spec["attempts"] < 1:
        raise InvalidInputError(f"{row}: attempts is below 1", "allow at least one attempt")
