"""Intent and observations of one moment, indexed for the status of resources."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.controlplane.core_view import CoreView
from zincvale.controlplane.status.drain_progress import DrainProgress
from zincvale.model.control_tables import Directory, Intent, ServerHealth, ServerRow
from zincvale.model.identifiers import MemberId, PoolName, ServerId
from zincvale.model.resources import ServerSpec, ZoneSpec

_DEFAULT_SERVER = ServerSpec()
_DEFAULT_ZONE = ZoneSpec()


@attrs.frozen
class ClusterSnapshot:
    """Intent and observations of one core at one moment.

    Attributes
    ----------
    lagging : nodes with a live lease that applied only an older intent.
    node_count : number of nodes with a live lease that reported a version.
    servers_by_pool : observed servers by pool.
    drains : progress of the drains of servers out of service.
    """

    intent: Intent
    directory: Directory
    lagging: tuple[MemberId, ...]
    node_count: int
    servers_by_pool: dict[PoolName, list[ServerRow]]
    drains: DrainProgress
    now: float

    def is_drain_done(self, server: ServerId) -> bool:
        """Whether the server is out of service and its drain is complete."""
        return self.drains.is_done(server, self.now)

    def is_out_of_service(self, row: ServerRow) -> bool:
        """Whether the intent excludes the server from new requests."""
        return self.is_drained(row.server) or self.is_evacuated(row)

    def is_drained(self, server: ServerId) -> bool:
        """Whether the server is declared drained."""
        return self.intent.servers.get(server, _DEFAULT_SERVER).drained

    def is_evacuated(self, row: ServerRow) -> bool:
        """Whether the server's zone is declared evacuated."""
        return self.intent.zones.get(row.zone, _DEFAULT_ZONE).evacuated

    def ready_servers(self, pool: PoolName) -> list[ServerRow]:
        """Return the pool's servers that are ready and in service."""
        rows = self.servers_by_pool.get(pool, [])
        return [
            row
            for row in rows
            if row.health is ServerHealth.READY and not self.is_out_of_service(row)
        ]

    def largest_memory_bytes(self, pool: PoolName) -> int:
        """Return the largest memory size of the pool's servers; 0 if none was observed."""
        rows = self.servers_by_pool.get(pool, [])
        return max((row.memory_bytes for row in rows), default=0)


def lagging_nodes(view: CoreView, intent: Intent) -> list[MemberId]:
    """Return the nodes with a live lease that applied only an older intent."""
    applied = view.applied_versions()
    return [member for member, version in applied.items() if version < intent.version]


def take_snapshot(view: CoreView, drains: DrainProgress, now: float) -> ClusterSnapshot:
    """Return the intent and observations that a core has now."""
    intent = view.intent()
    directory = view.directory()
    return ClusterSnapshot(
        intent=intent,
        directory=directory,
        lagging=tuple(sorted(lagging_nodes(view, intent))),
        node_count=len(view.applied_versions()),
        servers_by_pool=_group_by_pool(directory.servers.values()),
        drains=drains,
        now=now,
    )


def _group_by_pool(rows: Iterable[ServerRow]) -> dict[PoolName, list[ServerRow]]:
    by_pool: dict[PoolName, list[ServerRow]] = {}
    for row in rows:
        by_pool.setdefault(row.pool, []).append(row)
    return by_pool
