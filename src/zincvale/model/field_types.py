"""Strict checks of the JSON types of declared fields.

The deserialization library converts values, so that `drained: "false"` would become true. These
checks require that a value already has the JSON type of its declaration.
"""

from __future__ import annotations

import dataclasses
import enum
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from zincvale.model.errors import InvalidInputError

LARGEST_INTEGER = 2**63 - 1
MAX_QUOTED_CHARACTERS = 80


@attrs.frozen
class FieldType:
    """The values that one field accepts, and their description in error messages."""

    accepts: Callable[[Any], bool]
    expected: str
    remedy: str


def check_field_types(kind: type, fields: Mapping[str, Any], where: str) -> None:
    """Raise `InvalidInputError` for the first declared field whose value has another type."""
    field_types = _field_types(kind)
    for name, value in fields.items():
        field_type = field_types.get(name)
        if field_type is not None and not field_type.accepts(value):
            raise InvalidInputError(
                f"{where}: field {name!r} has value {_shortened(value)}, not {field_type.expected}",
                field_type.remedy,
            )


def _shortened(value: Any) -> str:
    text = repr(value)
    if len(text) <= MAX_QUOTED_CHARACTERS:
        return text
    return f"{text[:MAX_QUOTED_CHARACTERS]}..."


def _field_types(kind: type) -> dict[str, FieldType]:
    cached = _TYPES_BY_KIND.get(kind)
    if cached is None:
        hints = typing.get_type_hints(kind)
        cached = {field.name: _field_type(hints[field.name]) for field in dataclasses.fields(kind)}
        _TYPES_BY_KIND[kind] = cached
    return cached


def _field_type(hint: Any) -> FieldType:
    if hint is Any:
        return FieldType(lambda _value: True, "anything", "")
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional_type(hint)
    if origin is dict or dataclasses.is_dataclass(hint):
        return FieldType(
            lambda value: isinstance(value, Mapping), "a mapping", "write `field: value` lines"
        )
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_type(hint)
    if origin is list:
        return _list_type(_field_type(typing.get_args(hint)[0]))
    return _SCALAR_TYPES[hint]


def _enum_type(hint: type[enum.Enum]) -> FieldType:
    values = [member.value for member in hint]
    choices = ", ".join(values)
    return FieldType(
        lambda value: isinstance(value, str) and value in values,
        f"one of {choices}",
        f"write one of {choices}",
    )


def _optional_type(hint: Any) -> FieldType:
    members = [member for member in typing.get_args(hint) if member is not type(None)]
    inner = _field_type(members[0])
    return FieldType(
        lambda value: value is None or inner.accepts(value), inner.expected, inner.remedy
    )


def _list_type(item: FieldType) -> FieldType:
    return FieldType(
        lambda value: isinstance(value, list) and all(item.accepts(entry) for entry in value),
        f"a list of {item.expected}",
        "write a list, as in [first, second]",
    )


def _is_integer(value: Any) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and abs(value) <= LARGEST_INTEGER


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


_SCALAR_TYPES: dict[Any, FieldType] = {
    str: FieldType(lambda value: isinstance(value, str), "text", "write text, in quotes"),
    bool: FieldType(
        lambda value: isinstance(value, bool), "true or false", "write true or false, unquoted"
    ),
    int: FieldType(_is_integer, "a whole number", "write a whole number, unquoted, no exponent"),
    float: FieldType(_is_number, "a number", "write a number, unquoted"),
}

_TYPES_BY_KIND: dict[type, dict[str, FieldType]] = {}
