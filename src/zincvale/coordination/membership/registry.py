"""The key `registry`: the nodes of the cluster, by which islands and acknowledgements count.

A change of the registry passes through a state in which both the old and the new set count: a node
is `joining` (new set only), `member` (both) or `leaving` (old set only). It is closed once both
sets hold it, so that no two counts that are in use at a time can miss each other.
"""

from __future__ import annotations

import attrs
import orjson
from returns.result import Failure, Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.coordination.membership.messages import MemberInfo

JOINING = "joining"
MEMBER = "member"
LEAVING = "leaving"


@attrs.frozen
class RegistryRow:
    """One registered node."""

    state: str
    peer_address: str
    zone: str


def encode_row(row: RegistryRow) -> bytes:
    """Return a node's row as bytes."""
    return orjson.dumps([row.state, row.peer_address, row.zone])


def decode_row(value: bytes) -> RegistryRow:
    """Return the row in `value`."""
    return RegistryRow(*orjson.loads(value))


def counting_sets(rows: Rows) -> list[list[str]]:
    """Return the sets of nodes of which majorities are needed: the old and the new one."""
    states = {node: decode_row(value).state for node, value in rows.items()}
    old = [node for node, state in states.items() if state != JOINING]
    new = [node for node, state in states.items() if state != LEAVING]
    return [old] if old == new else [old, new]


def is_open(rows: Rows) -> bool:
    """Whether a change of the registry is under way."""
    return any(decode_row(value).state != MEMBER for value in rows.values())


def open_change(add: list[MemberInfo], remove: list[str]) -> bytes:
    """Return the change that opens a change: nodes to add and nodes to remove."""
    nodes = {info.member: [info.peer_address, info.zone] for info in add}
    return orjson.dumps({"add": nodes, "remove": remove})


def close_change() -> bytes:
    """Return the change that closes the open one."""
    return orjson.dumps({"close": True})


def reduce_registry(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Reducer of the key `registry`."""
    plain = orjson.loads(change)
    if plain.get("close"):
        return Success(_closed(rows))
    if is_open(rows):
        return Failure(ChangeRefused("a change of the registry is under way", "wait for its end"))
    changes = [
        RowChange(node, encode_row(RegistryRow(JOINING, address, zone)))
        for node, (address, zone) in plain["add"].items()
        if node not in rows
    ]
    changes += [
        RowChange(node, encode_row(RegistryRow(MEMBER, address, zone)))
        for node, (address, zone) in plain["add"].items()
        if node in rows
    ]
    changes += [
        RowChange(node, _in_state(rows[node], LEAVING)) for node in plain["remove"] if node in rows
    ]
    return Success(changes)


def _closed(rows: Rows) -> list[RowChange]:
    changes = []
    for node, value in rows.items():
        state = decode_row(value).state
        if state == JOINING:
            changes.append(RowChange(node, _in_state(value, MEMBER)))
        elif state == LEAVING:
            changes.append(RowChange(node, None))
    return changes


def _in_state(value: bytes, state: str) -> bytes:
    return encode_row(attrs.evolve(decode_row(value), state=state))
