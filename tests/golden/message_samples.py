"""Builds samples of messages, rows and declared types from their annotations.

The values depend only on the positions of fields, never on names of classes or fields: a changed
number or type of fields changes the bytes of a sample, a changed name does not. A sample does not
show that two fields of one type were swapped, since only their names differ; for messages,
`docs/schemas.json` records the order.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import types
import typing
from typing import Any

import attrs


class SampleBuilder:
    """Builds one sample; `full` fills every optional field, list and map."""

    def __init__(self, full: bool) -> None:
        self._full = full
        self._position = 0

    def build(self, hint: Any) -> Any:
        """Return a value of the annotated type."""
        while hasattr(hint, "__supertype__"):
            hint = hint.__supertype__
        if hint is Any:
            return self._primitive(int)
        if attrs.has(hint):
            return self._record(hint)
        if dataclasses.is_dataclass(hint):
            return self._declared_type(typing.cast(type, hint))
        if isinstance(hint, type) and issubclass(hint, enum.Enum):
            return self._enum_member(hint)
        origin = typing.get_origin(hint)
        if origin is None:
            return self._primitive(hint)
        arguments = typing.get_args(hint)
        if origin is list:
            return self._items(arguments[0])
        if origin is tuple:
            return tuple(self._items(arguments[0]))
        if origin in (set, frozenset):
            return origin(self._items(arguments[0]))
        if origin in (dict, collections.abc.Mapping):
            return self._map(arguments[1])
        if origin in (types.UnionType, typing.Union):
            return self._optional(arguments)
        raise TypeError(f"no sample of {hint!r}")

    def _record(self, record_class: type) -> Any:
        hints = typing.get_type_hints(record_class)
        fields = [field for field in attrs.fields(record_class) if field.init]
        return record_class(**{field.alias: self.build(hints[field.name]) for field in fields})

    def _declared_type(self, kind: type) -> Any:
        """Return a sample of a declared type; a minimal one uses the defaults of its fields.

        Validation is skipped: only the names, order and types of the fields matter here.
        """
        hints = typing.get_type_hints(kind)
        sample = object.__new__(kind)
        for field in dataclasses.fields(kind):
            wanted = self._full or _is_required(field)
            value = self.build(hints[field.name]) if wanted else _default_of(field)
            object.__setattr__(sample, field.name, value)
        return sample

    def _enum_member(self, kind: type[enum.Enum]) -> Any:
        self._position += 1
        members = list(kind)
        return members[self._position % len(members)]

    def _items(self, hint: Any) -> list[Any]:
        return [self.build(hint) for _ in range(2)] if self._full else []

    def _map(self, hint: Any) -> dict[str, Any]:
        if not self._full:
            return {}
        return {key: self.build(hint) for key in ("key-1", "key-é")}

    def _optional(self, arguments: tuple[Any, ...]) -> Any:
        if not self._full:
            return None
        return self.build(next(each for each in arguments if each is not type(None)))

    def _primitive(self, hint: type) -> Any:
        self._position += 1
        position = self._position
        if hint is bool:
            return position % 2 == 1
        if hint is int:
            return position * 1009
        if hint is float:
            return position + 0.125
        if hint is str:
            return f"text-{position}"
        if hint is bytes:
            return f"bytes-{position}".encode() + b"\x00\xff"
        raise TypeError(f"no sample of {hint!r}")


def _is_required(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _default_of(field: dataclasses.Field[Any]) -> Any:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default
