"""Response bodies of the control API's reads, as JSON bytes."""

from __future__ import annotations

import difflib
from collections.abc import Collection, Mapping
from typing import Any

import orjson

from zincvale.controlplane.core_view import CoreView
from zincvale.controlplane.intent.row_codec import KIND_BY_TABLE, row_id
from zincvale.controlplane.placement.move_row_codec import (
    decode_move,
    move_to_json,
    moves_to_json,
)
from zincvale.controlplane.status.cluster_snapshot import ClusterSnapshot
from zincvale.controlplane.status.resource_status import conditions_of
from zincvale.coordination.changes import KeyView
from zincvale.model.control_tables import MemberRow, ServerRow
from zincvale.model.errors import InvalidInputError, NotFoundError
from zincvale.model.identifiers import MemberId, ServerId

DEFAULT_PAGE_ROWS = 1_000
"""Number of resources on a page when the client sets no limit."""
MAX_PAGE_ROWS = 10_000
"""Largest number of resources on a page.

Encoding a page blocks the core's event loop, which also sends heartbeats.
"""


class IntentBodyCache:
    """Caches the body of `GET /v1/intent`, which is large, for the newest version.

    All watches that one change completes share the same bytes.
    """

    def __init__(self) -> None:
        self._version = -1
        self._body = b""

    def body_of(self, rows: KeyView) -> bytes:
        """Return the body `{"version", "resources"}` with every resource in `rows`."""
        if rows.version != self._version:
            self._body = _intent_body(rows)
            self._version = rows.version
        return self._body


def _intent_body(rows: KeyView) -> bytes:
    resources = [_declared_resource(row, rows.rows[row]) for row in sorted(rows.rows)]
    return orjson.dumps({"version": rows.version, "resources": resources})


def _declared_resource(row: str, content: bytes) -> dict[str, Any]:
    kind, _, name = row.partition("/")
    return {"kind": kind, "name": name, "spec": orjson.Fragment(content)}


def resource_list(
    view: CoreView, snapshot: ClusterSnapshot, table: str, after: str, limit: int
) -> bytes:
    """Return one page of a kind's resources with spec and status, ordered by name.

    The body has `next` when more resources follow: it is the `after` of the next page.
    """
    kind = KIND_BY_TABLE[table]
    rows = view.intent_rows()
    names = sorted(name for name in _names_in_table(snapshot, table) if name > after)
    body: dict[str, Any] = {
        "version": rows.version,
        "resources": [_resource_to_json(kind, name, rows, snapshot) for name in names[:limit]],
    }
    if len(names) > limit:
        body["next"] = names[limit - 1]
    return orjson.dumps(body)


def resource_body(view: CoreView, snapshot: ClusterSnapshot, table: str, name: str) -> bytes:
    """Return one resource with spec, effective spec and status; raises `NotFoundError`."""
    kind = KIND_BY_TABLE[table]
    names = _names_in_table(snapshot, table)
    if name not in names:
        raise _resource_not_found(kind, name, names, table)
    body = _resource_to_json(kind, name, view.intent_rows(), snapshot)
    spec = getattr(snapshot.intent, table).get(name)
    if spec is not None:
        body["effective_spec"] = spec.to_dict()
    body["version"] = snapshot.intent.version
    return orjson.dumps(body)


def members_body(view: CoreView) -> bytes:
    """Return the members with live leases and the intent version that each node applied."""
    members = view.members()
    applied = view.applied_versions()
    rows = [_member_to_json(members.rows[name], applied.get(name)) for name in sorted(members.rows)]
    return orjson.dumps({"version": members.version, "members": rows})


def moves_body(view: CoreView) -> bytes:
    """Return all moves of the move calendar, unfinished moves first."""
    return orjson.dumps(moves_to_json(decode_move(row) for row in view.moves().values()))


def move_body(view: CoreView, name: str) -> bytes:
    """Return one move; raises `NotFoundError`."""
    content = view.moves().get(name)
    if content is None:
        raise NotFoundError(f"no move {name!r}", "see GET /v1/moves; finished moves are removed")
    return orjson.dumps(move_to_json(decode_move(content)))


def roles_body(view: CoreView) -> bytes:
    """Return the singleton roles, each with its leader and epoch."""
    rows = [{"role": row.role, "holder": row.holder, "epoch": row.epoch} for row in view.roles()]
    return orjson.dumps({"roles": sorted(rows, key=lambda row: str(row["role"]))})


def replicas_body(view: CoreView) -> bytes:
    """Return the replicas of the control state."""
    rows = [
        {
            "member": row.member,
            "zone": row.zone,
            "peer_address": row.peer_address,
            "live": row.live,
            "voting": row.voting,
            "disk": row.disk,
            "chosen_version": row.chosen_version,
        }
        for row in view.replicas()
    ]
    return orjson.dumps({"replicas": sorted(rows, key=lambda row: str(row["member"]))})


def read_page(after: str, limit: str) -> tuple[str, int]:
    """Return the checked query parameters of a list; raises `InvalidInputError`."""
    if not limit:
        return after, DEFAULT_PAGE_ROWS
    if not limit.isascii() or not limit.isdigit() or not 0 < int(limit) <= MAX_PAGE_ROWS:
        raise InvalidInputError(
            f"limit is {limit[:40]!r}, not a valid page size", f"write 1 to {MAX_PAGE_ROWS}"
        )
    return after, int(limit)


def _names_in_table(snapshot: ClusterSnapshot, table: str) -> Collection[str]:
    declared: Mapping[str, Any] = getattr(snapshot.intent, table)
    if table == "servers":
        return declared.keys() | snapshot.directory.servers.keys()
    return declared.keys()


def _resource_to_json(
    kind: str, name: str, rows: KeyView, snapshot: ClusterSnapshot
) -> dict[str, Any]:
    content = rows.rows.get(row_id(kind, name))
    status: dict[str, Any] = {
        "conditions": [
            condition.to_json()
            for condition in conditions_of(kind, name, snapshot, is_declared=content is not None)
        ]
    }
    server = snapshot.directory.servers.get(ServerId(name)) if kind == "Server" else None
    if server is not None:
        status["observed"] = _server_to_json(server)
    return {
        "kind": kind,
        "name": name,
        "spec": orjson.Fragment(content or b"{}"),
        "status": status,
    }


def _server_to_json(row: ServerRow) -> dict[str, Any]:
    """Return a server as the API shows it.

    The fields are listed here and not taken from `directory.row_codec`, which defines the stored
    form: a field that is added there must not appear in the API unintentionally.
    """
    return {
        "address": row.address,
        "pool": row.pool,
        "zone": row.zone,
        "kind": row.kind.value,
        "health": row.health.value,
        "incarnation": row.incarnation,
        "memory_bytes": row.memory_bytes,
        "used_bytes": row.used_bytes,
        "running": row.running,
        "max_running": row.max_running,
        "models": sorted(row.models),
        "adapters": sorted(row.adapters),
        "loading": sorted(row.loading),
        "closing": sorted(row.closing),
    }


def _member_to_json(row: MemberRow, applied_version: int | None) -> dict[str, Any]:
    return {
        "member": MemberId(row.member),
        "role": row.role.value,
        "zone": row.zone,
        "api_address": row.api_address,
        "peer_address": row.peer_address,
        "incarnation": row.incarnation,
        "ready": row.ready,
        "intent_version": applied_version,
    }


def _resource_not_found(kind: str, name: str, names: Collection[str], table: str) -> NotFoundError:
    problem = f"no {kind} {name!r}"
    nearest = difflib.get_close_matches(name, names, n=1)
    if nearest:
        return NotFoundError(problem, f"did you mean {nearest[0]!r}?")
    return NotFoundError(problem, f"see GET /v1/{table}")
