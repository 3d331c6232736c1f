"""Compares the replicas of a server with those that its status lists, and follows the status.

A status says nothing about what changed after it was requested: an order sent since then is newer
than the status, so the status does not change its move.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import StatusReport
from zincvale.controlplane.placement.items import ItemKey, adapter_key, model_key
from zincvale.controlplane.placement.move_completion import adopt_load, end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveState
from zincvale.controlplane.placement.order_confirmation import (
    handle_missing_effect,
    handle_observed_load,
    mark_running,
)
from zincvale.controlplane.placement.servers import NEVER, Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.unknown_sizes import bound_unknown_sizes
from zincvale.model.control_tables import ServerRow


def update_replicas(
    placement: PlacementState, server: ServerState, report: StatusReport, now: float
) -> bool:
    """Update the replicas from the status; return whether they are equal to it afterwards."""
    reported = _reported_states(placement, server, report)
    for key, state in reported.items():
        replica = server.replicas.get(key)
        if replica is None:
            _add_reported(placement, server, key, state, report.row, now)
        else:
            observed = _ReportedReplica(server, key, replica, state, report.requested_at)
            _apply_reported(placement, observed, now)
    if len(server.replicas) > len(reported):
        for key in [key for key in server.replicas if key not in reported]:
            # The end of a model's unload removes its adapters as well.
            if key in server.replicas:
                _apply_unreported(placement, server, key, report.requested_at, now)
    bound_unknown_sizes(placement, server)
    listed = [server.replicas[key] for key in reported if key in server.replicas]
    server.listed_bytes = sum(replica.item_bytes for replica in listed)
    return len(server.replicas) == len(listed) == len(reported)


def _reported_states(
    placement: PlacementState, server: ServerState, report: StatusReport
) -> dict[ItemKey, ReplicaState]:
    row = report.row
    reported: dict[ItemKey, ReplicaState] = {}
    for model in sorted(row.models):
        reported[model_key(model)] = ReplicaState.LOADED
    for adapter in sorted(row.adapters):
        reported[adapter_key(adapter)] = ReplicaState.LOADED
    for names, state in (
        (row.loading, ReplicaState.LOADING),
        (report.unloading, ReplicaState.UNLOADING),
    ):
        for name in sorted(names):
            key = _known_key(placement, server, name)
            if key is not None:
                reported[key] = state
    return reported


def _known_key(placement: PlacementState, server: ServerState, name: str) -> ItemKey | None:
    """Return the key of an item that is declared, or that was retired while an order concerns it.

    The replica of a retired item must not look unreported: its memory is in use until the order
    ends.
    """
    for key in (model_key(name), adapter_key(name)):
        if key in placement.items or key in server.replicas:
            return key
    return None


def _add_reported(
    placement: PlacementState,
    server: ServerState,
    key: ItemKey,
    state: ReplicaState,
    row: ServerRow,
    now: float,
) -> None:
    """Add a replica that the status shows and the tables lack."""
    item = placement.items.get(key)
    if item is None:
        placement.undeclared.add(key, server.server, placement.config.undeclared_grace_s, now)
        # A server's reported memory use contains the replica (`unexplained_bytes`).
        is_size_known = row.used_bytes > 0
        replica = Replica(state, 0, 0, now, is_size_known=is_size_known)
        placement.add_replica(server, key, replica)
        if placement.leadership.is_leader:
            placement.log(log_events.UNDECLARED_REPLICA, server=server.server, name=key)
        return
    replica = Replica(state, item.weight_bytes, item.kv_bytes, now)
    placement.add_replica(server, key, replica)
    if state is ReplicaState.LOADING:
        adopt_load(placement, server, item, replica, now)


@attrs.frozen
class _ReportedReplica:
    """A replica that is in the tables and in a status.

    Attributes
    ----------
    state : the state that the status shows.
    requested_at : when the status was requested.
    """

    server: ServerState
    key: ItemKey
    replica: Replica
    state: ReplicaState
    requested_at: float


def _apply_reported(placement: PlacementState, observed: _ReportedReplica, now: float) -> None:
    replica, state, requested_at = observed.replica, observed.state, observed.requested_at
    move = move_in_flight(placement, replica)
    if move is None:
        _apply_unexpected_state(placement, observed, now)
        return
    if requested_at < move.start_at:
        return
    if move.kind is MoveKind.LOAD:
        handle_observed_load(placement, move, replica, state, now)
        return
    if state is ReplicaState.UNLOADING:
        mark_running(placement, move, now)
    else:
        handle_missing_effect(placement, move, replica, requested_at, now)


def _apply_unexpected_state(
    placement: PlacementState, observed: _ReportedReplica, now: float
) -> None:
    """Take over a replica state that no order of this process explains."""
    server, key, replica = observed.server, observed.key, observed.replica
    if observed.state is replica.state:
        return
    placement.set_replica_state(server, key, replica, observed.state)
    replica.since = now
    placement.queue_review(key)
    item = placement.items.get(key)
    if observed.state is ReplicaState.LOADING and item is not None:
        adopt_load(placement, server, item, replica, now)


def _apply_unreported(
    placement: PlacementState, server: ServerState, key: ItemKey, requested_at: float, now: float
) -> None:
    """Update a replica that is in the tables and not in the status."""
    replica = server.replicas[key]
    move = move_in_flight(placement, replica)
    if move is None:
        if placement.config.confirms_orders and NEVER < requested_at < replica.since:
            # The server reported the end of the load directly, after the status was requested.
            return
        pending = (
            placement.calendar.moves.get(replica.move_id) if replica.move_id is not None else None
        )
        if pending is not None:
            end_move(placement, pending, MoveState.CANCELLED, "the server no longer holds it", now)
        placement.remove_replica(server, key)
        return
    if requested_at < move.start_at:
        return
    if move.kind is MoveKind.UNLOAD:
        end_move(placement, move, MoveState.DONE, "observed", now)
        return
    handle_missing_effect(placement, move, replica, requested_at, now)


def move_in_flight(placement: PlacementState, replica: Replica) -> Move | None:
    """Return the move of a replica that its server may be carrying out, or None."""
    if replica.move_id is None:
        return None
    move = placement.calendar.moves.get(replica.move_id)
    if move is None or not move.in_flight:
        return None
    return move
