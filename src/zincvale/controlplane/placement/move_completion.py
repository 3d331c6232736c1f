"""Ends moves and releases their reservations; adopts loads that were found in progress."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import CompletionRecorded
from zincvale.controlplane.placement.fairness import keep_for_turn
from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow, adapter_key, model_key
from zincvale.controlplane.placement.load_moves import LoadPlan, new_load
from zincvale.controlplane.placement.moves import (
    Move,
    MoveKind,
    MoveReason,
    MoveState,
)
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState

LOG_BY_STATE = {
    MoveState.DONE: log_events.MOVE_DONE,
    MoveState.FAILED: log_events.MOVE_FAILED,
    MoveState.CANCELLED: log_events.MOVE_CANCELLED,
}
"""The log event for each final state of a move."""


def move_item_key(move: Move) -> ItemKey:
    """Return the key of the item that a load or unload concerns."""
    if move.item_kind is ItemKind.ADAPTER:
        return adapter_key(move.name)
    return model_key(move.name)


def end_move(
    placement: PlacementState, move: Move, state: MoveState, outcome: str, now: float
) -> None:
    """Finish a move in the final state `state` and release its reservations."""
    if move.kind is MoveKind.LOAD:
        _end_load(placement, placement.servers[move.server], move, state, now)
    elif move.kind is MoveKind.UNLOAD:
        _end_unload(placement, placement.servers[move.server], move, state)
    placement.calendar.retire(attrs.evolve(move, state=state, finished_at=now, outcome=outcome))
    placement.log(
        LOG_BY_STATE[state],
        move=move.move_id,
        kind=move.kind.value,
        name=move.name,
        server=move.server,
        outcome=outcome,
    )
    if move.order_id:
        text = "done" if state is MoveState.DONE else f"{state.value}: {outcome}"
        placement.effects.append(
            CompletionRecorded(move.move_id, move.order_id, move.server, move.start_at, text)
        )


def adopt_load(
    placement: PlacementState, server: ServerState, item: ItemRow, replica: Replica, now: float
) -> None:
    """Add a load that another leader ordered to the calendar, with its reservations."""
    load_plan = LoadPlan(
        state=MoveState.RUNNING,
        reason=MoveReason.FOUND_IN_PROGRESS,
        detail="the server reports this load; this process did not order it",
        start_at=now,
    )
    move = attrs.evolve(new_load(placement, server, item, load_plan, now), responded_at=now)
    store = placement.stores.get(item.store)
    replica.move_id = move.move_id
    server.loads_in_flight += 1
    if store is not None:
        store.occupy_slot()
        placement.store_slots[move.move_id] = store.store
    placement.awaiting_status[server.server] = None
    placement.calendar.put(move)
    placement.log(log_events.UNPLANNED_LOAD, server=server.server, name=item.name)


def end_moves_of_server(
    placement: PlacementState, server: ServerState, outcome: str, now: float
) -> None:
    """End every move of a server that left the directory."""
    for move_id in list(placement.calendar.by_server.get(server.server, ())):
        move = placement.calendar.moves.get(move_id)
        if move is not None:
            state = MoveState.FAILED if move.in_flight else MoveState.CANCELLED
            end_move(placement, move, state, outcome, now)


def keep_store_slots_of_server(placement: PlacementState, server: ServerState, now: float) -> None:
    """Keep the store slots of a server that can no longer be observed until its pulls have ended.

    A pull is assumed to end after the lifetime of its order and the time that it takes at an equal
    share of the store's rate.
    """
    for move_id in placement.calendar.by_server.get(server.server, ()):
        name = placement.store_slots.pop(move_id, None)
        if name is None:
            continue
        store = placement.stores[name]
        move = placement.calendar.moves[move_id]
        share = max(store.bytes_per_second, 1) / max(store.max_concurrent_loads, 1)
        longest_s = move.reservation.memory_bytes / share + placement.config.order_lifetime_s
        store.keep_slot(now + longest_s)


def _end_load(
    placement: PlacementState, server: ServerState, move: Move, state: MoveState, now: float
) -> None:
    key = move_item_key(move)
    item = placement.items.get(key)
    if not move.in_flight:
        _end_planned_load(placement, server, move, item, now)
        return
    server.loads_in_flight -= 1
    store = placement.store_slots.pop(move.move_id, None)
    if store is not None:
        placement.stores[store].release_slot()
    replica = server.replicas[key]
    replica.move_id = None
    if state is MoveState.DONE:
        _finish_load(placement, server, move, item, now)
        return
    placement.remove_replica(server, key)
    if item is not None:
        _back_off(placement, item, now)


def _finish_load(
    placement: PlacementState, server: ServerState, move: Move, item: ItemRow | None, now: float
) -> None:
    replica = server.replicas[move_item_key(move)]
    placement.set_replica_state(server, move_item_key(move), replica, ReplicaState.LOADED)
    replica.since = now
    replica.is_prefetched = move.reason is MoveReason.PREFETCH
    if item is None:
        return
    item.failures = 0
    item.unserved.recent.count = 0.0
    keep_for_turn(placement, item, now)
    if move.reason is not MoveReason.FOUND_IN_PROGRESS:
        _record_load_time(placement, server, move, item, now)
    placement.queue_review(item.key)
    if item.kind is ItemKind.MODEL:
        placement.queue_adapters(item)


def _record_load_time(
    placement: PlacementState, server: ServerState, move: Move, item: ItemRow, now: float
) -> None:
    took_s = now - move.start_at
    if move.from_disk:
        placement.load_times.observe_from_disk(item.weight_bytes, item.store, took_s)
        return
    placement.load_times.observe(item.key, item.weight_bytes, server.server, item.store, took_s)


def _back_off(placement: PlacementState, item: ItemRow, now: float) -> None:
    config = placement.config
    pause_s = min(config.retry_backoff_s * 2.0**item.failures, config.max_retry_backoff_s)
    item.failures += 1
    item.retry_at = now + pause_s
    placement.reviews.queue_at(item, item.retry_at)


def _end_planned_load(
    placement: PlacementState, server: ServerState, move: Move, item: ItemRow | None, now: float
) -> None:
    server.remove_planned_load(move.item_kind, move.reservation)
    placement.free_memory.mark_stale(server)
    if item is not None:
        item.planned.pop(server.server, None)
        placement.queue_review(item.key)
    for needed_id in move.after:
        needed = placement.calendar.moves.get(needed_id)
        if needed is not None and needed.state is MoveState.DRAINING:
            end_move(
                placement, needed, MoveState.CANCELLED, "its space is not needed any more", now
            )


def _end_unload(
    placement: PlacementState, server: ServerState, move: Move, state: MoveState
) -> None:
    key = move_item_key(move)
    placement.calendar.load_by_unload.pop(move.move_id, None)
    server.planned_free_bytes -= move.reservation.memory_bytes
    server.planned_free_adapters -= move.item_kind is ItemKind.ADAPTER
    if move.in_flight and move.responded_at is None:
        # The order to unload may still arrive, and must not undo a later load of the same item.
        server.load_blocked_until[key] = move.start_at + placement.config.order_lifetime_s
    replica = server.replicas.get(key)
    if replica is None:
        placement.free_memory.mark_stale(server)
        return
    replica.move_id = None
    if state is MoveState.DONE:
        placement.remove_replica(server, key)
        _remove_adapters(placement, server, key)
        return
    placement.set_replica_state(server, key, replica, ReplicaState.LOADED)
    replica.contradicted_at = None
    placement.set_draining(server, key, replica, draining=False)
    placement.free_memory.mark_stale(server)
    placement.queue_review(key)


def _remove_adapters(placement: PlacementState, server: ServerState, model: ItemKey) -> None:
    """Remove the loaded adapters of an unloaded model: the server drops them with the model."""
    for adapter in placement.adapters_by_base.get(model, ()):
        replica = server.replicas.get(adapter)
        if replica is not None and replica.move_id is None:
            placement.remove_replica(server, adapter)
