"""Changes of the forwarding document, as they are sent to the owner of its key.

An operator dialect decodes requests into these types; `source` is an item as the operator wrote it,
stored unchanged so that it can be read back.
"""

from __future__ import annotations

from typing import Any

import attrs
import orjson
import xxhash

from zincvale.model.errors import MalformedBodyError
from zincvale.model.forwarding import CallerLimits, ForwardPool, ForwardRoute

REPLACE = "replace"
PATCH = "patch"
EVACUATE = "evacuate"


@attrs.frozen
class DeclaredRoute:
    """A route, decoded and as the operator wrote it."""

    spec: ForwardRoute
    source: Any


@attrs.frozen
class DeclaredPool:
    """A pool, decoded and as the operator wrote it."""

    spec: ForwardPool
    source: Any


@attrs.frozen
class DocumentChange:
    """A complete document, or a patch of one.

    Attributes
    ----------
    base : number of the document that the change was built on.
    number : number of the document that the change creates.
    is_complete : whether the change lists every route and pool; otherwise it is a patch.
    removed_routes, removed_pools : names that a patch removes.
    limits : limits on callers; None leaves them unchanged in a patch and resets them otherwise.
    other : all other top-level fields of the document, as the operator wrote them.
    """

    base: int
    number: int
    is_complete: bool
    routes: tuple[DeclaredRoute, ...] = ()
    pools: tuple[DeclaredPool, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_pools: tuple[str, ...] = ()
    limits: CallerLimits | None = None
    limits_source: Any = None
    other: Any = None


@attrs.frozen
class EvacuationChange:
    """Evacuate a zone, or return it to service.

    Attributes
    ----------
    base_revision : revision of the zone's evacuation that the change is applied to. A change whose
        base is outdated is not applied, so that an attempt that was delayed never undoes a newer
        order. None, of an earlier release, applies to any revision and does not count as one.
    """

    zone: str
    evacuated: bool
    base_revision: int | None = None


def encode_change(change: DocumentChange | EvacuationChange) -> bytes:
    """Return a change encoded for the owner's reducer; equal changes are equal bytes."""
    if isinstance(change, EvacuationChange):
        return orjson.dumps(
            {
                "mode": EVACUATE,
                "zone": change.zone,
                "evacuated": change.evacuated,
                "base": change.base_revision,
            },
            option=orjson.OPT_SORT_KEYS,
        )
    plain = {
        "mode": REPLACE if change.is_complete else PATCH,
        "base": change.base,
        "number": change.number,
        "routes": [_item_to_json(each.spec.to_dict(), each.source) for each in change.routes],
        "pools": [_item_to_json(each.spec.to_dict(), each.source) for each in change.pools],
        "removed_routes": list(change.removed_routes),
        "removed_pools": list(change.removed_pools),
        "limits": None
        if change.limits is None
        else _item_to_json(change.limits.to_dict(), change.limits_source),
        "other": change.other,
    }
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def decode_change(content: bytes) -> dict[str, Any]:
    """Return the fields of an encoded change; raises `MalformedBodyError`."""
    try:
        plain = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise MalformedBodyError(
            f"the change is not JSON: {error}", "send the complete change again"
        ) from error
    if not isinstance(plain, dict):
        raise MalformedBodyError(
            "the change is not a JSON object", "send the complete change again"
        )
    return plain


def change_identity(change: bytes) -> str:
    """Return the idempotency key of a change: equal changes have equal keys."""
    return xxhash.xxh3_128_hexdigest(change)


def _item_to_json(spec: dict[str, Any], source: object) -> dict[str, Any]:
    return {"spec": spec, "source": source}
