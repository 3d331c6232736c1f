"""Codec between the replicated rows of the intent and its typed tables.

A row's id is `Kind/name`; its content is the JSON of the fields that the operator declared, sorted
by name, so that equal declarations are equal bytes. Fields that were not declared get the defaults
of the running release when the row is decoded.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import orjson

from zincvale.model.checked import Checked
from zincvale.model.control_tables import Intent
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import SPEC_BY_KIND

TABLE_BY_KIND = {
    "Zone": "zones",
    "Server": "servers",
    "Pool": "pools",
    "Route": "routes",
    "Store": "stores",
    "Model": "models",
    "Adapter": "adapters",
}
"""Attribute of `Intent`, and path segment of the control API, for each kind."""

KIND_BY_TABLE = {table: kind for kind, table in TABLE_BY_KIND.items()}


def row_id(kind: str, name: str) -> str:
    """Return the row id of a resource."""
    return f"{kind}/{name}"


def split_row_id(row: str) -> tuple[str, str]:
    """Return kind and name of a row id; raises `InvalidInputError` for an unknown kind."""
    kind, separator, name = row.partition("/")
    if not separator or not name or kind not in SPEC_BY_KIND:
        raise InvalidInputError(
            f"intent row {row!r} has an unknown kind", "run the same release on every machine"
        )
    return kind, name


def encode_spec(spec: Mapping[str, Any]) -> bytes:
    """Return the row content of declared fields.

    orjson returns its result in an oversized buffer of several kilobytes. Rows stay in memory, so
    the result is copied into bytes of the exact size.
    """
    return bytes(memoryview(orjson.dumps(spec, option=orjson.OPT_SORT_KEYS)))


def decode_fields(row: str, content: bytes) -> dict[str, Any]:
    """Return the declared fields of a row; raises `InvalidInputError` if not a JSON object."""
    try:
        fields = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise InvalidInputError(
            f"intent row {row} is not JSON: {error}", "restore the row by applying the resource"
        ) from error
    if not isinstance(fields, dict):
        raise InvalidInputError(
            f"intent row {row} is not a JSON object", "restore the row by applying the resource"
        )
    return fields


def decode_spec(kind: str, name: str, content: bytes) -> Checked:
    """Return the typed spec of a row; raises `InvalidInputError`.

    Only rows that a reducer accepted are decoded here. So the fast decoder is used, without the
    checks that produce detailed messages.
    """
    row = row_id(kind, name)
    fields = decode_fields(row, content)
    try:
        return SPEC_BY_KIND[kind].from_dict(fields)
    except Exception as error:
        # The decoder raises many exception types; each means that this release cannot read the row.
        raise InvalidInputError(
            f"intent row {row} cannot be read: {error}", "run the same release on every machine"
        ) from error


def decode_intent(version: int, rows: Mapping[str, bytes]) -> Intent:
    """Return the complete intent; raises `InvalidInputError` for the first unreadable row."""
    return IntentDecoder().update(version, rows)


def encode_intent(intent: Intent) -> dict[str, bytes]:
    """Return the rows of an intent, with every field, also those equal to their defaults."""
    rows = {}
    for kind, table in TABLE_BY_KIND.items():
        for name, spec in getattr(intent, table).items():
            rows[row_id(kind, name)] = encode_spec(spec.to_dict())
    return rows


class IntentDecoder:
    """Maintains the typed intent of a changing set of rows; decodes only rows that changed."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._intent = Intent()

    @property
    def intent(self) -> Intent:
        """The intent as of the last successful update."""
        return self._intent

    def update(
        self, version: int, rows: Mapping[str, bytes], changed: Iterable[str] | None = None
    ) -> Intent:
        """Return the intent of `rows`; raises for an unreadable row and keeps the last intent.

        Parameters
        ----------
        version : version of the rows.
        rows : every row of the intent.
        changed : ids of the rows that may differ from the last update; None compares every row.
        """
        candidates = self._differing_rows(rows) if changed is None else changed
        contents = {row: rows.get(row) for row in candidates}
        return self._apply(version, contents)

    def _differing_rows(self, rows: Mapping[str, bytes]) -> list[str]:
        """Return the ids of the rows that were put or deleted since the last update."""
        known = self._rows
        differing = [row for row, content in rows.items() if known.get(row) != content]
        added = sum(1 for row in differing if row not in known)
        if len(known) + added != len(rows):
            differing.extend(row for row in known if row not in rows)
        return differing

    def _apply(self, version: int, contents: Mapping[str, bytes | None]) -> Intent:
        """Decode changed rows (None if deleted) and return the new intent.

        The tables are copied on write: an intent that was returned earlier never changes.
        """
        tables: dict[str, Any] = {}
        for row, content in contents.items():
            kind, name = split_row_id(row)
            table = TABLE_BY_KIND[kind]
            if table not in tables:
                tables[table] = dict(getattr(self._intent, table))
            if content is None:
                tables[table].pop(name, None)
            else:
                tables[table][name] = decode_spec(kind, name, content)
        # The state is modified only after every row was decoded.
        self._intent = attrs.evolve(self._intent, version=version, **tables)
        for row, content in contents.items():
            if content is None:
                self._rows.pop(row, None)
            else:
                self._rows[row] = content
        return self._intent
