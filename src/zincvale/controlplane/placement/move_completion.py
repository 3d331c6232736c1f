"""Ends moves and gives back what they reserved; adopts loads that were found running."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import CompletionRecorded
from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow, adapter_key, model_key
from zincvale.controlplane.placement.moves import (
    Move,
    MoveKind,
    MoveReason,
    MoveState,
    Reservation,
)
from zincvale.controlplane.placement.servers import Holding, HoldingState, ServerState
from zincvale.controlplane.placement.state import World

LOG_BY_STATE = {
    MoveState.DONE: log_events.MOVE_DONE,
    MoveState.FAILED: log_events.MOVE_FAILED,
    MoveState.CANCELLED: log_events.MOVE_CANCELLED,
}


def move_item_key(move: Move) -> ItemKey:
    """Return the item that a load or unload moves."""
    if move.item_kind is ItemKind.ADAPTER:
        return adapter_key(move.name)
    return model_key(move.name)


def end_move(world: World, move: Move, state: MoveState, outcome: str, now: float) -> None:
    """Finish a move in `state` and give its reservations back."""
    if move.kind is MoveKind.LOAD:
        _end_load(world, world.servers[move.server], move, state, now)
    elif move.kind is MoveKind.UNLOAD:
        _end_unload(world, world.servers[move.server], move, state, now)
    world.retire_move(attrs.evolve(move, state=state, finished_at=now, outcome=outcome))
    world.log(
        LOG_BY_STATE[state],
        move=move.move_id,
        kind=move.kind.value,
        name=move.name,
        server=move.server,
        outcome=outcome,
    )
    if move.order_id:
        text = "done" if state is MoveState.DONE else f"{state.value}: {outcome}"
        world.effects.append(
            CompletionRecorded(move.move_id, move.order_id, move.server, move.start_at, text)
        )


def adopt_load(
    world: World, server: ServerState, item: ItemRow, holding: Holding, now: float
) -> None:
    """Put a load that another leader ordered on the calendar, with its reservations."""
    store = world.stores.get(item.store)
    rate = store.bytes_per_second if store else 0
    move = Move(
        move_id=world.new_move_id(),
        kind=MoveKind.LOAD,
        state=MoveState.RUNNING,
        reason=MoveReason.FOUND_IN_PROGRESS,
        detail="the server reports this load; this process did not order it",
        server=server.server,
        address=server.address,
        zone=server.zone,
        created_at=now,
        start_at=now,
        answered_at=now,
        expected_end=now + world.expected_load_s(item, server),
        item_kind=item.kind,
        name=item.name,
        base_model=base_name(world, item),
        store=item.store,
        reservation=Reservation(item.weight_bytes, item.kv_bytes, rate, 1),
    )
    holding.move = move.move_id
    server.loads_in_flight += 1
    if store is not None:
        store.adopt()
        world.store_slots[move.move_id] = store.store
    world.watched[server.server] = None
    world.put_move(move)
    world.log(log_events.LOAD_FOUND, server=server.server, name=item.name)


def base_name(world: World, item: ItemRow) -> str:
    """Return the name of an adapter's base model, empty for models."""
    if item.base is None:
        return ""
    return item.base.removeprefix("model/")


def fail_moves_of(world: World, server: ServerState, outcome: str, now: float) -> None:
    """End every move of a server whose memory is gone."""
    for move_id in list(world.moves_by_server.get(server.server, ())):
        move = world.moves.get(move_id)
        if move is not None:
            state = MoveState.FAILED if move.in_flight else MoveState.CANCELLED
            end_move(world, move, state, outcome, now)


def linger_loads_of(world: World, server: ServerState, now: float) -> None:
    """Keep the store slots of an unobservable server for as long as a pull can take."""
    for move_id in world.moves_by_server.get(server.server, ()):
        name = world.store_slots.pop(move_id, None)
        if name is None:
            continue
        store = world.stores[name]
        move = world.moves[move_id]
        share = max(store.bytes_per_second, 1) / max(store.max_concurrent_loads, 1)
        longest_s = move.reservation.memory_bytes / share + world.config.order_lifetime_s
        store.linger(now + longest_s)


def _end_load(world: World, server: ServerState, move: Move, state: MoveState, now: float) -> None:
    key = move_item_key(move)
    item = world.items.get(key)
    if not move.in_flight:
        _unplan_load(world, server, move, item, now)
        return
    server.loads_in_flight -= 1
    store = world.store_slots.pop(move.move_id, None)
    if store is not None:
        world.stores[store].release()
    holding = server.holdings[key]
    holding.move = None
    if state is MoveState.DONE:
        _finish_load(world, server, move, holding, item, now)
        return
    world.remove_holding(server, key)
    if item is not None:
        _back_off(world, item, now)


def _finish_load(
    world: World,
    server: ServerState,
    move: Move,
    holding: Holding,
    item: ItemRow | None,
    now: float,
) -> None:
    world.set_state(server, move_item_key(move), holding, HoldingState.LOADED)
    holding.since = now
    holding.fetched_ahead = move.reason is MoveReason.PREFETCH
    if item is None:
        return
    item.failures = 0
    item.missed.count = 0.0
    if move.reason is not MoveReason.FOUND_IN_PROGRESS:
        _learn_time(world, server, move, item, now)
    world.queue_review(item.key)
    if item.kind is ItemKind.MODEL:
        world.queue_adapters(item)


def _learn_time(world: World, server: ServerState, move: Move, item: ItemRow, now: float) -> None:
    took_s = now - move.start_at
    if move.from_disk:
        world.load_times.observe_from_disk(item.weight_bytes, item.store, took_s)
        return
    world.load_times.observe(item.key, item.weight_bytes, server.server, item.store, took_s)


def _back_off(world: World, item: ItemRow, now: float) -> None:
    config = world.config
    pause_s = min(config.retry_backoff_s * 2.0**item.failures, config.max_retry_backoff_s)
    item.failures += 1
    item.retry_at = now + pause_s
    world.review_later(item, item.retry_at)


def _unplan_load(
    world: World, server: ServerState, move: Move, item: ItemRow | None, now: float
) -> None:
    server.planned_bytes -= move.reservation.memory_bytes
    server.planned_kv_bytes -= move.reservation.kv_bytes
    server.planned_models -= move.item_kind is ItemKind.MODEL
    server.planned_adapters -= move.item_kind is ItemKind.ADAPTER
    world.index_free(server)
    if item is not None:
        item.planned.pop(server.server, None)
        world.queue_review(item.key)
    for needed_id in move.after:
        needed = world.moves.get(needed_id)
        if needed is not None and needed.state is MoveState.CLOSING:
            end_move(world, needed, MoveState.CANCELLED, "its space is not needed any more", now)


def _end_unload(
    world: World, server: ServerState, move: Move, state: MoveState, now: float
) -> None:
    key = move_item_key(move)
    world.dependents.pop(move.move_id, None)
    server.planned_free_bytes -= move.reservation.memory_bytes
    server.planned_free_adapters -= move.item_kind is ItemKind.ADAPTER
    if move.in_flight and move.answered_at is None:
        # The order may still arrive, and must not meet a load of the same item.
        server.barred_until[key] = move.start_at + world.config.order_lifetime_s
    holding = server.holdings.get(key)
    if holding is None:
        world.index_free(server)
        return
    holding.move = None
    if state is MoveState.DONE:
        world.remove_holding(server, key)
        return
    world.set_state(server, key, holding, HoldingState.LOADED)
    holding.contrary_since = None
    world.set_closing(server, key, holding, False)
    world.index_free(server)
    world.queue_review(key)
