"""System: sends the orders for planned moves that are due and within all limits.

Each limit is checked again when the order is sent, against the confirmed state and the orders that
may be in flight. A planned move in the calendar guarantees nothing.
"""

from __future__ import annotations

import math

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import Order, OrderAction, OrderRecorded, SendOrder
from zincvale.controlplane.placement.fairness import is_due
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.move_completion import end_move, move_item_key
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveReason, MoveState
from zincvale.controlplane.placement.order_obstacles import (
    OrderObstacle,
    is_executing_order,
    order_obstacle,
)
from zincvale.controlplane.placement.replica_value import has_unmet_demand, unmet_demand
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import Address, MoveId, StoreName

NO_ADDRESS = Address("")
"""Store address in orders to unload, which need no store."""


def order_unloads(placement: PlacementState, now: float) -> None:
    """System: order unloads of replicas that have drained; cancel those that should stay."""
    if not placement.leadership.may_order(now):
        return
    reports = [node.reported_at for node in placement.nodes.values()]
    placement.oldest_node_report = min(reports, default=now)
    draining = [
        move for move in placement.calendar.moves.values() if move.state is MoveState.DRAINING
    ]
    for move in draining:
        if move.move_id in placement.calendar.moves:
            _order_or_cancel_unload(placement, move, now)


def _order_or_cancel_unload(placement: PlacementState, move: Move, now: float) -> None:
    server = placement.servers[move.server]
    replica = server.replicas[move_item_key(move)]
    reason = _reason_to_keep(placement, move, server, now)
    if reason:
        end_move(placement, move, MoveState.CANCELLED, reason, now)
        return
    if now < move.start_at or placement.running_on(server, move_item_key(move)) > 0:
        return
    # Only reports made after the nodes learned of the drain show that no request runs any more.
    if not placement.config.servers_guard_unloads and placement.oldest_node_report < move.start_at:
        return
    if any(_is_unordered(placement, adapter_unload) for adapter_unload in move.after):
        return
    if server.confirmed_epoch != placement.leadership.epoch or now < server.retry_at:
        return
    if is_executing_order(placement, server):
        return
    order = _new_order(placement, move, OrderAction.UNLOAD)
    placement.set_replica_state(server, move_item_key(move), replica, ReplicaState.UNLOADING)
    _send_order(placement, move, server, order, now)


def _is_unordered(placement: PlacementState, move_id: MoveId) -> bool:
    """Whether a move is unfinished and was not ordered yet."""
    move = placement.calendar.moves.get(move_id)
    return move is not None and not move.in_flight


def _reason_to_keep(placement: PlacementState, move: Move, server: ServerState, now: float) -> str:
    """Return why the unload of a draining replica should be cancelled; empty if it should not."""
    key = move_item_key(move)
    if not server.is_serving:
        return "the server went out of service"
    if (
        placement.running_on(server, key) > 0
        and now > move.created_at + placement.config.drain_limit_s
    ):
        return "requests still run on it"
    if move.reason is not MoveReason.MAKE_ROOM:
        return ""
    load = placement.calendar.moves.get(
        placement.calendar.load_by_unload.get(move.move_id, move.move_id)
    )
    if load is None:
        return "its space is not needed any more"
    item = placement.items.get(key)
    if item is None or item.waiting == 0 or item.ready > 0:
        return ""
    replacement = placement.items.get(move_item_key(load))
    if replacement is not None and replacement.unserved.is_in_turn:
        return ""
    if replacement is None or replacement.waiting < item.waiting:
        return "more requests wait for it than for what would replace it"
    return ""


def order_loads(placement: PlacementState, now: float) -> None:
    """System: order planned loads; due items first, then unmet demand, then urgency and size."""
    planned = [
        move
        for move in placement.calendar.moves.values()
        if move.kind is MoveKind.LOAD and move.state is MoveState.PLANNED
    ]
    if not planned:
        return
    planned.sort(key=lambda move: _sort_key(placement, move, now))
    blocked_stores: set[StoreName] = set()
    for move in planned:
        if move.move_id in placement.calendar.moves:
            _order_or_cancel_load(placement, move, blocked_stores, now)


def _sort_key(placement: PlacementState, move: Move, now: float) -> tuple[float, ...]:
    item = placement.items.get(move_item_key(move))
    size = move.reservation.memory_bytes
    if item is not None and is_due(placement, item, now):
        return (0.0, item.unserved.since, 0.0, move.created_at)
    if item is not None and has_unmet_demand(placement, item, now):
        unmet = unmet_demand(placement, item, now)
        return (0.0, math.inf, -unmet / max(size, 1), move.created_at)
    return (float(move.urgency), math.inf, float(size), move.created_at)


def _order_or_cancel_load(
    placement: PlacementState, move: Move, blocked_stores: set[StoreName], now: float
) -> None:
    item = placement.items.get(move_item_key(move))
    server = placement.servers[move.server]
    reason = _reason_to_cancel(placement, move, item, server)
    if reason or item is None:
        end_move(placement, move, MoveState.CANCELLED, reason, now)
        return
    if not placement.leadership.may_order(now) or not placement.leadership.is_takeover_complete:
        return
    is_small = item.weight_bytes <= placement.config.small_item_bytes
    if move.store in blocked_stores and not is_small:
        return
    obstacle = order_obstacle(placement, move, item, server, now)
    if obstacle is None:
        _order_load(placement, move, item, server, now)
    elif obstacle is OrderObstacle.STORE and has_unmet_demand(placement, item, now):
        # A less urgent large pull must not go first and use up the store's rate. A load that waits
        # for its own server holds up no other: the store can serve others meanwhile.
        blocked_stores.add(move.store)


def _reason_to_cancel(
    placement: PlacementState, move: Move, item: ItemRow | None, server: ServerState
) -> str:
    if item is None:
        return "no resource declares it any more"
    if not server.is_serving:
        return "the server went out of service"
    if item.key in server.replicas:
        return "the server holds it already"
    if item.base is not None and item.base not in server.replicas:
        return "the base model left the server"
    for needed in move.after:
        finished = placement.calendar.finished.get(needed)
        if finished is not None and finished.state is not MoveState.DONE:
            return f"{needed}, which it needs, came to nothing"
    return ""


def _order_load(
    placement: PlacementState, move: Move, item: ItemRow, server: ServerState, now: float
) -> None:
    store = placement.stores[move.store]
    # Both values depend on whether the server had the weights on its disk before this load.
    from_disk = placement.loads_from_disk(item, server)
    expected_s = placement.expected_load_s(item, server)
    store.record_order(item.weight_bytes, now, placement.config)
    placement.store_slots[move.move_id] = store.store
    server.loads_in_flight += 1
    server.remove_planned_load(move.item_kind, move.reservation)
    item.planned.pop(server.server, None)
    replica = Replica(ReplicaState.LOADING, item.weight_bytes, item.kv_bytes, now)
    replica.move_id = move.move_id
    placement.add_replica(server, item.key, replica)
    if item.kind is ItemKind.MODEL:
        placement.queue_adapters(item)
    order = _new_order(placement, move, OrderAction.LOAD, store.address, from_disk=from_disk)
    ordered = attrs.evolve(move, expected_end=now + expected_s, from_disk=from_disk)
    _send_order(placement, ordered, server, order, now)


def _new_order(
    placement: PlacementState,
    move: Move,
    action: OrderAction,
    store_address: Address = NO_ADDRESS,
    *,
    from_disk: bool = False,
) -> Order:
    epoch = placement.leadership.epoch
    return Order(
        order_id=f"o{epoch}-{placement.allocate_number()}",
        epoch=epoch,
        action=action,
        item_kind=move.item_kind or ItemKind.MODEL,
        name=move.name,
        base_model=move.base_model,
        item_bytes=move.reservation.memory_bytes,
        store=move.store,
        store_address=store_address,
        from_disk=from_disk,
    )


def _send_order(
    placement: PlacementState, move: Move, server: ServerState, order: Order, now: float
) -> None:
    ordered = attrs.evolve(
        move,
        state=MoveState.ORDERED,
        start_at=now,
        order_id=order.order_id,
        epoch=order.epoch,
        address=server.address,
    )
    placement.calendar.put(ordered)
    placement.awaiting_status[server.server] = None
    not_after = placement.leadership.acts_until
    placement.effects.append(SendOrder(server.server, server.address, order, not_after))
    placement.effects.append(
        OrderRecorded(
            ordered.move_id, order, server.server, move.reason, move.detail, move.created_at
        )
    )
    placement.log(
        log_events.ORDER_SENT,
        order=order.order_id,
        move=ordered.move_id,
        action=order.action.value,
        name=order.name,
        server=server.server,
    )
