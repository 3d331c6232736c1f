"""Gains and gives up leadership of placement.

A new leader trusts no memory: it plans nothing for a server that has not reported since, and
orders no load before every reachable server has shown what it may still be pulling.
"""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import LeaderGained, RequestStatus
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveReason, MoveState
from zincvale.controlplane.placement.order_confirmation import mark_unconfirmed
from zincvale.controlplane.placement.plan_loads import cancel_planned
from zincvale.controlplane.placement.servers import ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import Address, ServerId, ZoneName

NO_SERVER = ServerId("")
"""The wait after a change of leader belongs to no server."""
STATUS_BUDGET = 200
"""Status requests in one run; more delay the run, fewer slow a takeover of a large fleet."""
STATUS_LOAD_FRACTION = 0.1
"""Part of a load's time before its expected end from which its status is requested."""
MAX_STATUS_INTERVAL_S = 1.0
"""Longest time between status requests near the end of a load; the end is seen that much later."""


def apply_leadership(placement: PlacementState, event: LeaderGained, now: float) -> None:
    """Hold the lease under a new epoch, or hold it for longer."""
    leadership = placement.leadership
    if leadership.is_leader and event.epoch == leadership.epoch:
        leadership.acts_until = max(leadership.acts_until, event.acts_until)
        return
    if event.epoch < leadership.epoch:
        return
    give_up_leadership(placement, now)
    leadership.epoch = event.epoch
    leadership.is_leader = True
    leadership.acts_until = event.acts_until
    leadership.gained_at = now
    leadership.stores_open = False
    leadership.orders_from = now + placement.config.first_order_delay_s
    for store in placement.stores.values():
        store.assume_begun(placement.config.first_order_delay_s, now)
    placement.watched.update(dict.fromkeys(placement.servers))
    for key in placement.items:
        placement.queue_review(key)
    placement.log(log_events.LEADERSHIP_GAINED, epoch=event.epoch)
    _plan_wait(placement, now)


def give_up_leadership(placement: PlacementState, now: float) -> None:
    """Plan nothing more; orders in flight keep their reservations as unknown."""
    if not placement.leadership.is_leader:
        return
    cancel_planned(placement, now, "the leader lease ended")
    for move in list(placement.calendar.moves.values()):
        if move.kind in (MoveKind.DRAIN, MoveKind.WAIT):
            end_move(placement, move, MoveState.CANCELLED, "the leader lease ended", now)
        elif move.state is MoveState.ORDERED:
            mark_unconfirmed(placement, move)
    placement.drains.move_by_server.clear()
    placement.leadership.is_leader = False
    placement.leadership.stores_open = False
    placement.log(log_events.LEADERSHIP_LOST, epoch=placement.leadership.epoch)


def expire_leadership(placement: PlacementState, now: float) -> None:
    """System: stop when the lease was not renewed in time."""
    if placement.leadership.is_leader and now >= placement.leadership.acts_until:
        give_up_leadership(placement, now)


def open_stores(placement: PlacementState, now: float) -> None:
    """System: end the wait after a change of leader."""
    leadership = placement.leadership
    if not leadership.is_leader or leadership.stores_open:
        return
    limit = leadership.gained_at + placement.config.takeover_limit_s
    if now < limit and not _all_confirmed(placement):
        return
    if now < leadership.gained_at + placement.config.order_lifetime_s:
        return
    leadership.stores_open = True
    for move in list(placement.calendar.moves.values()):
        if move.kind is MoveKind.WAIT:
            end_move(placement, move, MoveState.DONE, "the servers' own statuses are known", now)


def request_statuses(placement: PlacementState, now: float) -> None:
    """System: request the status of the servers that a decision waits for."""
    if not placement.leadership.is_leader:
        return
    requested = 0
    for server_id in list(placement.watched):
        server = placement.servers[server_id]
        confirmed = server.confirmed_epoch == placement.leadership.epoch
        if confirmed and not placement.calendar.by_server.get(server_id):
            placement.watched.pop(server_id, None)
            continue
        if requested >= STATUS_BUDGET or now < _next_request_at(placement, server):
            continue
        requested += 1
        server.status_requested_at = now
        placement.effects.append(RequestStatus(server_id, server.address))


def _next_request_at(placement: PlacementState, server: ServerState) -> float:
    """Return when the server's next status is worth asking for.

    The status of a load is requested from shortly before its expected end, more often the shorter
    it is.
    """
    config = placement.config
    last = max(server.requested_at, server.status_requested_at)
    soonest = float("inf")
    if server.confirmed_epoch != placement.leadership.epoch:
        soonest = last + config.status_interval_s
    for move_id in placement.calendar.by_server.get(server.server, ()):
        move = placement.calendar.moves[move_id]
        if not move.in_flight:
            continue
        if config.confirms_orders and move.state is not MoveState.UNKNOWN:
            continue
        if move.kind is not MoveKind.LOAD or move.state is not MoveState.RUNNING:
            soonest = min(soonest, last + config.status_interval_s)
            continue
        part_s = STATUS_LOAD_FRACTION * (move.expected_end - move.start_at)
        interval_s = min(max(part_s, config.min_status_interval_s), MAX_STATUS_INTERVAL_S)
        soonest = min(soonest, max(move.expected_end - part_s, last + interval_s))
    return soonest


def _all_confirmed(placement: PlacementState) -> bool:
    """Whether no server, not even an unresponsive one, may still carry out an earlier order."""
    epoch = placement.leadership.epoch
    return all(server.confirmed_epoch == epoch for server in placement.servers.values())


def _plan_wait(placement: PlacementState, now: float) -> None:
    config = placement.config
    placement.calendar.put(
        Move(
            move_id=placement.new_move_id(),
            kind=MoveKind.WAIT,
            state=MoveState.RUNNING,
            reason=MoveReason.LEADER_CHANGED,
            detail="no orders before the servers' own statuses are newer than any earlier order",
            server=NO_SERVER,
            address=Address(""),
            zone=ZoneName(""),
            created_at=now,
            start_at=now,
            expected_end=now + config.order_lifetime_s + config.confirmation_interval_s,
        )
    )
