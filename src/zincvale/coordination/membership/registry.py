"""The key `registry`: the nodes whose majorities confirm versions and give partition evidence.

A change of the registry passes through a joint state, which needs a majority of the old and of the
new set. In it, a node is `joining` (in the new set only), `member` (in both) or `leaving` (in the
old set only). The change is closed once it is rolled out to both sets. Any two majorities in use at
the same time therefore share a node (joint consensus, as in the Raft thesis, section 4.3).

Legal transitions of a node's row: absent -> JOINING -> MEMBER -> LEAVING -> absent, and
MEMBER -> MEMBER with a new address or zone. Only one change may be open at a time.
"""

from __future__ import annotations

import attrs
import orjson
from returns.result import Failure, Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.coordination.membership.messages import MemberInfo

JOINING = "joining"
"""State of a node that is in the new set only, while the change that adds it is open."""
MEMBER = "member"
"""State of a node that is in every set."""
LEAVING = "leaving"
"""State of a node that is in the old set only, while the change that removes it is open."""


@attrs.frozen
class RegistryRow:
    """One registered node; `state` is JOINING, MEMBER or LEAVING."""

    state: str
    peer_address: str
    zone: str


def encode_row(row: RegistryRow) -> bytes:
    """Return a node's row as bytes."""
    return orjson.dumps([row.state, row.peer_address, row.zone])


def decode_row(value: bytes) -> RegistryRow:
    """Return the row that `value` encodes."""
    return RegistryRow(*orjson.loads(value))


def quorum_sets(rows: Rows) -> list[list[str]]:
    """Return the sets of nodes that each need a majority: the old and the new, or one if equal."""
    states = {node: decode_row(value).state for node, value in rows.items()}
    old = [node for node, state in states.items() if state != JOINING]
    new = [node for node, state in states.items() if state != LEAVING]
    return [old] if old == new else [old, new]


def is_change_open(rows: Rows) -> bool:
    """Whether a change of the registry is open."""
    return any(decode_row(value).state != MEMBER for value in rows.values())


def open_change(add: list[MemberInfo], remove: list[str]) -> bytes:
    """Return the encoded change that adds and removes nodes, and opens the joint state."""
    nodes = {info.member: [info.peer_address, info.zone] for info in add}
    return orjson.dumps({"add": nodes, "remove": remove})


def close_change() -> bytes:
    """Return the encoded change that ends the joint state."""
    return orjson.dumps({"close": True})


def reduce_registry(rows: Rows, change: bytes) -> Result[list[RowChange], ChangeRefused]:
    """Reducer of the key `registry`; it refuses to open a change while another one is open."""
    fields = orjson.loads(change)
    if fields.get("close"):
        return Success(_closing_changes(rows))
    if is_change_open(rows):
        return Failure(ChangeRefused("a change of the registry is under way", "wait for its end"))
    changes = [
        RowChange(node, encode_row(RegistryRow(JOINING, address, zone)))
        for node, (address, zone) in fields["add"].items()
        if node not in rows
    ]
    # A registered node gets its new address or zone at once, because the sets stay the same.
    changes += [
        RowChange(node, encode_row(RegistryRow(MEMBER, address, zone)))
        for node, (address, zone) in fields["add"].items()
        if node in rows
    ]
    changes += [
        RowChange(node, _with_state(rows[node], LEAVING))
        for node in fields["remove"]
        if node in rows
    ]
    return Success(changes)


def _closing_changes(rows: Rows) -> list[RowChange]:
    """Return the row changes that close the open change."""
    changes = []
    for node, value in rows.items():
        state = decode_row(value).state
        if state == JOINING:
            changes.append(RowChange(node, _with_state(value, MEMBER)))
        elif state == LEAVING:
            changes.append(RowChange(node, None))
    return changes


def _with_state(value: bytes, state: str) -> bytes:
    return encode_row(attrs.evolve(decode_row(value), state=state))
