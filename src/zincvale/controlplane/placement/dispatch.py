"""System: sends the orders whose time has come, within every limit at this moment.

Each limit is checked again here, at the moment of the order, by what is confirmed and what may
be in flight; the calendar only proposes.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import Order, OrderAction, OrderRecorded, SendOrder
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.move_completion import end_move, move_item_key
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveReason, MoveState
from zincvale.controlplane.placement.replica_value import is_missed, need
from zincvale.controlplane.placement.servers import Holding, HoldingState, ServerState
from zincvale.controlplane.placement.state import World
from zincvale.model.identifiers import Address, MoveId, StoreName

NO_ADDRESS = Address("")


def order_unloads(world: World, now: float) -> None:
    """System: unload what is closed and idle; give up what stays in use."""
    if not world.leadership.may_order(now):
        return
    reports = [node.reported_at for node in world.nodes.values()]
    world.oldest_node_report = min(reports, default=now)
    closing = [move for move in world.moves.values() if move.state is MoveState.CLOSING]
    for move in closing:
        if move.move_id in world.moves:
            _advance_unload(world, move, now)


def _advance_unload(world: World, move: Move, now: float) -> None:
    server = world.servers[move.server]
    holding = server.holdings[move_item_key(move)]
    give_up = _why_keep(world, move, server, now)
    if give_up:
        end_move(world, move, MoveState.CANCELLED, give_up, now)
        return
    if now < move.start_at or world.running_on(server, move_item_key(move)) > 0:
        return
    # Only reports made after the mark reached the nodes show that nothing runs any more.
    if not world.config.servers_guard_unloads and world.oldest_node_report < move.start_at:
        return
    if any(_is_pending(world, adapter_unload) for adapter_unload in move.after):
        return
    if server.settled_epoch != world.leadership.epoch or now < server.retry_at:
        return
    if _is_carrying_out(world, server):
        return
    order = _order(world, move, OrderAction.UNLOAD)
    world.set_state(server, move_item_key(move), holding, HoldingState.UNLOADING)
    _send(world, move, server, order, now)


def _is_carrying_out(world: World, server: ServerState) -> bool:
    """Whether the server must not get another order before the end of the one it has."""
    if not world.config.serial_orders:
        return False
    moves = (world.moves[move_id] for move_id in world.moves_by_server.get(server.server, ()))
    return any(move.in_flight for move in moves)


def _is_pending(world: World, move_id: MoveId) -> bool:
    """Whether a move still waits for its order."""
    move = world.moves.get(move_id)
    return move is not None and not move.in_flight


def _why_keep(world: World, move: Move, server: ServerState, now: float) -> str:
    """Return why a closing copy should stay after all; empty when it should go."""
    key = move_item_key(move)
    if not server.serving:
        return "the server went out of service"
    if world.running_on(server, key) > 0 and now > move.created_at + world.config.drain_limit_s:
        return "requests still run on it"
    if move.reason is not MoveReason.MAKE_ROOM:
        return ""
    load = world.moves.get(world.dependents.get(move.move_id, move.move_id))
    if load is None:
        return "its space is not needed any more"
    item = world.items.get(key)
    if item is None or item.waiting == 0 or item.serving > 0:
        return ""
    wanted = world.items.get(move_item_key(load))
    if wanted is None or wanted.waiting < item.waiting:
        return "more requests wait for it than for what would replace it"
    return ""


def order_loads(world: World, now: float) -> None:
    """System: order planned loads, most urgent first, small ones first among equals."""
    planned = [
        move
        for move in world.moves.values()
        if move.kind is MoveKind.LOAD and move.state is MoveState.PLANNED
    ]
    if not planned:
        return
    planned.sort(key=lambda move: _order_key(world, move, now))
    held_back: set[StoreName] = set()
    for move in planned:
        if move.move_id in world.moves:
            _advance_load(world, move, held_back, now)


def _order_key(world: World, move: Move, now: float) -> tuple[float, ...]:
    item = world.items.get(move_item_key(move))
    size = move.reservation.memory_bytes
    if item is not None and is_missed(world, item, now):
        return (0.0, -need(world, item, now) / max(size, 1), move.created_at)
    return (float(move.urgency), float(size), move.created_at)


def _advance_load(world: World, move: Move, held_back: set[StoreName], now: float) -> None:
    item = world.items.get(move_item_key(move))
    server = world.servers[move.server]
    give_up = _why_cancel(world, move, item, server)
    if give_up or item is None:
        end_move(world, move, MoveState.CANCELLED, give_up, now)
        return
    if not world.leadership.may_order(now) or not world.leadership.stores_open:
        return
    small = item.weight_bytes <= world.config.small_item_bytes
    if move.store in held_back and not small:
        return
    if not _fits_now(world, move, item, server, now):
        # A larger, less urgent pull must not overtake an urgent one and owe the store's rate.
        if is_missed(world, item, now):
            held_back.add(move.store)
        return
    _order_load(world, move, item, server, now)


def _why_cancel(world: World, move: Move, item: ItemRow | None, server: ServerState) -> str:
    if item is None:
        return "no resource declares it any more"
    if not server.serving:
        return "the server went out of service"
    if item.key in server.holdings:
        return "the server holds it already"
    if item.base is not None and item.base not in server.holdings:
        return "the base model left the server"
    for needed in move.after:
        finished = world.finished_moves.get(needed)
        if finished is not None and finished.state is not MoveState.DONE:
            return f"{needed}, which it needs, came to nothing"
    return ""


def _fits_now(world: World, move: Move, item: ItemRow, server: ServerState, now: float) -> bool:
    config = world.config
    if any(needed in world.moves for needed in move.after):
        return False
    if item.base is not None and server.holdings[item.base].state is not HoldingState.LOADED:
        return False
    if server.settled_epoch != world.leadership.epoch or now < server.retry_at:
        return False
    if server.loads_in_flight >= server.load_slots(config, now):
        return False
    if server.free_now_bytes(config, item.kv_bytes) < item.weight_bytes:
        return False
    if item.kind is ItemKind.ADAPTER and not server.has_adapter_slot_now():
        return False
    if _is_carrying_out(world, server):
        return False
    store = world.stores[move.store]
    return store.may_order(item.weight_bytes, now, config)


def _order_load(world: World, move: Move, item: ItemRow, server: ServerState, now: float) -> None:
    store = world.stores[move.store]
    # Asked before the copy counts as held.
    from_disk = world.loads_from_disk(item, server)
    expected_s = world.expected_load_s(item, server)
    store.order(item.weight_bytes, now, world.config)
    world.store_slots[move.move_id] = store.store
    server.loads_in_flight += 1
    server.planned_bytes -= move.reservation.memory_bytes
    server.planned_kv_bytes -= move.reservation.kv_bytes
    server.planned_models -= move.item_kind is ItemKind.MODEL
    server.planned_adapters -= move.item_kind is ItemKind.ADAPTER
    item.planned.pop(server.server, None)
    holding = Holding(HoldingState.LOADING, item.weight_bytes, item.kv_bytes, now)
    holding.move = move.move_id
    world.add_holding(server, item.key, holding)
    if item.kind is ItemKind.MODEL:
        world.queue_adapters(item)
    order = _order(world, move, OrderAction.LOAD, store.address, from_disk)
    ordered = attrs.evolve(move, expected_end=now + expected_s, from_disk=from_disk)
    _send(world, ordered, server, order, now)


def _order(
    world: World,
    move: Move,
    action: OrderAction,
    store_address: Address = NO_ADDRESS,
    from_disk: bool = False,
) -> Order:
    epoch = world.leadership.epoch
    return Order(
        order_id=f"o{epoch}-{world.number()}",
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


def _send(world: World, move: Move, server: ServerState, order: Order, now: float) -> None:
    ordered = attrs.evolve(
        move,
        state=MoveState.ORDERED,
        start_at=now,
        order_id=order.order_id,
        epoch=order.epoch,
        address=server.address,
    )
    world.put_move(ordered)
    world.watched[server.server] = None
    not_after = world.leadership.acts_until
    world.effects.append(SendOrder(server.server, server.address, order, not_after))
    world.effects.append(
        OrderRecorded(
            ordered.move_id, order, server.server, move.reason, move.detail, move.created_at
        )
    )
    world.log(
        log_events.ORDER_SENT,
        order=order.order_id,
        move=ordered.move_id,
        action=order.action.value,
        name=order.name,
        server=server.server,
    )
