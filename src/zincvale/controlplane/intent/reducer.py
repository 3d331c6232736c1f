"""Reducer of the intent: checks a change against the rows and returns the rows that it changes.

Pure and stateless: the same rows and change give the same result on every core.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
from returns.result import Failure, Result, Success

from zincvale.controlplane.intent.change_body import (
    MAX_CHANGE_BYTES,
    ChangeBody,
    ChangeMode,
    ResourceEdit,
    parse_json,
    read_change_body,
)
from zincvale.controlplane.intent.merge_patch import apply_merge_patch
from zincvale.controlplane.intent.proposed_rows import ChangedRow, ProposedRows
from zincvale.controlplane.intent.row_codec import decode_fields, encode_spec, split_row_id
from zincvale.controlplane.intent.validation.fields import check_fields
from zincvale.controlplane.intent.validation.resources import (
    check_referrers,
    check_resource,
    check_unique_fields,
)
from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.model.errors import BodyTooLargeError, ZincvaleError


@attrs.frozen
class IntentReducer:
    """Reducer of the intent, called by the register of the key `intent`.

    Attributes
    ----------
    known_policies : names that `Pool.policies` may list; None accepts every name.
    """

    known_policies: frozenset[str] | None = None

    def __call__(self, rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
        """Return the rows that a change puts or deletes, or why the change is refused."""
        try:
            changed = self.changed_rows(rows, change)
        except ZincvaleError as error:
            return Failure(ChangeRefused(error.problem, error.remedy))
        return Success([RowChange(row, content) for row, content in changed.items()])

    def changed_rows(self, rows: Mapping[str, bytes], change: bytes) -> dict[str, bytes | None]:
        """Return the new content by row id, None for deleted rows; raises a `ZincvaleError`.

        Parameters
        ----------
        rows : rows before the change.
        change : JSON of `{mode, resources}`.
        """
        if len(change) > MAX_CHANGE_BYTES:
            raise BodyTooLargeError(
                f"the change has {len(change)} bytes, more than {MAX_CHANGE_BYTES}",
                "apply the resources in several changes",
                size_bytes=len(change),
                limit_bytes=MAX_CHANGE_BYTES,
            )
        body = read_change_body(parse_json(change, "the change"))
        proposed = ProposedRows(rows, _apply_edits(rows, body))
        self._check(proposed)
        return {row: changed.content for row, changed in proposed.changed.items()}

    def _check(self, proposed: ProposedRows) -> None:
        """Raise a `ZincvaleError` for the first broken rule: fields first, then references."""
        for changed in proposed.written():
            check_fields(changed.kind, changed.name, changed.fields or {}, self.known_policies)
        for changed in proposed.written():
            check_resource(changed.kind, changed.name, changed.fields or {}, proposed)
        check_unique_fields(proposed)
        check_referrers(proposed)


def _apply_edits(rows: Mapping[str, bytes], body: ChangeBody) -> dict[str, ChangedRow]:
    """Return the rows whose content a change modifies, by row id; no rule is checked."""
    changed: dict[str, ChangedRow] = {}
    for edit in body.edits:
        fields = _fields_after(rows, edit, body.mode)
        content = None if fields is None else encode_spec(fields)
        if content != rows.get(edit.row):
            changed[edit.row] = ChangedRow(edit.kind, edit.name, fields, content)
    if body.mode is ChangeMode.REPLACE:
        retained = {edit.row for edit in body.edits}
        for row in rows:
            if row not in retained:
                changed[row] = ChangedRow(*split_row_id(row), None, None)
    return changed


def _fields_after(
    rows: Mapping[str, bytes], edit: ResourceEdit, mode: ChangeMode
) -> dict[str, Any] | None:
    """Return a resource's declared fields after an edit; None when it deletes the resource."""
    if edit.spec is None:
        return None
    stored = None if mode is ChangeMode.REPLACE else rows.get(edit.row)
    fields = {} if stored is None else decode_fields(edit.row, stored)
    merged: dict[str, Any] = apply_merge_patch(fields, edit.spec)
    return merged
