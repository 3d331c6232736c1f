"""Applies the servers' responses to orders."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import OrderRefusal
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveState
from zincvale.controlplane.placement.order_confirmation import mark_unknown
from zincvale.controlplane.placement.state import PlacementState

BUSY_BACKOFF_S = 0.5
"""Pause before the next order to a server that refused one because it was busy."""


def apply_accepted(placement: PlacementState, order_id: str, now: float, *, done: bool) -> None:
    """Apply an accepted order; if it is not done yet, a later status or response shows its end."""
    move = _move_awaiting_response(placement, order_id)
    if move is None and done:
        move = _running_move(placement, order_id)
    if move is None:
        return
    running = attrs.evolve(move, state=MoveState.RUNNING, responded_at=now)
    if done:
        end_move(placement, running, MoveState.DONE, "answered as done", now)
    else:
        placement.calendar.put(running)


def apply_refused(placement: PlacementState, order_id: str, why: OrderRefusal, now: float) -> None:
    """Apply a refused order; it never runs, so its reservation is released at once."""
    move = _move_awaiting_response(placement, order_id)
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
    """Apply an order that got no response, or whose end could not be learned; it may still run."""
    move = _move_awaiting_response(placement, order_id)
    if move is None and placement.config.confirms_orders:
        move = _running_move(placement, order_id)
    if move is not None:
        mark_unknown(placement, move)


def _move_awaiting_response(placement: PlacementState, order_id: str) -> Move | None:
    move = placement.calendar.of_order(order_id)
    if move is None or move.state not in (MoveState.ORDERED, MoveState.UNKNOWN):
        return None
    return move


def _running_move(placement: PlacementState, order_id: str) -> Move | None:
    """Return the move of an order that was accepted before, or None."""
    move = placement.calendar.of_order(order_id)
    return move if move is not None and move.state is MoveState.RUNNING else None
