"""Changes of the forwarding document, as they travel to the owner of its key.

An operator's dialect reads what was sent into these types; `source` is the item as the operator
wrote it, stored unchanged so that it can be read back.
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
    """A route and what the operator wrote."""

    spec: ForwardRoute
    source: Any


@attrs.frozen
class DeclaredPool:
    """A pool and what the operator wrote."""

    spec: ForwardPool
    source: Any


@attrs.frozen
class DocumentChange:
    """A complete document, or a patch of one.

    Attributes
    ----------
    base : number of the document that the change was built on.
    number : number of the document that the change makes.
    is_complete : the routes and pools listed are all there are; otherwise the change is a patch.
    removed_routes, removed_pools : names that a patch takes away.
    limits : what callers may send; None leaves the limits as they are.
    other : what else the operator wrote at the top of the document.
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
    """Evacuate a zone, or open it to requests again."""

    zone: str
    evacuated: bool


def encode_change(change: DocumentChange | EvacuationChange) -> bytes:
    """Return a change as the owner's reducer takes it; equal changes are equal bytes."""
    if isinstance(change, EvacuationChange):
        return orjson.dumps(
            {"mode": EVACUATE, "zone": change.zone, "evacuated": change.evacuated},
            option=orjson.OPT_SORT_KEYS,
        )
    plain = {
        "mode": REPLACE if change.is_complete else PATCH,
        "base": change.base,
        "number": change.number,
        "routes": [_declared(each.spec.to_dict(), each.source) for each in change.routes],
        "pools": [_declared(each.spec.to_dict(), each.source) for each in change.pools],
        "removed_routes": list(change.removed_routes),
        "removed_pools": list(change.removed_pools),
        "limits": None
        if change.limits is None
        else _declared(change.limits.to_dict(), change.limits_source),
        "other": change.other,
    }
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def decode_change(content: bytes) -> dict[str, Any]:
    """Return the fields of an encoded change; raises `MalformedBodyError`."""
    try:
        plain = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise MalformedBodyError(
            f"the change is not JSON: {error}", "send it again whole"
        ) from error
    if not isinstance(plain, dict):
        raise MalformedBodyError("the change is not a JSON object", "send it again whole")
    return plain


def change_identity(change: bytes) -> str:
    """Return the idempotency key of a change: equal changes have equal keys."""
    return xxhash.xxh3_128_hexdigest(change)


def _declared(spec: dict[str, Any], source: object) -> dict[str, Any]:
    return {"spec": spec, "source": source}
