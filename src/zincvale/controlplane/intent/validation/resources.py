"""Rules between resources, apart from the existence of references' targets."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from typing import Any

from zincvale.controlplane.intent.proposed_rows import ChangedRow, ProposedRows
from zincvale.controlplane.intent.row_codec import decode_fields, row_id
from zincvale.controlplane.intent.validation.references import (
    REFERRING_KINDS,
    check_references,
    references_of,
)
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import PoolKind

_UNIQUE_FIELD_BY_KIND = {"Route": "path", "Store": "address"}
"""Fields whose values must differ between all resources of the kind.

A path selects one route. Loads from a store that is declared under two names would exceed its
bandwidth.
"""

MAX_PREFILTER_NAMES = 8
"""Limit on the names that are searched for in a row's bytes before the row is decoded.

With more names every row is decoded; the result is the same but slower to compute.
"""

_DEFAULT_POOL_KIND = PoolKind.LANGUAGE_MODEL.value


def check_resource(kind: str, name: str, fields: Mapping[str, Any], proposed: ProposedRows) -> None:
    """Raise `InvalidInputError` if a resource is inconsistent with those that it references."""
    check_references(kind, name, fields, proposed)
    if kind == "Route":
        _check_route(name, fields, proposed)
    if kind == "Model":
        _check_model(name, fields, proposed)
    if kind == "Adapter" and row_id("Model", name) in proposed:
        raise _shared_name_error(name)


def check_unique_fields(proposed: ProposedRows) -> None:
    """Raise `InvalidInputError` if two routes have one path or two stores one address."""
    for kind, field in _UNIQUE_FIELD_BY_KIND.items():
        written = [row for row in proposed.written() if row.kind == kind]
        if written:
            _check_unique_field(kind, field, written, proposed)


def check_referrers(proposed: ProposedRows) -> None:
    """Raise `InvalidInputError` if an unchanged resource is inconsistent with a changed target.

    Iterates over the referring kinds, but only if a change deletes a resource, moves a model to
    another pool or changes the kind of a pool.
    """
    targets_by_kind: dict[str, list[str]] = {}
    for row in proposed.changed:
        for kind in _kinds_to_recheck(row, proposed):
            targets_by_kind.setdefault(kind, []).append(row)
    for kind, targets in sorted(targets_by_kind.items()):
        _check_referrers_of(kind, frozenset(targets), proposed)


def _check_referrers_of(kind: str, targets: frozenset[str], proposed: ProposedRows) -> None:
    may_refer = _reference_prefilter(targets)
    for row, content in proposed.unchanged(kind):
        if not may_refer(content):
            continue
        fields = decode_fields(row, content)
        if any(target in targets for _, target in references_of(kind, fields)):
            check_resource(kind, row.partition("/")[2], fields, proposed)


def _reference_prefilter(targets: Collection[str]) -> Callable[[bytes], bool]:
    """Return a predicate on a row's JSON that is true if the row may refer to one of `targets`.

    It compares bytes: valid names contain nothing that JSON escapes (`change_body.read_name`).
    """
    quoted = [f'"{row.partition("/")[2]}"'.encode() for row in targets]
    if len(quoted) == 1:
        name = quoted[0]
        return lambda content: name in content
    if len(quoted) <= MAX_PREFILTER_NAMES:
        return lambda content: any(name in content for name in quoted)
    return lambda _content: True


def _kinds_to_recheck(row: str, proposed: ProposedRows) -> list[str]:
    """Return the kinds whose resources must be checked again if they refer to `row`."""
    kind = row.partition("/")[0]
    if proposed.deletes(row):
        return REFERRING_KINDS.get(kind, [])
    before, after = proposed.stored_fields(row), proposed.fields(row)
    if kind == "Pool" and _pool_kind(before) != _pool_kind(after):
        return REFERRING_KINDS["Pool"]
    if kind == "Model" and before and before.get("pool") != after.get("pool"):
        return ["Route"]
    return []


def _pool_kind(fields: Mapping[str, Any]) -> str:
    return str(fields.get("kind", _DEFAULT_POOL_KIND))


def _check_route(name: str, fields: Mapping[str, Any], proposed: ProposedRows) -> None:
    pool = fields["pool"]
    models = fields.get("models", [])
    if _pool_kind(proposed.fields(row_id("Pool", pool))) == PoolKind.LOOKUP.value:
        _check_lookup_route(name, fields)
    for model in models:
        model_pool = proposed.fields(row_id("Model", model)).get("pool")
        if model_pool != pool:
            raise InvalidInputError(
                f"Route {name}: spec.models names Model {model}, which is in Pool {model_pool}, "
                f"while spec.pool is {pool}",
                f"leave {model} out, or move the route or the model to one pool",
            )


def _check_lookup_route(name: str, fields: Mapping[str, Any]) -> None:
    for field in ("stream", "models"):
        if fields.get(field):
            raise InvalidInputError(
                f"Route {name}: spec.{field} is set, but Pool {fields['pool']} serves lookups",
                f"remove {field}, or name a pool of kind language-model",
            )


def _check_model(name: str, fields: Mapping[str, Any], proposed: ProposedRows) -> None:
    if row_id("Adapter", name) in proposed:
        raise _shared_name_error(name)
    if _pool_kind(proposed.fields(row_id("Pool", fields["pool"]))) == PoolKind.LOOKUP.value:
        raise InvalidInputError(
            f"Model {name}: spec.pool names Pool {fields['pool']}, which serves lookups",
            "name a pool of kind language-model",
        )


def _shared_name_error(name: str) -> InvalidInputError:
    return InvalidInputError(
        f"Model {name} and Adapter {name} share a name",
        "servers distinguish models and adapters by name only: rename one of them",
    )


def _check_unique_field(
    kind: str, field: str, written: list[ChangedRow], proposed: ProposedRows
) -> None:
    claims = [(row.name, row.fields or {}) for row in written]
    claims += [
        (row.partition("/")[2], decode_fields(row, content))
        for row, content in proposed.unchanged(kind)
    ]
    claimed: dict[str, str] = {}
    for name, fields in claims:
        value = fields.get(field, "")
        other = claimed.setdefault(value, name)
        if other != name:
            raise InvalidInputError(
                f"{kind} {other}: spec.{field} {value!r} is also that of {kind} {name}",
                f"no two resources of kind {kind} may have the same {field}",
            )
