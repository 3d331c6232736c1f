"""Applies server statuses to the tables: rows of servers, incarnations, and servers that left.

`reported_replicas` compares the replicas and completes the moves whose effects a status shows.
"""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.apply_intent import set_adapter_slots, update_service_state
from zincvale.controlplane.placement.events import DirectoryChanged, StatusReport
from zincvale.controlplane.placement.items import adapter_key, model_key
from zincvale.controlplane.placement.move_completion import (
    end_move,
    end_moves_of_server,
    keep_store_slots_of_server,
)
from zincvale.controlplane.placement.moves import MoveKind, MoveState
from zincvale.controlplane.placement.order_confirmation import confirm_no_stale_orders
from zincvale.controlplane.placement.reported_replicas import move_in_flight, update_replicas
from zincvale.controlplane.placement.servers import NEVER, ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.controlplane.placement.unknown_sizes import bound_unknown_sizes_anew
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
            if move_in_flight(placement, replica) is None:
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
        is_equal = update_replicas(placement, server, report, now)
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
