"""Finds the references between resources and checks that their targets exist."""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Mapping
from typing import Any

from zincvale.controlplane.intent.proposed_rows import ProposedRows
from zincvale.controlplane.intent.row_codec import row_id
from zincvale.model.errors import InvalidInputError

TARGET_KIND_BY_FIELD: dict[str, dict[str, str]] = {
    "Route": {"pool": "Pool", "models": "Model"},
    "Model": {"pool": "Pool", "store": "Store"},
    "Adapter": {"base_model": "Model", "store": "Store"},
}
"""For each kind with references: the fields that name resources, with the kind of the target."""

REFERRING_KINDS: dict[str, list[str]] = {
    target: [kind for kind, fields in TARGET_KIND_BY_FIELD.items() if target in fields.values()]
    for target in ("Pool", "Store", "Model")
}
"""For each kind that is referenced, the kinds that refer to it."""

_PREFIX_BY_FIELD: dict[str, list[tuple[str, str]]] = {
    kind: [(field, f"{target}/") for field, target in fields.items()]
    for kind, fields in TARGET_KIND_BY_FIELD.items()
}


def references_of(kind: str, fields: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    """Yield the field and the target's row id of each reference in a resource's fields."""
    for field, prefix in _PREFIX_BY_FIELD.get(kind, ()):
        value = fields.get(field)
        if isinstance(value, str):
            yield field, prefix + value
        elif value:
            for name in value:
                yield field, prefix + name


def check_references(
    kind: str, name: str, fields: Mapping[str, Any], proposed: ProposedRows
) -> None:
    """Raise `InvalidInputError` for the first reference whose target does not exist."""
    for field, row in references_of(kind, fields):
        if row not in proposed:
            raise _dangling_reference_error(kind, name, field, row, proposed)


def _dangling_reference_error(
    kind: str, name: str, field: str, row: str, proposed: ProposedRows
) -> InvalidInputError:
    target_kind, _, target_name = row.partition("/")
    target = f"{target_kind} {target_name}"
    if kind == "Adapter" and target_kind == "Model" and row_id("Adapter", target_name) in proposed:
        return _stacked_adapter_error(name, target_name, proposed)
    if proposed.deletes(row):
        return InvalidInputError(
            f"{target} cannot be deleted: {kind} {name} names it in spec.{field}",
            f"delete or change {kind} {name} in the same change",
        )
    problem = f"{kind} {name}: spec.{field} names {target}, which does not exist"
    nearest = difflib.get_close_matches(target_name, proposed.names(target_kind), n=1)
    if nearest:
        return InvalidInputError(problem, f"did you mean {nearest[0]!r}?")
    return InvalidInputError(problem, f"declare {target} in the same change, or name another")


def _stacked_adapter_error(name: str, base: str, proposed: ProposedRows) -> InvalidInputError:
    chain = [name]
    following: str | None = base
    while following is not None and following not in chain:
        chain.append(following)
        following = _base_adapter(following, proposed)
    path = " -> ".join([*chain, following] if following else chain)
    if following is not None:
        problem = f"Adapter {name}: spec.base_model runs in a cycle: {path}"
    else:
        problem = f"Adapter {name}: spec.base_model names an adapter: {path}"
    return InvalidInputError(problem, "name a Model; the base of an adapter must be a model")


def _base_adapter(name: str, proposed: ProposedRows) -> str | None:
    base = proposed.fields(row_id("Adapter", name)).get("base_model")
    if isinstance(base, str) and row_id("Adapter", base) in proposed:
        return base
    return None
