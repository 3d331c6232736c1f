"""Avro codec of the peer protocol.

Schemas are derived from the annotations of the registered message classes, so that each message is
declared in one place. A batch is `{cluster_id, sender, incarnation, messages: [{name, body}]}`.
"""

from __future__ import annotations

import io
import types
import typing
from collections.abc import Callable
from typing import Any

import attrs
import fastavro

from zincvale.model.errors import MalformedBodyError
from zincvale.model.messages import message_classes

BATCH_SCHEMA = fastavro.parse_schema(
    {
        "type": "record",
        "name": "zincvale.Batch",
        "fields": [
            {"name": "cluster_id", "type": "string"},
            {"name": "sender", "type": "string"},
            {"name": "incarnation", "type": "string"},
            {
                "name": "messages",
                "type": {
                    "type": "array",
                    "items": {
                        "type": "record",
                        "name": "zincvale.Named",
                        "fields": [
                            {"name": "name", "type": "string"},
                            {"name": "body", "type": "bytes"},
                        ],
                    },
                },
            },
        ],
    }
)

_PRIMITIVES: dict[Any, str] = {
    int: "long",
    float: "double",
    bool: "boolean",
    str: "string",
    bytes: "bytes",
}


@attrs.frozen
class Batch:
    """The messages in one request or response body of the peer protocol, and their sender."""

    cluster_id: str
    sender: str
    incarnation: str
    messages: list[Any]


def encode_message(message: Any) -> bytes:
    """Return the Avro body of one message."""
    schema = _schema_of(type(message))
    buffer = io.BytesIO()
    fastavro.schemaless_writer(buffer, schema, _to_plain(message))
    return buffer.getvalue()


def decode_message(name: str, body: bytes) -> Any:
    """Return the message of class `name` from its Avro body; raises `MalformedBodyError`."""
    message_class = message_classes().get(name)
    if message_class is None:
        raise MalformedBodyError(
            f"unknown message {name!r}", "run the same release on every machine"
        )
    schema = _schema_of(message_class)
    try:
        plain = fastavro.schemaless_reader(io.BytesIO(body), schema, None)
    except Exception as error:  # fastavro raises errors of many types for malformed bytes
        raise MalformedBodyError(
            f"message {name} cannot be read: {error}", "run the same release on every machine"
        ) from error
    return _from_plain(message_class, plain)


def encode_batch(batch: Batch) -> bytes:
    """Return the Avro body of a batch."""
    named = [
        {"name": message.MESSAGE_NAME, "body": encode_message(message)}
        for message in batch.messages
    ]
    buffer = io.BytesIO()
    fastavro.schemaless_writer(
        buffer,
        BATCH_SCHEMA,
        {
            "cluster_id": batch.cluster_id,
            "sender": batch.sender,
            "incarnation": batch.incarnation,
            "messages": named,
        },
    )
    return buffer.getvalue()


def decode_batch(body: bytes) -> Batch:
    """Return the batch in `body`; raises `MalformedBodyError`."""
    try:
        plain: Any = fastavro.schemaless_reader(io.BytesIO(body), BATCH_SCHEMA, None)
    except Exception as error:  # fastavro raises errors of many types for malformed bytes
        raise MalformedBodyError(
            f"batch cannot be read: {error}", "run the same release on every machine"
        ) from error
    messages = [decode_message(item["name"], item["body"]) for item in plain["messages"]]
    return Batch(plain["cluster_id"], plain["sender"], plain["incarnation"], messages)


def schema_json(message_class: type) -> Any:
    """Return the Avro schema of a message class as JSON values, for docs/schemas.json."""
    return _record_schema(message_class, set())


_SCHEMA_BY_CLASS: dict[type, Any] = {}
_HINTS_BY_CLASS: dict[type, dict[str, Any]] = {}


def _schema_of(message_class: type) -> Any:
    schema = _SCHEMA_BY_CLASS.get(message_class)
    if schema is None:
        schema = fastavro.parse_schema(_record_schema(message_class, set()))
        _SCHEMA_BY_CLASS[message_class] = schema
    return schema


def _hints(message_class: type) -> dict[str, Any]:
    hints = _HINTS_BY_CLASS.get(message_class)
    if hints is None:
        hints = _resolve_hints(message_class)
        _HINTS_BY_CLASS[message_class] = hints
    return hints


def _resolve_hints(message_class: type) -> dict[str, Any]:
    return {
        name: _without_newtype(hint)
        for name, hint in typing.get_type_hints(message_class).items()
        if name in attrs.fields_dict(message_class)
    }


def _without_newtype(hint: Any) -> Any:
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    return hint


def _record_schema(message_class: type, seen: set[str]) -> Any:
    name = f"zincvale.{message_class.__name__}"
    if name in seen:
        return name
    seen.add(name)
    fields = [
        {"name": field, "type": _type_schema(hint, seen)}
        for field, hint in _hints(message_class).items()
    ]
    return {"type": "record", "name": name, "fields": fields}


def _type_schema(hint: Any, seen: set[str]) -> Any:
    hint = _without_newtype(hint)
    if hint in _PRIMITIVES:
        return _PRIMITIVES[hint]
    if attrs.has(hint):
        return _record_schema(hint, seen)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin is list:
        return {"type": "array", "items": _type_schema(arguments[0], seen)}
    if origin is dict:
        return {"type": "map", "values": _type_schema(arguments[1], seen)}
    if origin in (types.UnionType, typing.Union):
        return ["null", _type_schema(_non_null(arguments), seen)]
    raise TypeError(f"no Avro type for {hint!r}")


def _non_null(arguments: tuple[Any, ...]) -> Any:
    members = [argument for argument in arguments if argument is not type(None)]
    if len(members) != 1:
        raise TypeError(f"only `T | None` unions have an Avro type, not {arguments}")
    return members[0]


Converter = Callable[[Any], Any]
"""Converts a value to or from the values that fastavro writes and reads."""


def _to_plain(value: Any) -> Any:
    """Return a message as dicts, lists and primitive values, as fastavro writes them."""
    converter = _converter_of(type(value), _TO_PLAIN, _record_to_plain)
    return converter(value) if converter else value


def _from_plain(message_class: type, plain: Any) -> Any:
    """Return the message whose dicts, lists and primitive values fastavro read."""
    converter = _converter_of(message_class, _FROM_PLAIN, _record_from_plain)
    return converter(plain) if converter else plain


_TO_PLAIN: dict[type, Converter | None] = {}
_FROM_PLAIN: dict[type, Converter | None] = {}

RecordConverter = Callable[[type], Converter]


def _converter_of(
    hint: Any, converters: dict[type, Converter | None], record_converter: RecordConverter
) -> Converter | None:
    """Return the converter for values of a type, or None when they need no conversion."""
    hint = _without_newtype(hint)
    if hint in converters:
        return converters[hint]
    converter = _build_converter(hint, converters, record_converter)
    converters[hint] = converter
    return converter


def _build_converter(
    hint: Any, converters: dict[type, Converter | None], record_converter: RecordConverter
) -> Converter | None:
    if hint in _PRIMITIVES:
        return None
    if attrs.has(hint):
        return record_converter(hint)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin is list:
        return _list_converter(_converter_of(arguments[0], converters, record_converter))
    if origin is dict:
        return _dict_converter(_converter_of(arguments[1], converters, record_converter))
    if origin in (types.UnionType, typing.Union):
        return _optional_converter(
            _converter_of(_non_null(arguments), converters, record_converter)
        )
    raise TypeError(f"no Avro type for {hint!r}")


def _list_converter(inner: Converter | None) -> Converter | None:
    if inner is None:
        return None
    return lambda values: [inner(value) for value in values]


def _dict_converter(inner: Converter | None) -> Converter | None:
    if inner is None:
        return None
    return lambda values: {key: inner(value) for key, value in values.items()}


def _optional_converter(inner: Converter | None) -> Converter | None:
    if inner is None:
        return None
    return lambda value: None if value is None else inner(value)


def _record_to_plain(record_class: type) -> Converter:
    fields = [
        (name, _converter_of(hint, _TO_PLAIN, _record_to_plain))
        for name, hint in _hints(record_class).items()
    ]

    def convert(value: Any) -> Any:
        plain = {}
        for name, converter in fields:
            field = getattr(value, name)
            plain[name] = converter(field) if converter else field
        return plain

    return convert


def _record_from_plain(record_class: type) -> Converter:
    fields = [
        (name, _converter_of(hint, _FROM_PLAIN, _record_from_plain))
        for name, hint in _hints(record_class).items()
    ]

    def convert(plain: Any) -> Any:
        values = {}
        for name, converter in fields:
            values[name.lstrip("_")] = converter(plain[name]) if converter else plain[name]
        return record_class(**values)

    return convert
