"""Digests of the decisions of a simulated run, and the file of approved digests.

A digest does not depend on identifiers: an object is hashed as the values of its fields in order, a
message as its wire name and Avro body. Dicts and lists are hashed in iteration order; sets are
sorted, since they have no order.
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
"""The JSON encoder does not accept integers from this size on."""
_ORDERED = (list, tuple, array)
_SETS = (set, frozenset)


class DecisionLog:
    """Hashes the entries of a run in their order.

    Attributes
    ----------
    entries : number of entries so far; part of the digest, to show that it is not empty.
    """

    def __init__(self) -> None:
        self.entries = 0
        self._hash = hashlib.sha256()
        self._failure: Exception | None = None

    def add(self, kind: str, *values: Any) -> None:
        """Add one entry; `kind` is chosen by the test and never an identifier from the code."""
        self.entries += 1
        try:
            entry = orjson.dumps([kind, canonical(values)])
        except Exception as error:
            # Kept for `digest`, since the simulators' event loops suppress exceptions.
            self._failure = error
            raise
        self._hash.update(entry + b"\n")

    def effect(self, value: Any, *where: Any) -> None:
        """Add an effect of a state machine; `where` tells the place and time of its execution."""
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
        """Return the number and hash of the entries; raises if one had no canonical form."""
        if self._failure is not None:
            raise self._failure
        return f"{self.entries} {self._hash.hexdigest()[:32]}"


def canonical(value: Any) -> Any:
    """Return a value as lists, strings and numbers that do not depend on identifiers."""
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
    """Return a `PollResponse` with its member rows sorted, and any other message unchanged.

    A core collects its changed members in a set of strings, so that the order of these rows in the
    table and in the message depends on the interpreter's hash seed.
    """
    if not isinstance(message, PollResponse) or message.members is None:
        return message
    puts = dict(sorted(message.members.puts.items()))
    deletes = sorted(message.members.deletes)
    members = attrs.evolve(message.members, puts=puts, deletes=deletes)
    return attrs.evolve(message, members=members)


@contextlib.contextmanager
def calls_observed(
    owner: Any, method: Callable[..., Any], before: Callable[..., None]
) -> Iterator[None]:
    """Patch a method of the class `owner` so that `before` is called first with its arguments."""

    def call(*arguments: Any, **named: Any) -> Any:
        before(*arguments, **named)
        return method(*arguments, **named)

    with mock.patch.object(owner, method.__name__, call):
        yield


def approved_digests(section: str) -> dict[str, str]:
    """Return the approved digests of a section, by name of the run."""
    digests: dict[str, str] = orjson.loads(APPROVED.read_bytes())[section]
    return digests


def differing_runs(
    section: str, runs: dict[str, Callable[[], str]], names: list[str] | None = None
) -> list[str]:
    """Return the runs whose digest is not the approved one; `names` selects runs, else all."""
    expected = approved_digests(section)
    chosen = list(runs) if names is None else names
    return [name for name in chosen if runs[name]() != expected.get(name)]
