"""Choice of what leaves a server to make room: the least worth a byte.

An item's only replica is not chosen while requests run on it, unless requests have waited for
long: then it may drain, and is unloaded when they have ended. Of several replicas one in use may be
chosen, since the others stand in for it.

Whether what leaves is worth less than the load is decided after that, by
`load_candidates.is_worth_loading`. The costs here are by `replica_value.replica_value`; the
function `replica_value.eviction_cost` is another measure, used there for loads that requests wait
for.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow, is_adapter_key
from zincvale.controlplane.placement.replica_value import replica_value
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState


@attrs.frozen
class VictimGroup:
    """What leaves together: an adapter alone, or a model with its adapters.

    Attributes
    ----------
    keys : adapters first, their model last.
    cost : the greatest `replica_value.replica_value` among the items; more where one is in use.
    """

    keys: tuple[ItemKey, ...]
    item_bytes: int
    cost: float


@attrs.frozen
class Eviction:
    """The cheapest way found to free enough memory; its cost is the sum over the groups."""

    keys: tuple[ItemKey, ...]
    cost: float


NO_EVICTION = Eviction((), 0.0)
"""Nothing has to leave."""
DRAIN_COST_FACTOR = 3.0
"""A replica in use costs this much more; less interrupts models that are in use for idle ones."""


@attrs.frozen
class Space:
    """Room that a load asks for.

    Attributes
    ----------
    needed_bytes : the item's size and what should fit beside it.
    may_drain : replicas on which requests run may be chosen too.
    """

    item: ItemRow
    needed_bytes: int
    may_drain: bool = False

    def fits(self, placement: PlacementState, server: ServerState) -> bool:
        """Whether the server has the room already."""
        return self.missing_bytes(placement, server) <= 0 and not self.missing_adapter_slots(server)

    def missing_bytes(self, placement: PlacementState, server: ServerState) -> int:
        """Return what must leave the server, 0 or less when nothing must."""
        free = server.free_planned_bytes(placement.config, self.item.kv_bytes)
        return self.needed_bytes - free

    def missing_adapter_slots(self, server: ServerState) -> int:
        """Return how many adapters must leave the server, 0 when none must."""
        return server.missing_adapter_slots() if self.item.kind is ItemKind.ADAPTER else 0


def find_eviction(
    placement: PlacementState, server: ServerState, space: Space, now: float
) -> Eviction | None:
    """Return what must leave `server` to make the space, or None when it cannot be made."""
    shortage = _Shortage(
        space.missing_bytes(placement, server), space.missing_adapter_slots(server)
    )
    if shortage.is_met(server, []):
        return NO_EVICTION
    groups = _groups(placement, server, space, now)
    if shortage.missing_bytes <= 0:
        groups = [
            group for group in groups if len(group.keys) == 1 and is_adapter_key(group.keys[0])
        ]
    groups.sort(key=lambda group: group.cost / max(group.item_bytes, 1))
    chosen: list[VictimGroup] = []
    for group in groups:
        chosen.append(group)
        if shortage.is_met(server, chosen):
            return _without_needless(server, chosen, shortage)
    return None


@attrs.frozen
class _Shortage:
    """What must become free on a server."""

    missing_bytes: int
    missing_adapter_slots: int

    def is_met(self, server: ServerState, groups: list[VictimGroup]) -> bool:
        """Whether it is free once the groups have left; an adapter may be in two of them."""
        keys = {key for group in groups for key in group.keys}
        freed_bytes = sum(server.replicas[key].item_bytes for key in keys)
        freed_slots = sum(1 for key in keys if is_adapter_key(key))
        return freed_bytes >= self.missing_bytes and freed_slots >= self.missing_adapter_slots


def _without_needless(
    server: ServerState, chosen: list[VictimGroup], shortage: _Shortage
) -> Eviction:
    """Keep the most costly groups that the others make needless."""
    needed = chosen
    for group in sorted(chosen, key=lambda group: -group.cost):
        others = [other for other in needed if other is not group]
        if shortage.is_met(server, others):
            needed = others
    # A model comes after its adapters, so that they are unloaded first.
    needed = sorted(needed, key=lambda group: len(group.keys))
    keys = tuple(dict.fromkeys(key for group in needed for key in group.keys))
    return Eviction(keys, sum(group.cost for group in needed))


def _groups(
    placement: PlacementState, server: ServerState, space: Space, now: float
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
            groups.append(_group(placement, server, keys, now, may_drain=space.may_drain))
    for adapters in adapters_by_model.values():
        groups.extend(
            _group(placement, server, (key,), now, may_drain=space.may_drain) for key in adapters
        )
    return [group for group in groups if group is not None]


def _group(
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
        if not _may_leave(placement, item, replica, now):
            return None
        item_cost = replica_value(placement, item, now)
        if _is_used_here_only(placement, server, item):
            if not may_drain:
                return None
            item_cost *= DRAIN_COST_FACTOR
        cost = max(cost, item_cost)
        item_bytes += replica.item_bytes
    return VictimGroup(keys, item_bytes, cost)


def _may_leave(placement: PlacementState, item: ItemRow, replica: Replica, now: float) -> bool:
    """Whether a replica is neither pinned, nor moving, nor just loaded, nor waited for."""
    if replica.state is not ReplicaState.LOADED or replica.draining or replica.move is not None:
        return False
    if now - replica.since < placement.config.min_residency_s:
        return False
    others = item.ready - 1
    return others >= item.min_replicas and (others >= 1 or item.waiting == 0)


def _is_used_here_only(placement: PlacementState, server: ServerState, item: ItemRow) -> bool:
    return item.ready <= 1 and placement.running_on(server, item.key) > 0
