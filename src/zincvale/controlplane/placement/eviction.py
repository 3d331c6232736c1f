"""Chooses the replicas to evict from a server to make room: those with the least value per byte.

An item's only replica is not chosen while requests run on it, unless the load's own requests have
waited for long. It then drains and is unloaded when its requests have ended. If an item has several
replicas, one in use may be chosen, since the others can serve its requests.

Whether the load is worth the eviction is decided afterwards by `load_candidates.is_worth_loading`.
Costs here are based on `replica_value.replica_value`. For loads that requests wait for,
`is_worth_loading` uses another measure, `replica_value.eviction_cost`.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow, is_adapter_key
from zincvale.controlplane.placement.replica_value import replica_value
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState


@attrs.frozen
class VictimGroup:
    """Replicas that are evicted together: an adapter alone, or a model with its adapters.

    Attributes
    ----------
    keys : adapters first, their model last.
    cost : the greatest `replica_value.replica_value` among the items, where that of an only replica
        in use counts `DRAIN_COST_FACTOR` times.
    """

    keys: tuple[ItemKey, ...]
    item_bytes: int
    cost: float


@attrs.frozen
class Eviction:
    """The replicas to evict from a server, and the sum of their groups' costs."""

    keys: tuple[ItemKey, ...]
    cost: float


NO_EVICTION = Eviction((), 0.0)
"""The load fits without an eviction."""
DRAIN_COST_FACTOR = 3.0
"""Factor on the cost of an only replica in use.

With a lower factor, replicas in use are drained although idle ones could be evicted."""


@attrs.frozen
class RequiredSpace:
    """The room that a load needs on a server.

    Attributes
    ----------
    needed_bytes : the size of the item and of the adapters that should fit beside it.
    may_drain : an only replica on which requests run may be evicted too.
    """

    item: ItemRow
    needed_bytes: int
    may_drain: bool = False

    def fits(self, placement: PlacementState, server: ServerState) -> bool:
        """Whether the server has the room without an eviction."""
        return self.missing_bytes(placement, server) <= 0 and not self.missing_adapter_slots(server)

    def missing_bytes(self, placement: PlacementState, server: ServerState) -> int:
        """Return the bytes to free on the server, 0 or less if there is enough room."""
        free = server.free_planned_bytes(placement.config, self.item.kv_bytes)
        return self.needed_bytes - free

    def missing_adapter_slots(self, server: ServerState) -> int:
        """Return how many adapters must be evicted from the server, 0 if there is a free slot."""
        return server.missing_adapter_slots() if self.item.kind is ItemKind.ADAPTER else 0


def find_eviction(
    placement: PlacementState, server: ServerState, space: RequiredSpace, now: float
) -> Eviction | None:
    """Return a cheap eviction that makes the required room on `server`, or None if none does."""
    deficit = _Deficit(space.missing_bytes(placement, server), space.missing_adapter_slots(server))
    if deficit.is_met(server, []):
        return NO_EVICTION
    groups = _victim_groups(placement, server, space, now)
    if deficit.missing_bytes <= 0:
        groups = [
            group for group in groups if len(group.keys) == 1 and is_adapter_key(group.keys[0])
        ]
    groups.sort(key=lambda group: group.cost / max(group.item_bytes, 1))
    chosen: list[VictimGroup] = []
    for group in groups:
        chosen.append(group)
        if deficit.is_met(server, chosen):
            return _without_redundant_groups(server, chosen, deficit)
    return None


@attrs.frozen
class _Deficit:
    """The memory and adapter slots that must be freed on a server."""

    missing_bytes: int
    missing_adapter_slots: int

    def is_met(self, server: ServerState, groups: list[VictimGroup]) -> bool:
        """Whether evicting the groups frees enough; an adapter in two groups counts once."""
        keys = {key for group in groups for key in group.keys}
        freed_bytes = sum(server.replicas[key].item_bytes for key in keys)
        freed_slots = sum(1 for key in keys if is_adapter_key(key))
        return freed_bytes >= self.missing_bytes and freed_slots >= self.missing_adapter_slots


def _without_redundant_groups(
    server: ServerState, chosen: list[VictimGroup], deficit: _Deficit
) -> Eviction:
    """Drop the groups that are not needed to meet the deficit, the most expensive first."""
    needed = chosen
    for group in sorted(chosen, key=lambda group: -group.cost):
        others = [other for other in needed if other is not group]
        if deficit.is_met(server, others):
            needed = others
    # Adapters come first, so that they are unloaded before their model.
    needed = sorted(needed, key=lambda group: len(group.keys))
    keys = tuple(dict.fromkeys(key for group in needed for key in group.keys))
    return Eviction(keys, sum(group.cost for group in needed))


def _victim_groups(
    placement: PlacementState, server: ServerState, space: RequiredSpace, now: float
) -> list[VictimGroup]:
    adapters_by_model: dict[ItemKey, list[ItemKey]] = {}
    models: list[ItemKey] = []
    for key in server.replicas:
        item = placement.items.get(key)
        if item is None:
            continue
        if item.base is None:
            models.append(key)
        else:
            adapters_by_model.setdefault(item.base, []).append(key)
    groups = []
    for model in models:
        if model != space.item.base:
            keys = (*adapters_by_model.get(model, ()), model)
            groups.append(_victim_group(placement, server, keys, now, may_drain=space.may_drain))
    for adapters in adapters_by_model.values():
        groups.extend(
            _victim_group(placement, server, (key,), now, may_drain=space.may_drain)
            for key in adapters
        )
    return [group for group in groups if group is not None]


def _victim_group(
    placement: PlacementState,
    server: ServerState,
    keys: tuple[ItemKey, ...],
    now: float,
    *,
    may_drain: bool,
) -> VictimGroup | None:
    cost = 0.0
    item_bytes = 0
    for key in keys:
        item = placement.items[key]
        replica = server.replicas[key]
        if not _is_evictable(placement, item, replica, now):
            return None
        item_cost = replica_value(placement, item, now)
        if _is_only_replica_in_use(placement, server, item):
            if not may_drain:
                return None
            item_cost *= DRAIN_COST_FACTOR
        cost = max(cost, item_cost)
        item_bytes += replica.item_bytes
    return VictimGroup(keys, item_bytes, cost)


def _is_evictable(placement: PlacementState, item: ItemRow, replica: Replica, now: float) -> bool:
    """Whether a replica may be evicted.

    It may not be while it is loading or unloading, within the minimum residency time, if the item
    would have less than its minimum replicas, or if requests wait for the item's only replica.
    """
    if replica.state is not ReplicaState.LOADED or replica.draining or replica.move_id is not None:
        return False
    if now - replica.since < placement.config.min_residency_s:
        return False
    others = item.ready - 1
    return others >= item.min_replicas and (others >= 1 or item.waiting == 0)


def _is_only_replica_in_use(placement: PlacementState, server: ServerState, item: ItemRow) -> bool:
    return item.ready <= 1 and placement.running_on(server, item.key) > 0
