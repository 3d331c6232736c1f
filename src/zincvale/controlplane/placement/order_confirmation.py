"""Confirms the outcome of orders by the servers' own statuses.

This module guards against two races:

- An order without a response may still wait in the socket of a frozen server, and a server that
  resumes may respond to a status request before it handles that order. Therefore the order's
  reservation stays until two statuses do not show the order's effect. The first must be requested
  after the order's lifetime, the second a confirmation interval after the first arrived. The server
  was running in between and has handled everything in its sockets.
- Orders of an earlier leader may still arrive. Therefore a new leader sends a server no order
  before the server has responded to two status requests, again a confirmation interval apart and
  both sent after the lifetime of every earlier order. With the option `one_status_confirms`, one
  response is enough.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveState
from zincvale.controlplane.placement.servers import Replica, ReplicaState, ServerState
from zincvale.controlplane.placement.state import PlacementState


def confirm_no_stale_orders(
    placement: PlacementState, server: ServerState, requested_at: float, now: float
) -> None:
    """Confirm a server for orders once its statuses rule out orders of an earlier leader."""
    leadership = placement.leadership
    if not leadership.is_leader or server.confirmed_epoch == leadership.epoch:
        return
    if requested_at < leadership.gained_at + placement.config.order_lifetime_s:
        return
    if not placement.config.one_status_confirms and server.first_response_at < leadership.gained_at:
        server.first_response_at = now
        return
    if (
        placement.config.one_status_confirms
        or requested_at >= server.first_response_at + placement.config.confirmation_interval_s
    ):
        server.confirmed_epoch = leadership.epoch
        placement.unplaced.mark_new_capacity()
        placement.log(log_events.SERVER_CONFIRMED, server=server.server, epoch=leadership.epoch)


def handle_observed_load(
    placement: PlacementState, move: Move, replica: Replica, state: ReplicaState, now: float
) -> None:
    """Update a load in flight that the server's status shows as loading or loaded."""
    replica.contradicted_at = None
    if state is ReplicaState.LOADED:
        end_move(placement, move, MoveState.DONE, "observed", now)
    else:
        mark_running(placement, move, now)


def mark_running(placement: PlacementState, move: Move, now: float) -> None:
    """Mark a move as running: the server is carrying out its order."""
    if move.state is not MoveState.RUNNING:
        placement.calendar.put(attrs.evolve(move, state=MoveState.RUNNING, responded_at=now))


def handle_missing_effect(
    placement: PlacementState, move: Move, replica: Replica, requested_at: float, now: float
) -> None:
    """Update a move in flight whose effect a status, requested after the order, does not show."""
    if move.state is MoveState.ORDERED:
        return
    was_accepted = move.responded_at is not None and requested_at >= move.responded_at
    if was_accepted and move.kind is MoveKind.LOAD:
        end_move(placement, move, MoveState.FAILED, "the server took it and does not show it", now)
        return
    if requested_at < move.start_at + placement.config.order_lifetime_s:
        return
    if replica.contradicted_at is None:
        replica.contradicted_at = now
        return
    if requested_at >= replica.contradicted_at + placement.config.confirmation_interval_s:
        end_move(placement, move, MoveState.FAILED, "the server's status does not show it", now)


def expire_overdue_orders(placement: PlacementState, now: float) -> None:
    """System: mark overdue orders as unknown; release the store slots of unresponsive servers."""
    for server_id in list(placement.awaiting_status):
        for move_id in list(placement.calendar.by_server.get(server_id, ())):
            move = placement.calendar.moves[move_id]
            is_overdue = now >= move.start_at + placement.config.order_lifetime_s
            if move.state is MoveState.ORDERED and is_overdue:
                mark_unknown(placement, move)
        _release_store_slots(placement, placement.servers.get(server_id), now)


def mark_unknown(placement: PlacementState, move: Move) -> None:
    """Mark the outcome of an order as unknown; its reservation stays."""
    placement.calendar.put(attrs.evolve(move, state=MoveState.UNKNOWN))
    placement.log(log_events.ORDER_UNKNOWN, move=move.move_id, server=move.server, name=move.name)


def _release_store_slots(placement: PlacementState, server: ServerState | None, now: float) -> None:
    """Release the store slots of a server that has been unresponsive for very long."""
    if server is None or server.is_serving or server.loads_in_flight == 0:
        return
    if server.down_since + placement.config.unresponsive_release_s > now or server.down_since < 0.0:
        return
    for move_id in placement.calendar.by_server.get(server.server, ()):
        store = placement.store_slots.pop(move_id, None)
        if store is not None:
            placement.stores[store].release_slot()
