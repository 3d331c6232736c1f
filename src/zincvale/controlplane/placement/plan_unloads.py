"""Plans unloads, which begin with a drain, and unloads replicas that no resource declares."""

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
"""Expected duration of an unload; the calendar shows it, and loads that wait for the unload are
expected to start after it."""


@attrs.frozen
class UnloadPlan:
    """Why a replica is unloaded, and the moves that must be ordered before it.

    The reason is `MAKE_ROOM` (from `plan_loads`, where `detail` names the item that is loaded
    instead and the move of that load has its own reason), `PREFETCH` (from `prefetch`) or
    `NOT_DECLARED` (from this module).
    """

    reason: MoveReason
    detail: str
    after: tuple[MoveId, ...] = ()


def plan_unload(
    placement: PlacementState,
    server: ServerState,
    key: ItemKey,
    unload_plan: UnloadPlan,
    now: float,
) -> MoveId:
    """Drain a replica and add its unload to the calendar; return the identifier of the move."""
    replica = server.replicas[key]
    move = _new_unload(placement, server, key, unload_plan, now)
    replica.move_id = move.move_id
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
        reason=unload_plan.reason.value,
        detail=unload_plan.detail,
    )
    return move.move_id


def _new_unload(
    placement: PlacementState,
    server: ServerState,
    key: ItemKey,
    unload_plan: UnloadPlan,
    now: float,
) -> Move:
    kind, _, name = key.partition("/")
    start_at = now + placement.config.drain_notice_s
    return Move(
        move_id=placement.new_move_id(),
        kind=MoveKind.UNLOAD,
        state=MoveState.DRAINING,
        reason=unload_plan.reason,
        detail=unload_plan.detail,
        server=server.server,
        address=server.address,
        zone=server.zone,
        created_at=now,
        start_at=start_at,
        expected_end=start_at + EXPECTED_UNLOAD_S,
        item_kind=ItemKind(kind),
        name=name,
        reservation=Reservation(memory_bytes=server.replicas[key].item_bytes),
        after=unload_plan.after,
    )


def unload_undeclared(placement: PlacementState, now: float) -> None:
    """System: unload replicas of models and adapters that the intent does not declare.

    A process that has no intent yet does not know what is declared, so it unloads nothing.
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
        # The replica is checked again until it is gone: its unload may fail or not be possible yet.
        due.append((now + placement.config.undeclared_grace_s, server_id, key))


def _unload_undeclared_replica(
    placement: PlacementState, server: ServerState, key: ItemKey, now: float
) -> None:
    replica = server.replicas.get(key)
    if replica is None or replica.move_id is not None or replica.state is not ReplicaState.LOADED:
        return
    if not server.is_serving or server.confirmed_epoch != placement.leadership.epoch:
        return
    unload_plan = UnloadPlan(MoveReason.NOT_DECLARED, "no resource declares it")
    plan_unload(placement, server, key, unload_plan, now)
