"""Rows of the forwarding document in the control state, and their typed form.

Row ids: `number`, `last-change`, `limits`, `other`, `route/NAME`, `pool/NAME`, `evacuated/ZONE`,
`evacuation-revision/ZONE`.
A route's or pool's row contains its position in the document (JSON `place`), its spec and the item
as the operator wrote it (JSON `source`).
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

import attrs
import orjson

from zincvale.controlplane.documents.positions import Position
from zincvale.model.checked import Checked
from zincvale.model.errors import InvalidInputError
from zincvale.model.forwarding import (
    CallerLimits,
    ForwardingDocument,
    ForwardPool,
    ForwardRoute,
)

Spec = TypeVar("Spec", bound=Checked)

NUMBER_ROW = "number"
LAST_CHANGE_ROW = "last-change"
LIMITS_ROW = "limits"
OTHER_ROW = "other"
ROUTE_PREFIX = "route/"
POOL_PREFIX = "pool/"
EVACUATED_PREFIX = "evacuated/"
EVACUATED = b"1"
"""Content of the row of an evacuated zone; a zone in service has no row."""

EVACUATION_REVISION_PREFIX = "evacuation-revision/"
"""Prefix of the rows that count the evacuation changes of each zone."""


def evacuation_revision(rows: Mapping[str, bytes], zone: str) -> int:
    """Return how many changes evacuated `zone` or returned it to service; no row means none."""
    return int(rows.get(f"{EVACUATION_REVISION_PREFIX}{zone}", b"0"))


def number_of(rows: Mapping[str, bytes]) -> int:
    """Return the number of the document in `rows`, 0 when there is none."""
    return int(rows.get(NUMBER_ROW, b"0"))


def encode_item(position: Position, spec: Mapping[str, Any], source: object) -> bytes:
    """Return the row of a route, a pool or the limits; `position` orders the items of the document.

    The row is copied into bytes of the exact size, for the reason given at
    `intent.row_codec.encode_spec`.
    """
    return bytes(memoryview(orjson.dumps({"place": position, "spec": spec, "source": source})))


def item_position(row: bytes) -> Position:
    """Return the position of an item, which orders the items of its document."""
    position: Position = orjson.loads(row)["place"]
    return position


@attrs.frozen
class SourceDocument:
    """The document as operators wrote it, returned to readers."""

    number: int
    routes: list[Any]
    pools: list[Any]
    limits: Any
    other: Any


def source_document(rows: Mapping[str, bytes]) -> SourceDocument:
    """Return the document in `rows` as operators wrote it."""
    limits = rows.get(LIMITS_ROW)
    return SourceDocument(
        number=number_of(rows),
        routes=_sources_in_order(rows, ROUTE_PREFIX),
        pools=_sources_in_order(rows, POOL_PREFIX),
        limits=orjson.loads(limits)["source"] if limits is not None else None,
        other=orjson.loads(rows.get(OTHER_ROW, b"null")),
    )


def _sources_in_order(rows: Mapping[str, bytes], prefix: str) -> list[Any]:
    items = [orjson.loads(content) for row, content in rows.items() if row.startswith(prefix)]
    items.sort(key=lambda item: item["place"])
    return [item["source"] for item in items]


class DocumentDecoder:
    """Maintains the typed document of a changing set of rows; decodes only rows that changed."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._routes: dict[str, ForwardRoute] = {}
        self._pools: dict[str, ForwardPool] = {}
        self._document = ForwardingDocument()

    @property
    def document(self) -> ForwardingDocument:
        """The document as of the last successful update."""
        return self._document

    def update(self, version: int, rows: Mapping[str, bytes]) -> ForwardingDocument:
        """Return the document of `rows`; raises for an unreadable row and keeps the last one."""
        routes = self._decode_items(rows, ROUTE_PREFIX, self._routes, ForwardRoute)
        pools = self._decode_items(rows, POOL_PREFIX, self._pools, ForwardPool)
        limits = self._document.limits
        if rows.get(LIMITS_ROW) != self._rows.get(LIMITS_ROW):
            limits = _decode_limits(rows.get(LIMITS_ROW))
        evacuated = frozenset(
            row.removeprefix(EVACUATED_PREFIX) for row in rows if row.startswith(EVACUATED_PREFIX)
        )
        self._rows, self._routes, self._pools = dict(rows), routes, pools
        self._document = ForwardingDocument(
            version, number_of(rows), routes, pools, limits, evacuated
        )
        return self._document

    def _decode_items(
        self,
        rows: Mapping[str, bytes],
        prefix: str,
        known: Mapping[str, Spec],
        spec_type: type[Spec],
    ) -> dict[str, Spec]:
        items = {}
        for row, content in rows.items():
            if not row.startswith(prefix):
                continue
            name = row[len(prefix) :]
            item = known.get(name)
            if item is None or self._rows.get(row) != content:
                item = _decode_spec(row, content, spec_type)
            items[name] = item
        return items


def _decode_limits(content: bytes | None) -> CallerLimits:
    if content is None:
        return CallerLimits()
    return _decode_spec(LIMITS_ROW, content, CallerLimits)


def _decode_spec(row: str, content: bytes, spec_type: type[Spec]) -> Spec:
    try:
        return spec_type.from_dict(orjson.loads(content)["spec"])
    except Exception as error:
        # The decoder raises many exception types; each means that this release cannot read the row.
        raise InvalidInputError(
            f"document row {row} cannot be read: {error}", "run the same release on every machine"
        ) from error
