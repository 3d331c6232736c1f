"""Drains replicas that are to be unloaded, and plans the unload of what no resource declares."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.items import ItemKey, ItemKind
from zincvale.controlplane.placement.moves import (
    Move,
    MoveKind,
    MoveReason,
    MoveState,
    Reservation,
)
from zincvale.controlplane.placement.servers import ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import MoveId

EXPECTED_UNLOAD_S = 0.2
"""Expected time of an unload; shown in the calendar, and loads that wait for it start after it."""


@attrs.frozen
class UnloadTerms:
    """Why a replica is unloaded, and the moves that must be done before.

    The reason is `MAKE_ROOM` (from `plan_loads`; `detail` names what is loaded instead, whose own
    move has the reason for that), `PREFETCH` (from `prefetch`) or `NOT_DECLARED` (from here).
    """

    reason: MoveReason
    detail: str
    after: tuple[MoveId, ...] = ()


def plan_unload(
    placement: PlacementState, server: ServerState, key: ItemKey, terms: UnloadTerms, now: float
) -> MoveId:
    """Drain a replica and put its unload on the calendar; return the move."""
    replica = server.replicas[key]
    move = _new_unload(placement, server, key, terms, now)
    replica.move = move.move_id
    placement.set_draining(server, key, replica, draining=True)
    server.planned_free_bytes += replica.item_bytes
    server.planned_free_adapters += move.item_kind is ItemKind.ADAPTER
    placement.free_memory.mark_stale(server)
    placement.calendar.put(move)
    placement.queue_review(key)
    placement.log(
        log_events.UNLOAD_PLANNED,
        move=move.move_id,
        name=move.name,
        server=server.server,
        reason=terms.reason.value,
        detail=terms.detail,
    )
    return move.move_id


def _new_unload(
    placement: PlacementState, server: ServerState, key: ItemKey, terms: UnloadTerms, now: float
) -> Move:
    kind, _, name = key.partition("/")
    start_at = now + placement.config.drain_notice_s
    return Move(
        move_id=placement.new_move_id(),
        kind=MoveKind.UNLOAD,
        state=MoveState.DRAINING,
        reason=terms.reason,
        detail=terms.detail,
        server=server.server,
        address=server.address,
        zone=server.zone,
        created_at=now,
        start_at=start_at,
        expected_end=start_at + EXPECTED_UNLOAD_S,
        item_kind=ItemKind(kind),
        name=name,
        reservation=Reservation(memory_bytes=server.replicas[key].item_bytes),
        after=terms.after,
    )


def unload_undeclared(placement: PlacementState, now: float) -> None:
    """System: unload replicas of models and adapters that were deleted from the intent.

    A process that has no intent yet knows nothing of what is declared, and unloads nothing.
    """
    if placement.intent.version == 0:
        return
    due = placement.undeclared.due
    while due and due[0][0] <= now:
        _, server_id, key = due.popleft()
        found_at = placement.undeclared.found_at.get(key, {}).get(server_id)
        if found_at is None:
            continue
        if found_at + placement.config.undeclared_grace_s <= now and placement.leadership.is_leader:
            _unload_undeclared_replica(placement, placement.servers[server_id], key, now)
        # Looked at again until it is gone: the unload may fail, or not be possible yet.
        due.append((now + placement.config.undeclared_grace_s, server_id, key))


def _unload_undeclared_replica(
    placement: PlacementState, server: ServerState, key: ItemKey, now: float
) -> None:
    replica = server.replicas.get(key)
    if replica is None or replica.move is not None or replica.state is not ReplicaState.LOADED:
        return
    if not server.is_serving or server.confirmed_epoch != placement.leadership.epoch:
        return
    terms = UnloadTerms(MoveReason.NOT_DECLARED, "no resource declares it")
    plan_unload(placement, server, key, terms, now)
