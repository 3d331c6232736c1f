"""Changes of the key `replica-sets`, and the reducer that checks each of them.

The replicas of a group change one at a time: a replacement must be completed or rolled back before
the next one can begin.
"""

from __future__ import annotations

from typing import Any

import orjson
from returns.result import Failure, Result, Success

from zincvale.coordination.changes import ChangeRefused, RowChange, Rows
from zincvale.coordination.membership.messages import MemberInfo
from zincvale.coordination.replication.replica_config import ReplicaConfig
from zincvale.coordination.replication.replica_sets import (
    CORE_PREFIX,
    DEFAULT_GROUP,
    GROUP_PREFIX,
    KEY_PREFIX,
    CoreRow,
    KeyRow,
    ReplicaSets,
    decode_replica_sets,
    encode_core,
    encode_group,
    encode_key,
)
from zincvale.model.identifiers import MemberId

ReducerResult = Result[list[RowChange], ChangeRefused]


def join_change(info: MemberInfo, disk: str) -> bytes:
    """Return the change that declares a core, or declares its new disk or address."""
    return orjson.dumps({"op": "join", "core": encode_core(CoreRow(info, disk)).decode()})


def leave_change(member: str) -> bytes:
    """Return the change that removes a core; it is rejected while the core has replicas."""
    return orjson.dumps({"op": "leave", "core": member})


def replace_change(remove: str, add: str, group: str = DEFAULT_GROUP) -> bytes:
    """Return the change that begins to replace `remove` by `add`; one of them may be empty."""
    return orjson.dumps({"op": "replace", "group": group, "remove": remove, "add": add})


def close_change(*, forward: bool, group: str = DEFAULT_GROUP) -> bytes:
    """Return the change that completes a replacement if `forward` is set, else rolls it back."""
    return orjson.dumps({"op": "close", "group": group, "forward": forward})


def keys_change(keys: list[str]) -> bytes:
    """Return the change that declares keys in the default group."""
    return orjson.dumps({"op": "keys", "keys": keys})


def reduce_replica_sets(rows: Rows, change: bytes) -> ReducerResult:
    """Return the row changes that a change of the key `replica-sets` makes, or its rejection."""
    fields = orjson.loads(change)
    sets = decode_replica_sets(0, rows)
    match fields["op"]:
        case "join":
            row = CoreRow(**_core_fields(fields["core"]))
            return Success([RowChange(f"{CORE_PREFIX}{row.info.member}", encode_core(row))])
        case "leave":
            return _leave(sets, fields["core"])
        case "replace":
            return _replace(sets, fields)
        case "close":
            return _close(sets, fields)
        case "keys":
            return _declare_keys(sets, fields["keys"])
    return _rejected(f"unknown change {fields['op']!r}", "run the same release on every core")


def _core_fields(text: str) -> dict[str, Any]:
    fields = orjson.loads(text)
    return {"info": MemberInfo(**fields["info"]), "disk": fields["disk"]}


def _leave(sets: ReplicaSets, member: str) -> ReducerResult:
    has_replicas = any(MemberId(member) in group.members() for group in sets.groups.values())
    if has_replicas:
        return _rejected(f"core {member} has replicas", "replace its replicas first")
    return Success([RowChange(f"{CORE_PREFIX}{member}", None)])


def _replace(sets: ReplicaSets, fields: dict[str, Any]) -> ReducerResult:
    group = sets.groups.get(fields["group"])
    if group is None:
        return _rejected(f"there is no group {fields['group']!r}", "name a group that exists")
    if group.previous:
        return _rejected("a change of replicas is in progress", "wait until it has ended")
    remove, add = fields["remove"], fields["add"]
    if remove and remove not in group.replicas:
        return _rejected(
            f"{remove} is not a replica", f"the replicas are {', '.join(group.replicas)}"
        )
    if add and (add in group.replicas or add not in _known_replicas(sets)):
        return _rejected(
            f"{add} is not a known core without a vote", "start it and wait until it has joined"
        )
    replicas = [replica for replica in group.replicas if replica != remove] + ([add] if add else [])
    if not replicas:
        return _rejected("the last replica cannot be removed", "add another one first")
    return Success([_group_row(fields["group"], ReplicaConfig(replicas, group.replicas))])


def _close(sets: ReplicaSets, fields: dict[str, Any]) -> ReducerResult:
    group = sets.groups.get(fields["group"], ReplicaConfig())
    if not group.previous:
        return _rejected("no change of replicas is in progress", "nothing needs to be done")
    replicas = group.replicas if fields["forward"] else group.previous
    return Success([_group_row(fields["group"], ReplicaConfig(replicas))])


def _declare_keys(sets: ReplicaSets, keys: list[str]) -> ReducerResult:
    group = sets.groups.get(DEFAULT_GROUP, ReplicaConfig())
    if group.previous:
        return _rejected("a change of replicas is in progress", "wait until it has ended")
    row = encode_key(KeyRow(DEFAULT_GROUP, group))
    new_keys = [key for key in keys if key not in sets.keys]
    return Success([RowChange(f"{KEY_PREFIX}{key}", row) for key in new_keys])


def _known_replicas(sets: ReplicaSets) -> list[str]:
    return [row.replica() for row in sets.cores.values()]


def _group_row(name: str, group: ReplicaConfig) -> RowChange:
    return RowChange(f"{GROUP_PREFIX}{name}", encode_group(group))


def _rejected(problem: str, remedy: str) -> ReducerResult:
    return Failure(ChangeRefused(problem, remedy))
