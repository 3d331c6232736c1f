"""Digests over the decisions of a simulated run, in order, and the file of approved ones.

A digest does not depend on identifiers: objects count as the values of their fields in order,
messages as their wire name and Avro body. Iteration order of dicts and lists counts; sets, which
have no order of their own, count sorted.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import hashlib
from array import array
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from unittest import mock

import attrs
import numpy
import orjson

from zincvale.coordination.delivery.messages import PollResponse
from zincvale.model.machine import Call, Log, Reply, Send, Write
from zincvale.transport.codec import encode_message

APPROVED = Path(__file__).parent / "decision_digests.json"
_SCALARS = (str, bool, type(None))
_LARGE = 1 << 63
"""Beyond what the JSON encoder takes."""
_ORDERED = (list, tuple, array)
_SETS = (set, frozenset)


class DecisionLog:
    """Hashes what happened, one entry after the other.

    Attributes
    ----------
    entries : number of entries so far; a digest over nothing would prove nothing.
    """

    def __init__(self) -> None:
        self.entries = 0
        self._hash = hashlib.sha256()
        self._failure: Exception | None = None

    def add(self, kind: str, *values: Any) -> None:
        """Add one entry; `kind` is a word of the tests, never a name from the code."""
        self.entries += 1
        try:
            entry = orjson.dumps([kind, canonical(values)])
        except Exception as error:
            # The simulators' loops would swallow it.
            self._failure = error
            raise
        self._hash.update(entry + b"\n")

    def effect(self, value: Any, *where: Any) -> None:
        """Add an effect of a state machine, with where and when it was carried out."""
        match value:
            case Send(to, message):
                self.add("send", *where, to, message)
            case Write(token, key, version, content):
                self.add("write", *where, token, key, version, content)
            case Call(to, token, message, timeout_s):
                self.add("call", *where, to, token, message, timeout_s)
            case Reply(token, message):
                self.add("reply", *where, token, message)
            case Log(number, fields):
                self.add("log", *where, number, list(fields.values()))
            case _:
                self.add("effect", *where, value)

    def digest(self) -> str:
        """Return the number of entries and the hash over them; raises if one had no form."""
        if self._failure is not None:
            raise self._failure
        return f"{self.entries} {self._hash.hexdigest()[:32]}"


def canonical(value: Any) -> Any:
    """Return a value as lists, texts and numbers that do not depend on identifiers."""
    if isinstance(value, enum.Enum):
        return canonical(value.value)
    if isinstance(value, _SCALARS):
        return value
    if isinstance(value, int):
        return value if abs(value) < _LARGE else repr(value)
    if isinstance(value, float):
        return repr(value)
    if isinstance(value, (bytes, bytearray)):
        return value.hex()
    if isinstance(value, _ORDERED):
        return [canonical(each) for each in value]
    if isinstance(value, dict):
        return [[canonical(key), canonical(each)] for key, each in value.items()]
    if isinstance(value, _SETS):
        return sorted((canonical(each) for each in value), key=orjson.dumps)
    return _canonical_object(value)


def _canonical_object(value: Any) -> Any:
    if hasattr(value, "MESSAGE_NAME"):
        return [value.MESSAGE_NAME, encode_message(_with_sorted_members(value)).hex()]
    if isinstance(value, numpy.generic):
        return canonical(value.item())
    if attrs.has(type(value)):
        names = [field.name for field in attrs.fields(type(value))]
    elif dataclasses.is_dataclass(value):
        names = [field.name for field in dataclasses.fields(value)]
    else:
        raise TypeError(f"no canonical form of {type(value)}")
    return [canonical(getattr(value, name)) for name in names]


def _with_sorted_members(message: Any) -> Any:
    """Return a poll's answer with its member rows sorted, any other message as it is.

    A core notes its changed members in a set of texts, so that the order of these rows in the table
    and in the message follows the interpreter's hash seed.
    """
    if not isinstance(message, PollResponse) or message.members is None:
        return message
    puts = dict(sorted(message.members.puts.items()))
    deletes = sorted(message.members.deletes)
    members = attrs.evolve(message.members, puts=puts, deletes=deletes)
    return attrs.evolve(message, members=members)


@contextlib.contextmanager
def watched(owner: Any, method: Callable[..., Any], before: Callable[..., None]) -> Iterator[None]:
    """Call `before` with the arguments of every call of a method of the class `owner`."""

    def call(*arguments: Any, **named: Any) -> Any:
        before(*arguments, **named)
        return method(*arguments, **named)

    with mock.patch.object(owner, method.__name__, call):
        yield


def approved(section: str) -> dict[str, str]:
    """Return the approved digests of a section by run."""
    digests: dict[str, str] = orjson.loads(APPROVED.read_bytes())[section]
    return digests


def differing(
    section: str, runs: dict[str, Callable[[], str]], names: list[str] | None = None
) -> list[str]:
    """Return the runs whose digest is not the approved one, all of them or those named."""
    expected = approved(section)
    chosen = list(runs) if names is None else names
    return [name for name in chosen if runs[name]() != expected.get(name)]
