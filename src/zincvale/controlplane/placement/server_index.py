"""Servers in the directory by pool, zone and address."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.servers import ServerState
from zincvale.model.identifiers import Address, PoolName, ServerId, ZoneName


@attrs.define(eq=False)
class ServerIndex:
    """Indexes of the table of servers, changed by `apply_status` only.

    Dicts with None as values are used as sets, in the order in which servers were added.
    """

    by_address: dict[Address, ServerId] = attrs.field(factory=dict)
    by_pool: dict[PoolName, dict[ServerId, None]] = attrs.field(factory=dict)
    by_zone: dict[ZoneName, dict[ServerId, None]] = attrs.field(factory=dict)

    def add_to_pool_and_zone(self, server: ServerState) -> None:
        """Append a server to its pool and its zone."""
        self.by_pool.setdefault(server.pool, {})[server.server] = None
        self.by_zone.setdefault(server.zone, {})[server.server] = None

    def remove_from_pool_and_zone(self, server: ServerState) -> None:
        """Remove a server from its pool and its zone."""
        self.by_pool[server.pool].pop(server.server, None)
        self.by_zone[server.zone].pop(server.server, None)

    def remove_address(self, server: ServerState) -> None:
        """Remove a server's address, unless another server has the address now."""
        if self.by_address.get(server.address) == server.server:
            del self.by_address[server.address]
