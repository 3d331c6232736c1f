"""What is observed at one moment, indexed for the status of resources."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.controlplane.api.core_view import CoreView
from zincvale.controlplane.status.drain_progress import DrainProgress
from zincvale.model.identifiers import MemberId, PoolName, ServerId
from zincvale.model.resources import ServerSpec, ZoneSpec
from zincvale.model.view import Directory, Intent, ServerHealth, ServerRow

_DEFAULT_SERVER = ServerSpec()
_DEFAULT_ZONE = ZoneSpec()


@attrs.frozen
class ClusterSnapshot:
    """Intent and observations of one core at one moment.

    Attributes
    ----------
    lagging : nodes with a live lease that hold an older intent.
    rows_by_pool : observed servers by pool.
    drains : how far the servers out of service are.
    """

    intent: Intent
    directory: Directory
    lagging: tuple[MemberId, ...]
    node_count: int
    rows_by_pool: dict[PoolName, list[ServerRow]]
    drains: DrainProgress
    now: float

    def drain_done(self, server: ServerId) -> bool:
        """Whether a server out of service gets nothing and runs nothing any more."""
        return self.drains.done(server, self.now)

    def out_of_service(self, row: ServerRow) -> bool:
        """Whether the intent keeps new requests away from a server."""
        return self.drained(row.server) or self.evacuated(row)

    def drained(self, server: ServerId) -> bool:
        """Whether the server is declared drained."""
        return self.intent.servers.get(server, _DEFAULT_SERVER).drained

    def evacuated(self, row: ServerRow) -> bool:
        """Whether the server's zone is declared evacuated."""
        return self.intent.zones.get(row.zone, _DEFAULT_ZONE).evacuated

    def in_service(self, pool: PoolName) -> list[ServerRow]:
        """Return the pool's servers that can take a request now."""
        rows = self.rows_by_pool.get(pool, [])
        return [
            row for row in rows if row.health is ServerHealth.READY and not self.out_of_service(row)
        ]

    def largest_memory_bytes(self, pool: PoolName) -> int:
        """Return the largest memory of the pool's servers; 0 when none was observed."""
        rows = self.rows_by_pool.get(pool, [])
        return max((row.memory_bytes for row in rows), default=0)


def lagging_nodes(view: CoreView, intent: Intent) -> list[MemberId]:
    """Return the nodes with a live lease that hold an older intent."""
    applied = view.applied_versions()
    return [member for member, version in applied.items() if version < intent.version]


def observe(view: CoreView, drains: DrainProgress, now: float) -> ClusterSnapshot:
    """Return the indexed observations of a core."""
    intent = view.intent()
    directory = view.directory()
    return ClusterSnapshot(
        intent=intent,
        directory=directory,
        lagging=tuple(sorted(lagging_nodes(view, intent))),
        node_count=len(view.applied_versions()),
        rows_by_pool=_by_pool(directory.servers.values()),
        drains=drains,
        now=now,
    )


def _by_pool(rows: Iterable[ServerRow]) -> dict[PoolName, list[ServerRow]]:
    by_pool: dict[PoolName, list[ServerRow]] = {}
    for row in rows:
        by_pool.setdefault(row.pool, []).append(row)
    return by_pool
