"""Confirms orders by the servers' own statuses.

Two races are guarded here. An order without a response may still sit in a frozen server's socket,
and a server that wakes may respond to a status request before it handles that order. So its
reservation stays until, after the order's lifetime, one status does not show it, and a second one,
requested a confirmation interval after the first arrived, does not either: the server was awake in
between and has emptied its sockets. And a new leader may meet orders of its predecessor: a server
is given none before it has responded twice in the same way, after the lifetime of every earlier
order.
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
    """Take a status as evidence that the server carries no order of an earlier leader."""
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
        placement.unplaced.mark_capacity()
        placement.log(log_events.SERVER_CONFIRMED, server=server.server, epoch=leadership.epoch)


def confirm_load(
    placement: PlacementState, move: Move, replica: Replica, state: ReplicaState, now: float
) -> None:
    """Handle a load in flight that the server's status shows."""
    replica.contrary_since = None
    if state is ReplicaState.LOADED:
        end_move(placement, move, MoveState.DONE, "observed", now)
    else:
        mark_running(placement, move, now)


def mark_running(placement: PlacementState, move: Move, now: float) -> None:
    """Note that the server carries the order out."""
    if move.state is not MoveState.RUNNING:
        placement.calendar.put(attrs.evolve(move, state=MoveState.RUNNING, responded_at=now))


def observe_missing(
    placement: PlacementState, move: Move, replica: Replica, requested_at: float, now: float
) -> None:
    """Handle a status, requested after the order left, that shows it not carried out."""
    if move.state is MoveState.ORDERED:
        return
    taken = move.responded_at is not None and requested_at >= move.responded_at
    if taken and move.kind is MoveKind.LOAD:
        end_move(placement, move, MoveState.FAILED, "the server took it and does not show it", now)
        return
    if requested_at < move.start_at + placement.config.order_lifetime_s:
        return
    if replica.contrary_since is None:
        replica.contrary_since = now
        return
    if requested_at >= replica.contrary_since + placement.config.confirmation_interval_s:
        end_move(placement, move, MoveState.FAILED, "the server's status does not show it", now)


def expire_overdue_orders(placement: PlacementState, now: float) -> None:
    """System: mark overdue orders unconfirmed; free the slots of unresponsive servers."""
    for server_id in list(placement.watched):
        for move_id in list(placement.calendar.by_server.get(server_id, ())):
            move = placement.calendar.moves[move_id]
            overdue = now >= move.start_at + placement.config.order_lifetime_s
            if move.state is MoveState.ORDERED and overdue:
                mark_unconfirmed(placement, move)
        _release_unresponsive(placement, placement.servers.get(server_id), now)


def mark_unconfirmed(placement: PlacementState, move: Move) -> None:
    """Keep the reservation of an order that may or may not run."""
    placement.calendar.put(attrs.evolve(move, state=MoveState.UNKNOWN))
    placement.log(log_events.ORDER_UNKNOWN, move=move.move_id, server=move.server, name=move.name)


def _release_unresponsive(
    placement: PlacementState, server: ServerState | None, now: float
) -> None:
    """Give store slots of a server that was unresponsive for very long to other loads."""
    if server is None or server.is_serving or server.loads_in_flight == 0:
        return
    if server.down_since + placement.config.unresponsive_release_s > now or server.down_since < 0.0:
        return
    for move_id in placement.calendar.by_server.get(server.server, ()):
        store = placement.store_slots.pop(move_id, None)
        if store is not None:
            placement.stores[store].release()
