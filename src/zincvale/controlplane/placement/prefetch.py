"""System: loads models on idle servers so that their weights are on disk before requests come.

A server loads weights that it held before from its own disk. If that is much faster than a load
from the store, only the first load of a model is slow. Therefore models that are on no server's
disk are loaded once, one at a time on each idle server, and evicted again for the next one.

Whether disks are faster is measured first, by unloading and reloading a replica that is not needed.
While a pool gets no requests, every idle server prefetches. Otherwise most of the pool's servers
are kept free for loads that requests need, since a load from the store occupies its server until it
ends.
"""

from __future__ import annotations

import math

from zincvale.controlplane.placement.choose_server import Choice
from zincvale.controlplane.placement.desired_replicas import is_requested
from zincvale.controlplane.placement.eviction import NO_EVICTION, Eviction, RequiredSpace
from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow
from zincvale.controlplane.placement.moves import Move, MoveReason, MoveState
from zincvale.controlplane.placement.plan_loads import add_load_moves
from zincvale.controlplane.placement.plan_unloads import UnloadPlan, plan_unload
from zincvale.controlplane.placement.prefetch_state import PrefetchState
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import PoolName, ServerId

MIN_STORE_LOAD_S = 1.5
"""Expected load time from the store up to which a model is not worth prefetching."""
MAX_PREFETCH_DISK_TIME_FRACTION = 0.5
"""Longest load time from disk, as a fraction of the time from the store, with which prefetching is
worthwhile."""
IDLE_POOL_DELAY_S = 1.5
"""Time without requests for a pool after which all its idle servers may prefetch."""
RESERVED_IDLE_FRACTION = 0.6
"""Fraction of a pool's servers that are not used for prefetching while requests come."""
PREFETCH_INTERVAL_S = 0.25
"""Minimum interval between two checks of a pool; a check visits all its servers and all items."""
PREFETCH_WINDOW_FRACTION = 0.6
"""Fraction of a store's loads per window up to which prefetches are planned.

The rest is left to loads that requests need."""


def record_request(placement: PlacementState, item: ItemRow, now: float) -> None:
    """Record that requests arrived for the item's pool."""
    placement.prefetches.setdefault(item.pool, PrefetchState()).requested_at = now


def prefetch(placement: PlacementState, now: float) -> None:
    """System: plan loads that put weights onto servers' disks."""
    if not placement.config.servers_keep_weights or not placement.leadership.may_order(now):
        return
    if not placement.leadership.is_takeover_complete:
        return
    for pool, servers in placement.server_index.by_pool.items():
        state = placement.prefetches.setdefault(pool, PrefetchState())
        if now < state.considered_at + PREFETCH_INTERVAL_S:
            continue
        state.considered_at = now
        idle = [placement.servers[server] for server in servers if _is_idle(placement, server)]
        if not idle:
            continue
        is_worthwhile = _is_prefetch_worthwhile(placement, pool)
        if is_worthwhile is None:
            _measure_disk(placement, state, idle, now)
        elif is_worthwhile:
            _prefetch_missing(placement, pool, state, idle, now)


def _is_idle(placement: PlacementState, server_id: ServerId) -> bool:
    server = placement.servers[server_id]
    if not server.is_serving or server.confirmed_epoch != placement.leadership.epoch:
        return False
    return not placement.calendar.by_server.get(server_id) and not server.planned_models


def _is_prefetch_worthwhile(placement: PlacementState, pool: PoolName) -> bool | None:
    """Whether disks are much faster than the store; None if that was not measured yet."""
    longest = max(
        (item for item in placement.items.values() if _is_model_of(item, pool)),
        key=placement.expected_load_s,
        default=None,
    )
    if longest is None or placement.expected_load_s(longest) <= MIN_STORE_LOAD_S:
        return False
    if longest.store not in placement.load_times.disk_rate_by_store:
        return None
    from_disk_s = placement.expected_reload_s(longest)
    return from_disk_s <= placement.expected_load_s(longest) * MAX_PREFETCH_DISK_TIME_FRACTION


def _is_model_of(item: ItemRow, pool: PoolName) -> bool:
    return item.kind is ItemKind.MODEL and item.pool == pool and item.weight_bytes > 0


# --- measuring disk speed -------------------------------------------------------------------


def _measure_disk(
    placement: PlacementState, state: PrefetchState, idle: list[ServerState], now: float
) -> None:
    if state.trial_unload is not None and state.trial_unload in placement.calendar.moves:
        return
    finished = (
        placement.calendar.finished.get(state.trial_unload)
        if state.trial_unload is not None
        else None
    )
    state.trial_unload = None
    server = placement.servers.get(state.trial_server)
    item = placement.items.get(state.trial_key)
    if finished is not None and finished.state is MoveState.DONE and server in idle and item:
        _plan_prefetch(placement, item, server, NO_EVICTION, now)
        return
    if any(_is_prefetch(move) for move in placement.calendar.moves.values()):
        return
    for server in idle:
        key = _spare_replica(placement, server, now)
        if key is not None:
            detail = "loaded again at once, to learn how long that takes from the server's disk"
            unload_plan = UnloadPlan(MoveReason.PREFETCH, detail)
            state.trial_unload = plan_unload(placement, server, key, unload_plan, now)
            state.trial_key, state.trial_server = key, server.server
            return


def _spare_replica(placement: PlacementState, server: ServerState, now: float) -> ItemKey | None:
    """Return an unused model on the server that has more replicas than needed, or None.

    A model with requested adapters there is not spare, since they would leave with it.
    """
    for key, replica in server.replicas.items():
        item = placement.items.get(key)
        if item is None or item.kind is not ItemKind.MODEL:
            continue
        is_free = replica.state is ReplicaState.LOADED and replica.move_id is None
        adapters = [adapter for adapter in item.adapters if adapter in server.replicas]
        if any(is_requested(placement.items[adapter], now) for adapter in adapters):
            continue
        if is_free and item.ready > max(item.desired, item.min_replicas, 1) and not item.running:
            return key
    return None


# --- prefetching ----------------------------------------------------------------------------


def _prefetch_missing(
    placement: PlacementState,
    pool: PoolName,
    state: PrefetchState,
    idle: list[ServerState],
    now: float,
) -> None:
    capacity = len(idle)
    if now - state.requested_at <= IDLE_POOL_DELAY_S:
        capacity -= math.ceil(len(placement.server_index.by_pool[pool]) * RESERVED_IDLE_FRACTION)
    if capacity <= 0:
        return
    missing = _models_on_no_disk(placement, pool)
    capacity = min(capacity, _prefetches_left_in_window(placement, missing, now)) if missing else 0
    for server in idle:
        if capacity <= 0 or not missing:
            return
        item = missing[-1]
        eviction = _eviction_for(placement, item, server)
        if eviction is None:
            continue
        missing.pop()
        capacity -= 1
        _plan_prefetch(placement, item, server, eviction, now)


def _is_prefetch(move: Move) -> bool:
    return move.reason is MoveReason.PREFETCH


def _prefetches_left_in_window(
    placement: PlacementState, missing: list[ItemRow], now: float
) -> int:
    """Return how many more prefetches the store's current window allows."""
    store = placement.stores.get(missing[-1].store)
    if store is None:
        return 0
    if not store.loads_per_window:
        return len(missing)
    planned = sum(
        1
        for move in placement.calendar.moves.values()
        if _is_prefetch(move) and move.state is MoveState.PLANNED
    )
    return (
        math.floor(store.loads_per_window * PREFETCH_WINDOW_FRACTION)
        - store.loads_in_window(now)
        - planned
    )


def _models_on_no_disk(placement: PlacementState, pool: PoolName) -> list[ItemRow]:
    """Return the models on no known server's disk, those with most unserved requests last."""
    missing = [
        item
        for item in placement.items.values()
        if _is_model_of(item, pool)
        and not item.holders
        and not item.planned
        and not placement.is_on_disk(item)
    ]
    missing.sort(key=lambda item: item.unserved.recent.count)
    return missing


def _eviction_for(placement: PlacementState, item: ItemRow, server: ServerState) -> Eviction | None:
    """Return the eviction that makes room for the item, or None if all candidates must stay."""
    space = RequiredSpace(item, item.weight_bytes)
    missing_bytes = space.missing_bytes(placement, server)
    if missing_bytes <= 0:
        return NO_EVICTION
    fitting = [
        (rank, key)
        for key, replica in server.replicas.items()
        if replica.item_bytes >= missing_bytes
        and (rank := _eviction_rank(placement, server, key, replica)) is not None
    ]
    if not fitting:
        return None
    model = min(fitting)[1]
    adapters = (key for key in placement.items[model].adapters if key in server.replicas)
    return Eviction((*adapters, model), 0.0)


def _eviction_rank(
    placement: PlacementState, server: ServerState, key: ItemKey, replica: Replica
) -> int | None:
    """Return the order in which a replica is evicted, lowest first, or None if it must stay.

    If a model that was never requested has several replicas, they stay: they were loaded on purpose
    for requests that are expected.
    """
    item = placement.items.get(key)
    if item is None or item.kind is not ItemKind.MODEL or item.waiting or item.min_replicas:
        return None
    is_free = replica.state is ReplicaState.LOADED and replica.move_id is None
    if not is_free or placement.running_on(server, key):
        return None
    if item.demand.profile is not None:
        return 2 if item.ready > max(item.desired, 1) else None
    if item.ready > 1:
        return None
    return 0 if replica.is_prefetched else 1


def _plan_prefetch(
    placement: PlacementState, item: ItemRow, server: ServerState, eviction: Eviction, now: float
) -> None:
    add_load_moves(placement, item, MoveReason.PREFETCH, Choice(server, eviction), now)
