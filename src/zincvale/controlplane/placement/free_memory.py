"""Index of the servers of each pool by free memory."""

from __future__ import annotations

import attrs
from sortedcontainers import SortedSet

from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.servers import ServerState
from zincvale.model.identifiers import PoolName, ServerId


@attrs.define(eq=False)
class FreeMemoryIndex:
    """Sorted (free bytes, server) pairs of each pool, updated lazily when they are read.

    Code that changes a server's memory must mark the server as stale.
    `ServerState.indexed_free_bytes` is the value under which the server is indexed.
    """

    _by_pool: dict[PoolName, SortedSet] = attrs.field(factory=dict)
    _stale: dict[ServerId, None] = attrs.field(factory=dict)

    def mark_stale(self, server: ServerState) -> None:
        """Mark the server's entry to be recomputed before the index is next read."""
        self._stale[server.server] = None

    def of_pool(
        self, pool: PoolName, servers: dict[ServerId, ServerState], config: PlacementConfig
    ) -> SortedSet:
        """Return the (free bytes, server) pairs of the pool, least free memory first."""
        for server_id in self._stale:
            server = servers.get(server_id)
            if server is not None:
                self._update(server, config)
        self._stale.clear()
        return self._by_pool.setdefault(pool, SortedSet())

    def remove(self, server: ServerState) -> None:
        """Remove the server from the index of its pool."""
        index = self._by_pool.get(server.pool)
        if index is not None:
            index.discard((server.indexed_free_bytes, server.server))

    def _update(self, server: ServerState, config: PlacementConfig) -> None:
        index = self._by_pool.setdefault(server.pool, SortedSet())
        index.discard((server.indexed_free_bytes, server.server))
        server.indexed_free_bytes = server.free_planned_bytes(config, 0)
        index.add((server.indexed_free_bytes, server.server))
