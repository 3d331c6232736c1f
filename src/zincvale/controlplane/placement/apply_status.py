"""Applies server statuses to the tables and completes the moves whose effects they show.

A status says nothing about what changed after it was requested: an order sent since then is newer
than the status, so the status does not change its move.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.apply_intent import set_adapter_slots, update_service_state
from zincvale.controlplane.placement.events import DirectoryChanged, StatusReport
from zincvale.controlplane.placement.items import ItemKey, adapter_key, model_key
from zincvale.controlplane.placement.move_completion import (
    adopt_load,
    end_move,
    end_moves_of_server,
    keep_store_slots_of_server,
)
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveState
from zincvale.controlplane.placement.order_confirmation import (
    confirm_no_stale_orders,
    handle_missing_effect,
    handle_observed_load,
    mark_running,
)
from zincvale.controlplane.placement.servers import NEVER, Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.unknown_sizes import (
    bound_unknown_sizes,
    bound_unknown_sizes_anew,
)
from zincvale.model.control_tables import ServerHealth, ServerRow
from zincvale.model.identifiers import ServerId
from zincvale.model.resources import PoolKind


def apply_directory(placement: PlacementState, event: DirectoryChanged, now: float) -> None:
    """Apply the reported rows of servers, and remove servers that left the directory."""
    for report in event.reports:
        if report.row.kind is PoolKind.LANGUAGE_MODEL:
            _apply_report(placement, report, now)
    for server_id in event.departed:
        _remove_server(placement, server_id, now)


def _apply_report(placement: PlacementState, report: StatusReport, now: float) -> None:
    row = report.row
    server = placement.servers.get(row.server)
    if server is None:
        server = _add_server(placement, row)
    if row.health is ServerHealth.DOWN:
        _apply_down(placement, server, now)
        return
    if report.requested_at < server.requested_at:
        return
    server.requested_at = report.requested_at
    if row.incarnation != server.incarnation:
        _apply_incarnation(placement, server, row, now)
    _apply_row(placement, server, row)
    _apply_replicas(placement, server, report, now)
    if report.is_from_server:
        _log_uncounted_replicas(placement, server, row)
        confirm_no_stale_orders(placement, server, report.requested_at, now)


def _add_server(placement: PlacementState, row: ServerRow) -> ServerState:
    server = ServerState(row.server, row.address, row.pool, row.zone)
    placement.servers[row.server] = server
    placement.server_index.by_address[row.address] = row.server
    placement.server_index.add_to_pool_and_zone(server)
    placement.awaiting_status[row.server] = None
    placement.unplaced.mark_new_capacity()
    update_service_state(placement, server)
    set_adapter_slots(placement, server)
    return server


def _apply_down(placement: PlacementState, server: ServerState, now: float) -> None:
    if server.health is ServerHealth.DOWN:
        return
    server.health = ServerHealth.DOWN
    server.down_since = now
    server.first_response_at = NEVER
    placement.recount_server(server)


def _apply_incarnation(
    placement: PlacementState, server: ServerState, row: ServerRow, now: float
) -> None:
    """Remove the replicas of an earlier incarnation, whose memory was lost with its process.

    Orders in flight keep their reservations: the new incarnation may have accepted them, or may
    still do so. The status that showed the new incarnation, and later ones, decide that.
    """
    if server.incarnation:
        _cancel_unsent_moves(placement, server, now)
        for key, replica in list(server.replicas.items()):
            if _move_in_flight(placement, replica) is None:
                placement.remove_replica(server, key)
        server.first_response_at = NEVER
        server.listing = None
        server.cold_until = now + placement.config.cold_ramp_s
        placement.log(log_events.SERVER_RESTARTED, server=server.server, zone=server.zone)
    elif row.health is ServerHealth.COLD:
        server.cold_until = now + placement.config.cold_ramp_s
    server.incarnation = row.incarnation


def _cancel_unsent_moves(placement: PlacementState, server: ServerState, now: float) -> None:
    for move_id in list(placement.calendar.by_server.get(server.server, ())):
        move = placement.calendar.moves.get(move_id)
        if move is not None and move.kind is not MoveKind.DRAIN and not move.in_flight:
            end_move(placement, move, MoveState.CANCELLED, "the server restarted", now)


def _apply_row(placement: PlacementState, server: ServerState, row: ServerRow) -> None:
    server.running = row.running
    if row.closing and not _has_draining_replica(server):
        # An earlier leader marked replicas as draining; publishing again removes the marks.
        placement.changed_drains[server.server] = None
    server.max_running = row.max_running
    if row.address != server.address:
        placement.server_index.remove_address(server)
        server.address = row.address
        placement.server_index.by_address[row.address] = row.server
    if (row.pool, row.zone) != (server.pool, server.zone):
        _move_server(placement, server, row)
    if row.memory_bytes != server.memory_bytes:
        server.memory_bytes = row.memory_bytes
        bound_unknown_sizes_anew(placement, server)
        placement.free_memory.mark_stale(server)
    if row.health is not server.health:
        server.health = row.health
        placement.unplaced.mark_new_capacity()
        placement.recount_server(server)


def _has_draining_replica(server: ServerState) -> bool:
    return any(replica.draining for replica in server.replicas.values())


def _move_server(placement: PlacementState, server: ServerState, row: ServerRow) -> None:
    placement.free_memory.remove(server)
    placement.server_index.remove_from_pool_and_zone(server)
    server.pool = row.pool
    server.zone = row.zone
    placement.server_index.add_to_pool_and_zone(server)
    placement.free_memory.mark_stale(server)
    update_service_state(placement, server)
    set_adapter_slots(placement, server)


def _apply_replicas(
    placement: PlacementState, server: ServerState, report: StatusReport, now: float
) -> None:
    row = report.row
    listing = (row.models, row.adapters, row.loading, report.unloading)
    if listing != server.listing or placement.calendar.by_server.get(server.server):
        is_equal = _update_replicas(placement, server, report, now)
        server.listing = listing if is_equal else None
    unexplained = max(row.used_bytes - server.listed_bytes, 0)
    if unexplained != server.unexplained_bytes:
        server.unexplained_bytes = unexplained
        placement.free_memory.mark_stale(server)


def _log_uncounted_replicas(placement: PlacementState, server: ServerState, row: ServerRow) -> None:
    if not placement.leadership.is_leader:
        return
    listed = (*map(model_key, row.models), *map(adapter_key, row.adapters))
    uncounted = sorted(key for key in listed if key not in server.replicas)
    if uncounted:
        placement.log(
            log_events.UNCOUNTED_REPLICAS,
            server=server.server,
            names=uncounted,
            counted=len(server.replicas),
        )


def _update_replicas(
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
    move = _move_in_flight(placement, replica)
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
    move = _move_in_flight(placement, replica)
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


def _move_in_flight(placement: PlacementState, replica: Replica) -> Move | None:
    if replica.move_id is None:
        return None
    move = placement.calendar.moves.get(replica.move_id)
    if move is None or not move.in_flight:
        return None
    return move


def _remove_server(placement: PlacementState, server_id: ServerId, now: float) -> None:
    server = placement.servers.get(server_id)
    if server is None:
        return
    keep_store_slots_of_server(placement, server, now)
    end_moves_of_server(placement, server, "the server left the directory", now)
    for key in list(server.replicas):
        placement.remove_replica(server, key)
    placement.free_memory.remove(server)
    placement.server_index.remove_address(server)
    placement.server_index.remove_from_pool_and_zone(server)
    placement.calendar.by_server.pop(server_id, None)
    placement.awaiting_status.pop(server_id, None)
    placement.drains.check_at.pop(server_id, None)
    del placement.servers[server_id]
    placement.log(log_events.SERVER_GONE, server=server_id, zone=server.zone)
