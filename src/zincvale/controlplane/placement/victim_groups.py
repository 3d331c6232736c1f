"""The replicas that may be evicted from a server, in groups that are evicted together.

`EvictableReplicas` tells which only replicas of an item may be chosen. One in use drains and is
unloaded when its requests have ended. If an item has several replicas, one in use may be chosen,
since the others can serve its requests. A replica that no resource declares costs nothing, whether
its size is known or not.
"""

from __future__ import annotations

import enum

import attrs

from zincvale.controlplane.placement.fairness import is_kept_for_turn
from zincvale.controlplane.placement.items import ItemKey, ItemRow, is_adapter_key
from zincvale.controlplane.placement.replica_value import replica_value
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState

DRAIN_COST_FACTOR = 3.0
"""Factor on the cost of an only replica in use.

With a lower factor, replicas in use are drained although idle ones could be evicted."""


class EvictableReplicas(enum.Enum):
    """Which only replicas of an item may be evicted; each value includes those before it."""

    IDLE = "idle"
    """Those on which no requests run, and for whose item none wait."""
    IN_USE = "in-use"
    """Also those on which requests run."""
    REQUESTED = "requested"
    """Also those for whose item requests wait, for example for an adapter that lacks room."""


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


def victim_groups(
    placement: PlacementState,
    server: ServerState,
    needed_base: ItemKey | None,
    may_evict: EvictableReplicas,
    now: float,
) -> list[VictimGroup]:
    """Return the groups of replicas that may be evicted from a server.

    Parameters
    ----------
    needed_base : the base model of the item to load, which must stay; None if it has none.
    """
    declared = _declared_groups(placement, server, needed_base, may_evict, now)
    return [*_undeclared_groups(placement, server, now), *declared]


def _declared_groups(
    placement: PlacementState,
    server: ServerState,
    needed_base: ItemKey | None,
    may_evict: EvictableReplicas,
    now: float,
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
        if model != needed_base:
            keys = (*adapters_by_model.get(model, ()), model)
            groups.append(_victim_group(placement, server, keys, may_evict, now))
    for adapters in adapters_by_model.values():
        groups.extend(_victim_group(placement, server, (key,), may_evict, now) for key in adapters)
    return [group for group in groups if group is not None]


def _undeclared_groups(
    placement: PlacementState, server: ServerState, now: float
) -> list[VictimGroup]:
    """Return the groups of replicas that no resource declares, which no request can ask for.

    Nothing tells which model an undeclared adapter belongs to, so every model is evicted with all
    of them. Models of unknown size are evicted together: only then is it certain what is free.
    """
    undeclared = [key for key in server.replicas if key not in placement.items]
    evictable = [key for key in undeclared if _is_undeclared_evictable(placement, server, key, now)]
    adapters = tuple(key for key in evictable if is_adapter_key(key))
    groups: list[tuple[ItemKey, ...]] = [(adapter,) for adapter in adapters]
    if len(adapters) == sum(map(is_adapter_key, undeclared)):
        models = [key for key in evictable if not is_adapter_key(key)]
        unknown = tuple(key for key in models if not server.replicas[key].is_size_known)
        groups += [(*adapters, model) for model in models if model not in unknown]
        groups += [(*adapters, *unknown)] if unknown else []
    return [VictimGroup(keys, server.freed_bytes(keys), cost=0.0) for keys in groups]


def _is_undeclared_evictable(
    placement: PlacementState, server: ServerState, key: ItemKey, now: float
) -> bool:
    replica = server.replicas[key]
    if replica.state is not ReplicaState.LOADED or replica.move_id is not None:
        return False
    found_at = placement.undeclared.found_at.get(key, {}).get(server.server)
    return found_at is not None and now - found_at >= placement.config.undeclared_eviction_s


def _victim_group(
    placement: PlacementState,
    server: ServerState,
    keys: tuple[ItemKey, ...],
    may_evict: EvictableReplicas,
    now: float,
) -> VictimGroup | None:
    cost = 0.0
    item_bytes = 0
    for key in keys:
        item = placement.items[key]
        replica = server.replicas[key]
        if not _is_evictable(placement, item, replica, may_evict, now):
            return None
        item_cost = replica_value(placement, item, now)
        if _is_only_replica_in_use(placement, server, item):
            if may_evict is EvictableReplicas.IDLE:
                return None
            item_cost *= DRAIN_COST_FACTOR
        cost = max(cost, item_cost)
        item_bytes += replica.item_bytes
    return VictimGroup(keys, item_bytes, cost)


def _is_evictable(
    placement: PlacementState,
    item: ItemRow,
    replica: Replica,
    may_evict: EvictableReplicas,
    now: float,
) -> bool:
    """Whether a replica may be evicted.

    It may not be while it is loading or unloading, within the minimum residency time, before it has
    served in the item's turn, if the item would have less than its minimum replicas, or if requests
    wait for the item's only replica.
    """
    if replica.state is not ReplicaState.LOADED or replica.draining or replica.move_id is not None:
        return False
    if now - replica.since < placement.config.min_residency_s or is_kept_for_turn(item, now):
        return False
    others = item.ready - 1
    if others < item.min_replicas:
        return False
    return others >= 1 or item.waiting == 0 or may_evict is EvictableReplicas.REQUESTED


def _is_only_replica_in_use(placement: PlacementState, server: ServerState, item: ItemRow) -> bool:
    return item.ready <= 1 and placement.running_on(server, item.key) > 0
