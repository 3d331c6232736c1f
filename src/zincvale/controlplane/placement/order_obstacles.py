"""What keeps a planned load from being ordered now."""

from __future__ import annotations

import enum

from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.moves import Move
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState


class OrderObstacle(enum.Enum):
    """Why a planned load may not be ordered now; log lines show the value."""

    MOVES_BEFORE = "waits for the unloads or loads before it"
    BASE_NOT_LOADED = "its base model is not loaded"
    UNCONFIRMED_SERVER = "the server's state is not confirmed, or it refused an order just now"
    LOAD_LIMIT = "the server runs as many loads as it may"
    MEMORY = "the server's memory is not free yet"
    ADAPTER_SLOTS = "the server's adapter slots are not free yet"
    OTHER_ORDER = "the server executes another order"
    STORE = "the store's limits do not allow it"


def order_obstacle(
    placement: PlacementState, move: Move, item: ItemRow, server: ServerState, now: float
) -> OrderObstacle | None:
    """Return why a planned load may not be ordered now, or None if it may."""
    obstacle = _server_obstacle(placement, move, item, server, now)
    if obstacle is not None:
        return obstacle
    store = placement.stores[move.store]
    if not store.may_order(item.weight_bytes, now, placement.config):
        return OrderObstacle.STORE
    return None


def _server_obstacle(
    placement: PlacementState, move: Move, item: ItemRow, server: ServerState, now: float
) -> OrderObstacle | None:
    config = placement.config
    if any(needed in placement.calendar.moves for needed in move.after):
        return OrderObstacle.MOVES_BEFORE
    if item.base is not None and server.replicas[item.base].state is not ReplicaState.LOADED:
        return OrderObstacle.BASE_NOT_LOADED
    if server.confirmed_epoch != placement.leadership.epoch or now < server.retry_at:
        return OrderObstacle.UNCONFIRMED_SERVER
    if server.loads_in_flight >= server.load_slots(config, now):
        return OrderObstacle.LOAD_LIMIT
    if server.free_now_bytes(config, item.kv_bytes) < item.weight_bytes:
        return OrderObstacle.MEMORY
    if item.kind is ItemKind.ADAPTER and not server.has_adapter_slot_now():
        return OrderObstacle.ADAPTER_SLOTS
    if is_executing_order(placement, server):
        return OrderObstacle.OTHER_ORDER
    return None


def is_executing_order(placement: PlacementState, server: ServerState) -> bool:
    """Whether the server must finish an order in flight before it gets another one."""
    if not placement.config.serial_orders:
        return False
    moves = (
        placement.calendar.moves[move_id]
        for move_id in placement.calendar.by_server.get(server.server, ())
    )
    return any(move.in_flight for move in moves)
