"""Codec of the server directory's rows: one JSON object per server, keyed by the server's id."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from zincvale.coordination.delivery.ephemeral_topics import LEADERLESS_PREFIX
from zincvale.model.control_tables import Directory, ServerHealth, ServerRow
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import AdapterName, Address, ModelName, PoolName, ServerId, ZoneName
from zincvale.model.resources import PoolKind

DIRECTORY_TOPIC = "directory"
"""Topic of the directory that the leader of the role `directory` publishes."""
LISTED_TOPIC = f"{LEADERLESS_PREFIX}servers"
"""Topic of the directory that follows a list maintained by an external system."""


def encode_server_row(row: ServerRow) -> bytes:
    """Return the content of a server's row; equal rows are equal bytes."""
    fields: dict[str, Any] = {
        "address": row.address,
        "pool": row.pool,
        "zone": row.zone,
        "kind": row.kind.value,
        "health": row.health.value,
        "incarnation": row.incarnation,
        "memory_bytes": row.memory_bytes,
        "used_bytes": row.used_bytes,
        "models": sorted(row.models),
        "adapters": sorted(row.adapters),
        "loading": sorted(row.loading),
        "running": row.running,
        "max_running": row.max_running,
        "closing": sorted(row.closing),
    }
    if row.draining:
        fields["draining"] = True
    if row.cold_remaining_s:
        fields["cold_remaining_s"] = row.cold_remaining_s
    return orjson.dumps(fields)


def decode_server_row(server: str, content: bytes) -> ServerRow:
    """Return the row of `server`; raises `InvalidInputError`."""
    try:
        return _server_row(ServerId(server), orjson.loads(content))
    except (KeyError, TypeError, ValueError) as error:
        raise InvalidInputError(
            f"directory row of server {server} cannot be read: {error}",
            "run the same release on every machine",
        ) from error


def _server_row(server: ServerId, fields: Mapping[str, Any]) -> ServerRow:
    return ServerRow(
        server=server,
        address=Address(fields["address"]),
        pool=PoolName(fields["pool"]),
        zone=ZoneName(fields["zone"]),
        kind=PoolKind(fields["kind"]),
        health=ServerHealth(fields["health"]),
        incarnation=fields["incarnation"],
        memory_bytes=fields["memory_bytes"],
        used_bytes=fields["used_bytes"],
        models=frozenset(ModelName(name) for name in fields["models"]),
        adapters=frozenset(AdapterName(name) for name in fields["adapters"]),
        loading=frozenset(fields["loading"]),
        running=fields["running"],
        max_running=fields["max_running"],
        closing=frozenset(fields["closing"]),
        draining=fields.get("draining", False),
        cold_remaining_s=fields.get("cold_remaining_s", 0.0),
    )


class DirectoryDecoder:
    """Maintains the typed directory of a changing set of rows; decodes only rows that changed."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._directory = Directory()

    @property
    def directory(self) -> Directory:
        """The directory as of the last successful update."""
        return self._directory

    def update(self, epoch: int, version: int, rows: Mapping[str, bytes]) -> Directory:
        """Return the directory of `rows`; raises for an unreadable row and keeps the last one."""
        servers: dict[ServerId, ServerRow] = {}
        for server, content in rows.items():
            known = self._directory.servers.get(ServerId(server))
            if known is None or self._rows.get(server) != content:
                known = decode_server_row(server, content)
            servers[known.server] = known
        self._rows = dict(rows)
        self._directory = Directory(epoch, version, servers)
        return self._directory
