"""Registry of the messages of the internal protocol.

A message is an attrs class whose fields are annotated with `int`, `float`, `bool`, `str`,
`bytes`, `list[T]`, `dict[str, T]`, `T | None` or another attrs class. The Avro schema is derived
from these annotations (`transport.codec`), so a message is declared once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import attrs

MessageType = TypeVar("MessageType", bound=type)

_MESSAGE_BY_NAME: dict[str, type] = {}


def peer_message(name: str) -> Callable[[MessageType], MessageType]:
    """Register the decorated attrs class as the message `name` (lower-case, dotted)."""

    def register(message_class: MessageType) -> MessageType:
        if not attrs.has(message_class):
            raise TypeError(f"message {name} must be an attrs class")
        if name in _MESSAGE_BY_NAME:
            raise ValueError(f"message {name} is registered twice")
        _MESSAGE_BY_NAME[name] = message_class
        message_class.MESSAGE_NAME = name  # type: ignore[attr-defined]
        return message_class  # type: ignore[return-value]

    return register


def message_classes() -> dict[str, type]:
    """Return every registered message class by its name."""
    return dict(_MESSAGE_BY_NAME)
