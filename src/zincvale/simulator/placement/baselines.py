"""Baseline placement policies for comparison: static, least recently used, greedy.

They see the whole fleet without delay, unload without draining first, and keep every limit that
the real controller keeps: memory, loads per server and loads per store.
"""

from __future__ import annotations

import attrs

from zincvale.simulator.placement.fleet import EmulatedServer, Fleet, ItemSpec, OrderResult

GREEDY_INTERVAL_S = 60.0
"""Interval between two assignments; a shorter one replaces more items for the same demand."""
GREEDY_HALF_LIFE_S = 1800.0
"""Half-life of the request counts, equal to that of the real controller's slow average."""


def _store_has_slot(fleet: Fleet, item: ItemSpec) -> bool:
    return fleet.pull_count(item.store) < fleet.stores[item.store].max_concurrent_loads


def _may_take_load(server: EmulatedServer) -> bool:
    return server.is_serving and len(server.loading()) < server.spec.max_loads


def _servers_in_pool(fleet: Fleet, item: ItemSpec) -> list[EmulatedServer]:
    return [server for server in fleet.servers.values() if server.spec.pool == item.pool]


def _in_use(server: EmulatedServer, name: str) -> bool:
    return server.running_on(name) > 0 or not server.replicas[name].is_ready


def _has_base(server: EmulatedServer, item: ItemSpec) -> bool:
    """Whether an adapter's base model is ready on the server; true for a model."""
    if not item.base:
        return True
    return item.base in server.replicas and server.replicas[item.base].is_ready


def _item_with_adapters(fleet: Fleet, server: EmulatedServer, name: str) -> list[str]:
    """Return an item's adapters on the server and then the item, as they have to be unloaded."""
    adapters = [other for other in server.replicas if fleet.items[other].base == name]
    return [*adapters, name]


def _is_pinned(fleet: Fleet, name: str) -> bool:
    item = fleet.items[name]
    return len(fleet.holders(name)) <= item.min_replicas


def _evict_until_fits(
    fleet: Fleet, server: EmulatedServer, item: ItemSpec, order: list[str], protected: set[str]
) -> bool:
    """Unload idle items in `order` until `item` fits; unload nothing when it cannot fit."""
    missing_bytes = server.used_bytes + item.item_bytes - server.weight_bytes
    to_unload: list[str] = []
    for name in order:
        if missing_bytes <= 0:
            break
        if name in to_unload or name == item.base or name in protected or _is_pinned(fleet, name):
            continue
        group = [
            other for other in _item_with_adapters(fleet, server, name) if other not in to_unload
        ]
        if any(_in_use(server, other) for other in group):
            continue
        to_unload.extend(group)
        missing_bytes -= sum(server.replicas[other].item_bytes for other in group)
    if missing_bytes > 0:
        return False
    for name in to_unload:
        fleet.order_unload(server.spec.name, name)
    return True


def _order_load(fleet: Fleet, server: EmulatedServer, item: ItemSpec) -> bool:
    return fleet.order_load(server.spec.name, item.name) is OrderResult.ACCEPTED


def _fits(server: EmulatedServer, item: ItemSpec) -> bool:
    return server.used_bytes + item.item_bytes <= server.weight_bytes


@attrs.define(eq=False)
class LeastRecentlyUsed:
    """Loads the items that requests wait for and evicts those that were used least recently.

    An item gets a further replica when all its replicas are full. As with every policy it has at
    least `min_replicas`. `assigned` lists, by server, the items to evict only when no other items
    are left.
    """

    assigned: dict[str, list[str]] = attrs.field(factory=dict)

    def step(self, fleet: Fleet, now: float) -> None:
        """Load the items that queued requests need, longest wait first."""
        self._load_min_replicas(fleet)
        queues = sorted(fleet.waiting.items(), key=lambda entry: entry[1][0].arrival.at)
        for (model, adapter), _ in queues:
            if self._needs_replica(fleet, model):
                self._load(fleet, fleet.items[model])
            elif adapter and self._needs_replica(fleet, adapter):
                self._load(fleet, fleet.items[adapter])

    def _load_min_replicas(self, fleet: Fleet) -> None:
        for item in fleet.items.values():
            if item.min_replicas and len(fleet.holders(item.name)) < item.min_replicas:
                self._load(fleet, item)

    def _needs_replica(self, fleet: Fleet, name: str) -> bool:
        """Whether no replica is loading and all ready ones, if any, are full."""
        holders = fleet.holders(name)
        if any(not server.replicas[name].is_ready for server in holders):
            return False
        return all(server.running >= server.spec.max_running for server in holders)

    def _load(self, fleet: Fleet, item: ItemSpec) -> None:
        if not _store_has_slot(fleet, item):
            return
        servers = [server for server in self._candidates(fleet, item) if _may_take_load(server)]
        fitting = [server for server in servers if _fits(server, item)]
        if fitting:
            _order_load(fleet, max(fitting, key=_free_bytes), item)
            return
        for server in sorted(servers, key=_oldest_use):
            order = self._eviction_order(server)
            if _evict_until_fits(fleet, server, item, order, set()):
                _order_load(fleet, server, item)
                return

    def _eviction_order(self, server: EmulatedServer) -> list[str]:
        assigned = self.assigned.get(server.spec.name, [])
        return sorted(
            server.replicas, key=lambda name: (name in assigned, server.replicas[name].used_at)
        )

    def _candidates(self, fleet: Fleet, item: ItemSpec) -> list[EmulatedServer]:
        if not item.base:
            return [
                server
                for server in _servers_in_pool(fleet, item)
                if item.name not in server.replicas
            ]
        return [
            server
            for server in fleet.holders(item.base)
            if server.replicas[item.base].is_ready and item.name not in server.replicas
        ]


def _free_bytes(server: EmulatedServer) -> int:
    return server.weight_bytes - server.used_bytes


def _oldest_use(server: EmulatedServer) -> float:
    return min((replica.used_at for replica in server.replicas.values()), default=0.0)


@attrs.define(eq=False)
class Static:
    """Assigns items to servers once, by a popularity known beforehand.

    `popularity` lists item names, most requested first. A restarted server loads its items again.
    """

    popularity: list[str]
    _assigned: dict[str, list[str]] = attrs.field(factory=dict)

    def step(self, fleet: Fleet, now: float) -> None:
        """Load the assigned items that a server doesn't hold."""
        if not self._assigned:
            self._assign(fleet)
        for server_name, names in self._assigned.items():
            server = fleet.servers[server_name]
            for name in names:
                _load_assigned(fleet, server, name)

    def _assign(self, fleet: Fleet) -> None:
        self._assigned = {name: [] for name in fleet.servers}
        assign_by_rank(fleet, self.popularity, self._assigned)


def _load_assigned(fleet: Fleet, server: EmulatedServer, name: str) -> None:
    item = fleet.items[name]
    if name in server.replicas or not _may_take_load(server) or not _store_has_slot(fleet, item):
        return
    if not _has_base(server, item):
        return
    if _fits(server, item):
        _order_load(fleet, server, item)


def assign_by_rank(fleet: Fleet, ranked: list[str], assigned: dict[str, list[str]]) -> None:
    """Assign items by rank to the servers with most free memory, most `min_replicas` first."""
    free_bytes = {name: server.weight_bytes for name, server in fleet.servers.items()}
    models = [name for name in ranked if not fleet.items[name].base]
    for name in sorted(models, key=lambda name: -fleet.items[name].min_replicas):
        item = fleet.items[name]
        for _ in range(max(item.min_replicas, 1)):
            _assign_replica(fleet, item, free_bytes, assigned)
    for name in ranked:
        item = fleet.items[name]
        if item.base:
            _assign_adapter(item, free_bytes, assigned)


def _assign_replica(
    fleet: Fleet, item: ItemSpec, free_bytes: dict[str, int], assigned: dict[str, list[str]]
) -> None:
    names = [
        server.spec.name
        for server in _servers_in_pool(fleet, item)
        if server.is_serving
        and item.name not in assigned[server.spec.name]
        and free_bytes[server.spec.name] >= item.item_bytes
    ]
    if names:
        name = max(names, key=lambda name: free_bytes[name])
        assigned[name].append(item.name)
        free_bytes[name] -= item.item_bytes


def _assign_adapter(
    item: ItemSpec, free_bytes: dict[str, int], assigned: dict[str, list[str]]
) -> None:
    for name, items in assigned.items():
        if item.base in items and free_bytes[name] >= item.item_bytes:
            items.append(item.name)
            free_bytes[name] -= item.item_bytes
            return


@attrs.define(eq=False)
class Greedy:
    """Assigns items by their recent request rate per byte, anew every `GREEDY_INTERVAL_S`.

    It also loads on demand like `LeastRecentlyUsed`, evicting items that are not assigned first.
    """

    _on_demand: LeastRecentlyUsed = attrs.field(factory=LeastRecentlyUsed)
    _counts: dict[str, float] = attrs.field(factory=dict)
    _assigned: dict[str, list[str]] = attrs.field(factory=dict)
    _assign_at: float = GREEDY_INTERVAL_S

    def step(self, fleet: Fleet, now: float) -> None:
        """Count arrivals, assign when due, load assigned and then requested items."""
        self._count(fleet)
        if now >= self._assign_at:
            self._assign_at = now + GREEDY_INTERVAL_S
            self._assign(fleet)
        for server_name, names in self._assigned.items():
            self._load_assigned_items(fleet, fleet.servers[server_name], names)
        self._on_demand.step(fleet, now)

    def _count(self, fleet: Fleet) -> None:
        for (model, adapter), count in fleet.arrived.items():
            for name in filter(None, (model, adapter)):
                self._counts[name] = self._counts.get(name, 0.0) + count
        fleet.arrived.clear()

    def _assign(self, fleet: Fleet) -> None:
        decay = 0.5 ** (GREEDY_INTERVAL_S / GREEDY_HALF_LIFE_S)
        self._counts = {name: count * decay for name, count in self._counts.items()}
        ranked = sorted(
            fleet.items,
            key=lambda name: -self._counts.get(name, 0.0) / fleet.items[name].item_bytes,
        )
        ranked = [name for name in ranked if self._counts.get(name, 0.0) > 0.0]
        self._assigned = {name: [] for name in fleet.servers}
        self._on_demand.assigned = self._assigned
        self._assign_near_current_replicas(fleet, ranked)

    def _assign_near_current_replicas(self, fleet: Fleet, ranked: list[str]) -> None:
        """Assign by rank, preferring servers that already hold the item."""
        free_bytes = {name: server.weight_bytes for name, server in fleet.servers.items()}
        for name in ranked:
            item = fleet.items[name]
            holders = [server for server in fleet.holders(name) if free_bytes[server.spec.name] > 0]
            if item.base:
                _assign_adapter(item, free_bytes, self._assigned)
                continue
            fitting = [
                server for server in holders if free_bytes[server.spec.name] >= item.item_bytes
            ]
            if fitting:
                self._assigned[fitting[0].spec.name].append(name)
                free_bytes[fitting[0].spec.name] -= item.item_bytes
            else:
                _assign_replica(fleet, item, free_bytes, self._assigned)

    def _load_assigned_items(self, fleet: Fleet, server: EmulatedServer, names: list[str]) -> None:
        for name in names:
            item = fleet.items[name]
            if name in server.replicas or fleet.holders(name) or not _may_take_load(server):
                continue
            if fleet.waiting:
                return
            if not _store_has_slot(fleet, item):
                continue
            if not _has_base(server, item):
                continue
            if not _fits(server, item):
                order = [other for other in server.replicas if other not in names]
                if not _evict_until_fits(fleet, server, item, order, set(names)):
                    continue
            _order_load(fleet, server, item)
