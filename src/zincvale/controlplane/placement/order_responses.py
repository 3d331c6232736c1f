"""Applies the servers' responses to orders."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import OrderRefusal
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveState
from zincvale.controlplane.placement.order_confirmation import mark_unconfirmed
from zincvale.controlplane.placement.state import PlacementState

BUSY_BACKOFF_S = 0.5
"""Pause before the next order to a server that refused one as busy."""


def apply_accepted(placement: PlacementState, order_id: str, now: float, *, done: bool) -> None:
    """The server took the order; unless it is done, the server's status tells when it is."""
    move = _unresponded_move(placement, order_id)
    if move is None and done:
        move = _running_move(placement, order_id)
    if move is None:
        return
    taken = attrs.evolve(move, state=MoveState.RUNNING, responded_at=now)
    if done:
        end_move(placement, taken, MoveState.DONE, "answered as done", now)
    else:
        placement.calendar.put(taken)


def apply_refused(placement: PlacementState, order_id: str, why: OrderRefusal, now: float) -> None:
    """The order never ran and never will: its reservation is free at once."""
    move = _unresponded_move(placement, order_id)
    if move is None:
        return
    placement.log(log_events.ORDER_REFUSED, order=order_id, server=move.server, why=why.value)
    if why is OrderRefusal.BUSY:
        placement.servers[move.server].retry_at = now + BUSY_BACKOFF_S
    if move.kind is MoveKind.UNLOAD and why is OrderRefusal.NOT_HELD:
        end_move(placement, move, MoveState.DONE, "the server did not hold it", now)
        return
    end_move(placement, move, MoveState.FAILED, f"refused: {why.value}", now)


def apply_unknown(placement: PlacementState, order_id: str) -> None:
    """The order got no response, or its end could not be learned: it may run."""
    move = _unresponded_move(placement, order_id)
    if move is None and placement.config.confirms_orders:
        move = _running_move(placement, order_id)
    if move is not None:
        mark_unconfirmed(placement, move)


def _unresponded_move(placement: PlacementState, order_id: str) -> Move | None:
    move = placement.calendar.of_order(order_id)
    if move is None or move.state not in (MoveState.ORDERED, MoveState.UNKNOWN):
        return None
    return move


def _running_move(placement: PlacementState, order_id: str) -> Move | None:
    """Return the move of an order that was accepted before and is now reported done."""
    move = placement.calendar.of_order(order_id)
    return move if move is not None and move.state is MoveState.RUNNING else None
