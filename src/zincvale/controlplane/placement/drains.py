"""System: tracks drains and evacuations until no required replica is missing elsewhere."""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.items import ItemKind, ItemRow
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveReason, MoveState
from zincvale.controlplane.placement.servers import ServerState
from zincvale.controlplane.placement.state import PlacementState

DRAIN_CHECK_INTERVAL_S = 1.0
"""Interval between two checks of a drained server; also the longest delay until a drain that is
complete is shown as done."""


def track_drains(placement: PlacementState, now: float) -> None:
    """System: create, update and end the drain move of each server that is out of service."""
    if not placement.leadership.is_leader:
        return
    for server_id, check_at in list(placement.drains.check_at.items()):
        if check_at <= now:
            placement.drains.check_at[server_id] = now + DRAIN_CHECK_INTERVAL_S
            _update_drain(placement, placement.servers[server_id], now)


def _update_drain(placement: PlacementState, server: ServerState, now: float) -> None:
    move_id = placement.drains.move_by_server.get(server.server)
    move = placement.calendar.moves.get(move_id) if move_id is not None else None
    if server.in_service:
        del placement.drains.check_at[server.server]
        placement.drains.move_by_server.pop(server.server, None)
        if move is not None:
            end_move(placement, move, MoveState.CANCELLED, "the server is in service again", now)
        return
    missing = _models_missing_elsewhere(placement, server)
    if move_id is None and server.replicas:
        _add_drain_move(placement, server, missing, now)
    elif move is not None and not missing:
        end_move(placement, move, MoveState.DONE, "everything wanted runs elsewhere", now)
        placement.log(log_events.DRAIN_DONE, server=server.server)


def _models_missing_elsewhere(placement: PlacementState, server: ServerState) -> list[ItemRow]:
    missing = []
    for key in server.replicas:
        item = placement.items.get(key)
        if item is None or item.kind is not ItemKind.MODEL:
            continue
        required = max(item.min_replicas, 1 if item.waiting or item.planned else 0)
        if item.ready < required:
            missing.append(item)
    return missing


def _add_drain_move(
    placement: PlacementState, server: ServerState, missing: list[ItemRow], now: float
) -> None:
    reason = MoveReason.SERVER_DRAINED if server.drained else MoveReason.ZONE_EVACUATED
    longest_s = max((placement.expected_load_s(item) for item in missing), default=0.0)
    names = ", ".join(sorted(item.name for item in missing)) or "nothing"
    move = Move(
        move_id=placement.new_move_id(),
        kind=MoveKind.DRAIN,
        state=MoveState.RUNNING,
        reason=reason,
        detail=f"{len(server.replicas)} copies leave service; to be replaced: {names}",
        server=server.server,
        address=server.address,
        zone=server.zone,
        created_at=now,
        start_at=now,
        expected_end=now + longest_s,
    )
    placement.drains.move_by_server[server.server] = move.move_id
    placement.calendar.put(move)
    placement.log(log_events.DRAIN_STARTED, server=server.server, replaces=names)
