"""Codec between the replicated rows of the intent and its typed tables.

A row's id is `Kind/name`; its content is the JSON of the fields that the operator declared, in
sorted order, so that equal declarations are equal bytes. Fields that were not declared take the
defaults of the running release when the row is decoded.
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
            f"intent row {row!r} is of no known kind", "run the same release on every machine"
        )
    return kind, name


def encode_spec(spec: Mapping[str, Any]) -> bytes:
    """Return the row content of declared fields.

    orjson returns its result in a buffer of several kilobytes; rows stay in memory, so it is copied
    to its own size.
    """
    return bytes(memoryview(orjson.dumps(spec, option=orjson.OPT_SORT_KEYS)))


def decode_fields(row: str, content: bytes) -> dict[str, Any]:
    """Return the declared fields of a row; raises `InvalidInputError` if it is no JSON object."""
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

    Only rows that a reducer accepted are decoded here, so the fast path skips the checks that
    produce readable messages.
    """
    row = row_id(kind, name)
    fields = decode_fields(row, content)
    try:
        return SPEC_BY_KIND[kind].from_dict(fields)
    except Exception as error:
        # The decoder raises many types; whichever it is, this release cannot read the row.
        raise InvalidInputError(
            f"intent row {row} cannot be read: {error}", "run the same release on every machine"
        ) from error


def decode_intent(version: int, rows: Mapping[str, bytes]) -> Intent:
    """Return the complete intent; raises `InvalidInputError` for the first unreadable row."""
    return IntentDecoder().update(version, rows)


def encode_intent(intent: Intent) -> dict[str, bytes]:
    """Return the rows of an intent, with every field written out."""
    rows = {}
    for kind, table in TABLE_BY_KIND.items():
        for name, spec in getattr(intent, table).items():
            rows[row_id(kind, name)] = encode_spec(spec.to_dict())
    return rows


class IntentDecoder:
    """Keeps the typed intent of a changing set of rows; decodes only rows that changed."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._intent = Intent()

    @property
    def intent(self) -> Intent:
        """The intent at the last successful update."""
        return self._intent

    def update(
        self, version: int, rows: Mapping[str, bytes], changed: Iterable[str] | None = None
    ) -> Intent:
        """Return the intent of `rows`; an unreadable row leaves the last intent in place.

        Parameters
        ----------
        version : version of the rows.
        rows : every row of the intent.
        changed : ids of the rows that may differ from the last update, where the caller knows
            them; otherwise every row is compared.
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
        """Decode changed rows (None: deleted) and return the new intent.

        The tables are copied on write: an intent that was returned before never changes.
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
        # Nothing of this object changes before every row was read.
        self._intent = attrs.evolve(self._intent, version=version, **tables)
        for row, content in contents.items():
            if content is None:
                self._rows.pop(row, None)
            else:
                self._rows[row] = content
        return self._intent
