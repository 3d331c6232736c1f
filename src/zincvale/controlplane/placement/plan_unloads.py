"""Closes copies that are to be unloaded, and plans the unload of what no resource declares."""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.items import ItemKey, ItemKind
from zincvale.controlplane.placement.moves import (
    Move,
    MoveKind,
    MoveReason,
    MoveState,
    Reservation,
)
from zincvale.controlplane.placement.servers import HoldingState, ServerState
from zincvale.controlplane.placement.state import World
from zincvale.model.identifiers import MoveId

EXPECTED_UNLOAD_S = 0.2


def plan_unload(
    world: World,
    server: ServerState,
    key: ItemKey,
    reason: MoveReason,
    detail: str,
    after: tuple[MoveId, ...],
    now: float,
) -> MoveId:
    """Close a copy and put its unload on the calendar; return the move."""
    holding = server.holdings[key]
    kind, _, name = key.partition("/")
    start_at = now + world.config.closing_wait_s
    move = Move(
        move_id=world.new_move_id(),
        kind=MoveKind.UNLOAD,
        state=MoveState.CLOSING,
        reason=reason,
        detail=detail,
        server=server.server,
        address=server.address,
        zone=server.zone,
        created_at=now,
        start_at=start_at,
        expected_end=start_at + EXPECTED_UNLOAD_S,
        item_kind=ItemKind(kind),
        name=name,
        reservation=Reservation(memory_bytes=holding.item_bytes),
        after=after,
    )
    holding.move = move.move_id
    world.set_closing(server, key, holding, True)
    server.planned_free_bytes += holding.item_bytes
    server.planned_free_adapters += move.item_kind is ItemKind.ADAPTER
    world.index_free(server)
    world.put_move(move)
    world.queue_review(key)
    world.log(
        log_events.UNLOAD_PLANNED,
        move=move.move_id,
        name=name,
        server=server.server,
        reason=reason.value,
        detail=detail,
    )
    return move.move_id


def unload_undeclared(world: World, now: float) -> None:
    """System: unload copies of models and adapters that were deleted from the intent.

    A process that has no intent yet knows nothing of what is declared, and unloads nothing.
    """
    if world.intent.version == 0:
        return
    due = world.undeclared_due
    while due and due[0][0] <= now:
        _, server_id, key = due.popleft()
        found_at = world.undeclared.get(key, {}).get(server_id)
        if found_at is None:
            continue
        if found_at + world.config.undeclared_grace_s <= now and world.leadership.held:
            _unload_copy(world, world.servers[server_id], key, now)
        # Looked at again until it is gone: the unload may fail, or not be possible yet.
        due.append((now + world.config.undeclared_grace_s, server_id, key))


def _unload_copy(world: World, server: ServerState, key: ItemKey, now: float) -> None:
    holding = server.holdings.get(key)
    if holding is None or holding.move is not None or holding.state is not HoldingState.LOADED:
        return
    if not server.serving or server.settled_epoch != world.leadership.epoch:
        return
    plan_unload(world, server, key, MoveReason.NOT_DECLARED, "no resource declares it", (), now)
