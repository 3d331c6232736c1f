"""The body of an intent change: `{mode, resources: [{kind, name, spec}]}`."""

from __future__ import annotations

import difflib
import enum
import re
from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from zincvale.controlplane.intent.row_codec import row_id
from zincvale.model.checked import read_checked
from zincvale.model.errors import InvalidInputError, MalformedBodyError
from zincvale.model.resources import SPEC_BY_KIND, Document

MAX_CHANGE_BYTES = 2 * 1024 * 1024
"""Largest body of one change, about 18,000 resources; larger intents take several changes.

Checking a change blocks the event loop of the core that owns the intent. The limit keeps that time
well below the timeout after which the other cores consider that core failed.
"""

MAX_NAME_CHARACTERS = 128
"""Longest name of a resource; names are part of row ids and of the API's paths."""
MAX_SPEC_DEPTH = 8
"""Deepest nesting of a spec: no resource of any release is nested deeper.

The limit bounds every recursion over a spec.
"""

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]*")
_CHANGE_FIELDS = ("mode", "resources")
_DOCUMENT_FIELDS = {"kind", "name", "spec"}


class ChangeMode(enum.Enum):
    """How the resources of a change are combined with those already declared."""

    MERGE = "merge"
    """Patch the resources in the change; all others stay as they are."""
    REPLACE = "replace"
    """The change contains the complete intent; all other resources are deleted."""


@attrs.frozen
class ResourceEdit:
    """One resource of a change.

    Attributes
    ----------
    row : row id of the resource.
    spec : fields to patch (merge) or to declare (replace); None deletes the resource.
    """

    kind: str
    name: str
    row: str
    spec: dict[str, Any] | None


@attrs.frozen
class ChangeBody:
    """A decoded change that was not yet checked against the rows."""

    mode: ChangeMode
    edits: list[ResourceEdit]


def parse_json(body: bytes, what: str) -> Any:
    """Return the decoded JSON of `body`; raises `MalformedBodyError`."""
    try:
        return orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise MalformedBodyError(f"{what} is not JSON: {error}", "send a JSON object") from error


def read_change_body(data: object) -> ChangeBody:
    """Return the change in a decoded JSON value; raises `InvalidInputError`."""
    if not isinstance(data, Mapping):
        raise InvalidInputError(
            f"the change is {type(data).__name__}, not an object",
            'send {"mode": "merge", "resources": [...]}',
        )
    _refuse_unknown_fields(data)
    mode = _read_mode(data.get("mode", ChangeMode.MERGE.value))
    resources = data.get("resources")
    if not isinstance(resources, list):
        raise InvalidInputError(
            "the change has no list `resources`", 'add "resources": [{"kind", "name", "spec"}]'
        )
    edits = [_read_edit(item, position, mode) for position, item in enumerate(resources)]
    _refuse_duplicates(edits)
    return ChangeBody(mode, edits)


def _refuse_unknown_fields(data: Mapping[str, Any]) -> None:
    """Raise `InvalidInputError` for a field that a change does not have.

    `api.intent_changes` has its own check: a request may also have a base version.
    """
    for name in data:
        if name not in _CHANGE_FIELDS:
            raise InvalidInputError(
                f"the change has the unknown field {name!r}",
                f"known fields are baseVersion, {', '.join(_CHANGE_FIELDS)}",
            )


def _read_mode(value: object) -> ChangeMode:
    for mode in ChangeMode:
        if mode.value == value:
            return mode
    raise InvalidInputError(f"unknown mode {value!r}", "write `merge` or `replace`")


def _read_edit(item: object, position: int, mode: ChangeMode) -> ResourceEdit:
    where = f"resources[{position}]"
    if not isinstance(item, dict) or not item.keys() <= _DOCUMENT_FIELDS:
        _refuse_status(item, where)
        read_checked(Document, item, where)
        raise InvalidInputError(f"{where} is not a resource", "write kind, name and spec")
    kind = _read_kind(item.get("kind"), where)
    name = read_name(item.get("name"), where, kind)
    spec = item.get("spec")
    if spec is None and mode is ChangeMode.REPLACE:
        raise InvalidInputError(
            f"{kind} {name}: spec is missing",
            "write `spec: {}` for the defaults; in replace mode leave a resource out to delete it",
        )
    if spec is not None and not isinstance(spec, dict):
        raise InvalidInputError(
            f"{kind} {name}: spec is {type(spec).__name__}, not an object", "write it as fields"
        )
    if spec is not None and _is_deeper_than(spec, MAX_SPEC_DEPTH):
        raise InvalidInputError(
            f"{kind} {name}: spec is nested deeper than {MAX_SPEC_DEPTH}", "write plain fields"
        )
    return ResourceEdit(kind, name, row_id(kind, name), spec)


def _is_deeper_than(value: dict[str, Any] | list[Any], depth: int) -> bool:
    if depth == 0:
        return True
    items = value.values() if isinstance(value, dict) else value
    return any(isinstance(item, dict | list) and _is_deeper_than(item, depth - 1) for item in items)


def _refuse_status(item: object, where: str) -> None:
    """Raise `InvalidInputError` for a resource with a status, as a read returns it."""
    if isinstance(item, dict) and "status" in item:
        raise InvalidInputError(
            f"{where}: `status` is observed, never declared", "remove `status` from the resource"
        )


def _read_kind(value: object, where: str) -> str:
    if isinstance(value, str) and value in SPEC_BY_KIND:
        return value
    if value is None:
        raise InvalidInputError(
            f"{where}: kind is missing", f"add one of {', '.join(SPEC_BY_KIND)}"
        )
    nearest = difflib.get_close_matches(str(value).capitalize(), SPEC_BY_KIND, n=1)
    if nearest:
        raise InvalidInputError(f"{where}: unknown kind {value!r}", f"did you mean {nearest[0]!r}?")
    raise InvalidInputError(
        f"{where}: unknown kind {value!r}", f"use one of {', '.join(SPEC_BY_KIND)}"
    )


def read_name(value: object, where: str, what: str) -> str:
    """Return `value` as a valid name; raises `InvalidInputError`.

    Parameters
    ----------
    where : place of the name in the input, for the message.
    what : kind of the named resource or the name of the field, for the message.
    """
    if value is None:
        raise InvalidInputError(f"{where}: {what}: name is missing", "add a name")
    if not isinstance(value, str):
        raise InvalidInputError(
            f"{where}: {what}: name is {value!r}, not text", "write the name in quotes"
        )
    if len(value) > MAX_NAME_CHARACTERS or not _NAME.fullmatch(value):
        raise InvalidInputError(
            f"{where}: {what}: name {value[:MAX_NAME_CHARACTERS]!r} is invalid",
            f"use at most {MAX_NAME_CHARACTERS} letters, digits and any of . _ : -, "
            "beginning with a letter or digit",
        )
    return value


def _refuse_duplicates(edits: list[ResourceEdit]) -> None:
    seen: set[str] = set()
    for edit in edits:
        if edit.row in seen:
            raise InvalidInputError(
                f"{edit.kind} {edit.name} is listed twice in the change", "keep one of the two"
            )
        seen.add(edit.row)
