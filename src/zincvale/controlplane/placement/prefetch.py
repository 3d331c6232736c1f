"""System: brings weights onto servers' own disks ahead of requests, while servers are idle.

A server loads what it had before from its own disk. Where that takes much less time than a load
from the store, the first request for a model that no disk has is the expensive one; so models that
no server ever loaded are loaded once, one at a time on each idle server, and evicted for the next.

Whether disks are faster is tried first, by unloading and loading again a replica that is not
needed. While nobody asks for anything every idle server takes part. Else most of a pool's servers
are kept idle for what requests need: a load from the store occupies its server for its whole time.
"""

from __future__ import annotations

import math

from zincvale.controlplane.placement.choose_server import Choice
from zincvale.controlplane.placement.eviction import NO_EVICTION, Eviction, Space
from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow
from zincvale.controlplane.placement.moves import Move, MoveReason, MoveState
from zincvale.controlplane.placement.plan_loads import add_load_moves
from zincvale.controlplane.placement.plan_unloads import UnloadTerms, plan_unload
from zincvale.controlplane.placement.prefetch_state import PrefetchState
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import PoolName, ServerId

MIN_STORE_LOAD_S = 1.5
"""A load from the store that takes no longer is not worth fetching ahead."""
PREFETCH_DISK_FACTOR = 0.5
"""Part of the time from the store that a load from disk may take for fetching to be worth it."""
IDLE_POOL_S = 1.5
"""Without requests for so long, every idle server may fetch."""
RESERVED_IDLE_FRACTION = 0.6
"""Part of a pool's servers that are left idle while requests come."""
PREFETCH_INTERVAL_S = 0.25
"""Time between two looks at a pool; each costs a pass over its servers and items."""
PREFETCH_WINDOW_FRACTION = 0.6
"""Part of what a store gives in a window that fetching may use up; the rest is for requests."""


def record_request(placement: PlacementState, item: ItemRow, now: float) -> None:
    """Record that requests arrived for the item's pool."""
    placement.prefetches.setdefault(item.pool, PrefetchState()).requested_at = now


def prefetch(placement: PlacementState, now: float) -> None:
    """System: plan loads that bring weights onto disks."""
    if not placement.config.servers_keep_weights or not placement.leadership.may_order(now):
        return
    if not placement.leadership.stores_open:
        return
    for pool, servers in placement.server_index.by_pool.items():
        state = placement.prefetches.setdefault(pool, PrefetchState())
        if now < state.considered_at + PREFETCH_INTERVAL_S:
            continue
        state.considered_at = now
        idle = [placement.servers[server] for server in servers if _is_idle(placement, server)]
        if not idle:
            continue
        worth = _is_worth(placement, pool)
        if worth is None:
            _measure_disk(placement, state, idle, now)
        elif worth:
            _prefetch_missing(placement, pool, state, idle, now)


def _is_idle(placement: PlacementState, server_id: ServerId) -> bool:
    server = placement.servers[server_id]
    if not server.is_serving or server.confirmed_epoch != placement.leadership.epoch:
        return False
    return not placement.calendar.by_server.get(server_id) and not server.planned_models


def _is_worth(placement: PlacementState, pool: PoolName) -> bool | None:
    """Whether disks are much faster than the store; None when that must be tried."""
    longest = max(
        (item for item in placement.items.values() if _is_model_of(item, pool)),
        key=placement.expected_load_s,
        default=None,
    )
    if longest is None or placement.expected_load_s(longest) <= MIN_STORE_LOAD_S:
        return False
    if longest.store not in placement.load_times.disk_rate_by_store:
        return None
    from_disk_s = placement.expected_return_s(longest)
    return from_disk_s <= placement.expected_load_s(longest) * PREFETCH_DISK_FACTOR


def _is_model_of(item: ItemRow, pool: PoolName) -> bool:
    return item.kind is ItemKind.MODEL and item.pool == pool and item.weight_bytes > 0


# --- the trial ------------------------------------------------------------------------------


def _measure_disk(
    placement: PlacementState, state: PrefetchState, idle: list[ServerState], now: float
) -> None:
    if state.trial is not None and state.trial in placement.calendar.moves:
        return
    finished = placement.calendar.finished.get(state.trial) if state.trial is not None else None
    state.trial = None
    server = placement.servers.get(state.trial_server)
    item = placement.items.get(state.trial_key)
    if finished is not None and finished.state is MoveState.DONE and server in idle and item:
        _load(placement, item, server, NO_EVICTION, now)
        return
    if any(_is_prefetch(move) for move in placement.calendar.moves.values()):
        return
    for server in idle:
        key = _spare_replica(placement, server)
        if key is not None:
            detail = "loaded again at once, to learn how long that takes from the server's disk"
            terms = UnloadTerms(MoveReason.PREFETCH, detail)
            state.trial = plan_unload(placement, server, key, terms, now)
            state.trial_key, state.trial_server = key, server.server
            return


def _spare_replica(placement: PlacementState, server: ServerState) -> ItemKey | None:
    """Return a model on the server whose other replicas are enough."""
    for key, replica in server.replicas.items():
        item = placement.items.get(key)
        if item is None or item.kind is not ItemKind.MODEL:
            continue
        is_free = replica.state is ReplicaState.LOADED and replica.move is None
        if is_free and item.ready > max(item.desired, item.min_replicas, 1) and not item.running:
            return key
    return None


# --- fetching -------------------------------------------------------------------------------


def _prefetch_missing(
    placement: PlacementState,
    pool: PoolName,
    state: PrefetchState,
    idle: list[ServerState],
    now: float,
) -> None:
    capacity = len(idle)
    if now - state.requested_at <= IDLE_POOL_S:
        capacity -= math.ceil(len(placement.server_index.by_pool[pool]) * RESERVED_IDLE_FRACTION)
    if capacity <= 0:
        return
    missing = _models_on_no_disk(placement, pool)
    capacity = min(capacity, _window_left(placement, missing, now)) if missing else 0
    for server in idle:
        if capacity <= 0 or not missing:
            return
        item = missing[-1]
        eviction = _eviction_for(placement, item, server)
        if eviction is None:
            continue
        missing.pop()
        capacity -= 1
        _load(placement, item, server, eviction, now)


def _is_prefetch(move: Move) -> bool:
    return move.reason is MoveReason.PREFETCH


def _window_left(placement: PlacementState, missing: list[ItemRow], now: float) -> int:
    """Return how many more loads fetching may begin in the store's window that ends now."""
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
        math.floor(store.loads_per_window * PREFETCH_WINDOW_FRACTION) - store.begun(now) - planned
    )


def _models_on_no_disk(placement: PlacementState, pool: PoolName) -> list[ItemRow]:
    """Return the models that no server in the directory has on disk, the least desired first."""
    missing = [
        item
        for item in placement.items.values()
        if _is_model_of(item, pool)
        and not item.holders
        and not item.planned
        and not placement.is_on_disk(item)
    ]
    missing.sort(key=lambda item: item.missed.count)
    return missing


def _eviction_for(placement: PlacementState, item: ItemRow, server: ServerState) -> Eviction | None:
    """Return what leaves for the item, None when something that may be asked for would."""
    space = Space(item, item.weight_bytes)
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
    """Return which replicas leave first, 0 before 1; None for those that stay.

    Several replicas of a model that nobody asked for yet were put there by somebody who expects
    that.
    """
    item = placement.items.get(key)
    if item is None or item.kind is not ItemKind.MODEL or item.waiting or item.min_replicas:
        return None
    is_free = replica.state is ReplicaState.LOADED and replica.move is None
    if not is_free or placement.running_on(server, key):
        return None
    if item.demand.profile is not None:
        return 2 if item.ready > max(item.desired, 1) else None
    if item.ready > 1:
        return None
    return 0 if replica.is_prefetched else 1


def _load(
    placement: PlacementState, item: ItemRow, server: ServerState, eviction: Eviction, now: float
) -> None:
    add_load_moves(placement, item, MoveReason.PREFETCH, Choice(server, eviction), now)
