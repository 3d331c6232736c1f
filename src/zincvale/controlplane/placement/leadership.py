"""Gains and gives up leadership of placement.

A new leader does not rely on what it learned before it gained leadership. It plans nothing for a
server that has not reported since then, and it orders no load before every server has shown what it
may still be pulling, or the takeover limit has passed.
"""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import LeaderGained, RequestStatus
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveReason, MoveState
from zincvale.controlplane.placement.order_confirmation import mark_unknown
from zincvale.controlplane.placement.plan_loads import cancel_unsent_moves
from zincvale.controlplane.placement.servers import ServerState
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import Address, ServerId, ZoneName

NO_SERVER = ServerId("")
"""Server of the move that shows the wait after a change of leader, which concerns no server."""
STATUS_BUDGET = 200
"""Maximum number of status requests in one run.

A higher limit makes the run take longer; a lower one slows down the takeover of a large fleet."""
STATUS_LOAD_FRACTION = 0.1
"""Statuses are requested during this last fraction of a load's expected duration."""
MAX_STATUS_INTERVAL_S = 1.0
"""Maximum interval between status requests near the end of a load.

It is also the longest delay until the end is noticed."""


def apply_leadership(placement: PlacementState, event: LeaderGained, now: float) -> None:
    """Start leading under a new epoch, or extend the lease of the current one."""
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
    leadership.is_takeover_complete = False
    leadership.first_order_at = now + placement.config.first_order_delay_s
    for store in placement.stores.values():
        store.assume_earlier_loads(placement.config.first_order_delay_s, now)
    placement.awaiting_status.update(dict.fromkeys(placement.servers))
    for key in placement.items:
        placement.queue_review(key)
    placement.log(log_events.LEADERSHIP_GAINED, epoch=event.epoch)
    _add_takeover_wait(placement, now)


def give_up_leadership(placement: PlacementState, now: float) -> None:
    """Stop planning; orders without a response become unknown and keep their reservations."""
    if not placement.leadership.is_leader:
        return
    cancel_unsent_moves(placement, now, "the leader lease ended")
    for move in list(placement.calendar.moves.values()):
        if move.kind in (MoveKind.DRAIN, MoveKind.WAIT):
            end_move(placement, move, MoveState.CANCELLED, "the leader lease ended", now)
        elif move.state is MoveState.ORDERED:
            mark_unknown(placement, move)
    placement.drains.move_by_server.clear()
    placement.leadership.is_leader = False
    placement.leadership.is_takeover_complete = False
    placement.log(log_events.LEADERSHIP_LOST, epoch=placement.leadership.epoch)


def expire_leadership(placement: PlacementState, now: float) -> None:
    """System: give up leadership if the lease was not renewed in time."""
    if placement.leadership.is_leader and now >= placement.leadership.acts_until:
        give_up_leadership(placement, now)


def complete_takeover(placement: PlacementState, now: float) -> None:
    """System: end the wait after a change of leader, so that stores may be used.

    It ends when every server is confirmed, or at the takeover limit, but never before the lifetime
    of earlier orders has passed.
    """
    leadership = placement.leadership
    if not leadership.is_leader or leadership.is_takeover_complete:
        return
    limit = leadership.gained_at + placement.config.takeover_limit_s
    if now < limit and not _all_confirmed(placement):
        return
    if now < leadership.gained_at + placement.config.order_lifetime_s:
        return
    leadership.is_takeover_complete = True
    for move in list(placement.calendar.moves.values()):
        if move.kind is MoveKind.WAIT:
            end_move(placement, move, MoveState.DONE, "the servers' own statuses are known", now)


def request_statuses(placement: PlacementState, now: float) -> None:
    """System: request the statuses that pending decisions depend on."""
    if not placement.leadership.is_leader:
        return
    requested = 0
    for server_id in list(placement.awaiting_status):
        server = placement.servers[server_id]
        is_confirmed = server.confirmed_epoch == placement.leadership.epoch
        if is_confirmed and not placement.calendar.by_server.get(server_id):
            placement.awaiting_status.pop(server_id, None)
            continue
        if requested >= STATUS_BUDGET or now < _next_request_at(placement, server):
            continue
        requested += 1
        server.status_requested_at = now
        placement.effects.append(RequestStatus(server_id, server.address))


def _next_request_at(placement: PlacementState, server: ServerState) -> float:
    """Return when the server's status should be requested next.

    For a running load, statuses are requested from shortly before its expected end, at an interval
    in proportion to its expected duration.
    """
    config = placement.config
    last_request_at = max(server.requested_at, server.status_requested_at)
    soonest = float("inf")
    if server.confirmed_epoch != placement.leadership.epoch:
        soonest = last_request_at + config.status_interval_s
    for move_id in placement.calendar.by_server.get(server.server, ()):
        move = placement.calendar.moves[move_id]
        if not move.in_flight:
            continue
        if config.confirms_orders and move.state is not MoveState.UNKNOWN:
            continue
        if move.kind is not MoveKind.LOAD or move.state is not MoveState.RUNNING:
            soonest = min(soonest, last_request_at + config.status_interval_s)
            continue
        margin_s = STATUS_LOAD_FRACTION * (move.expected_end - move.start_at)
        interval_s = min(max(margin_s, config.min_status_interval_s), MAX_STATUS_INTERVAL_S)
        soonest = min(soonest, max(move.expected_end - margin_s, last_request_at + interval_s))
    return soonest


def _all_confirmed(placement: PlacementState) -> bool:
    """Whether all servers, including unresponsive ones, are confirmed under the current epoch."""
    epoch = placement.leadership.epoch
    return all(server.confirmed_epoch == epoch for server in placement.servers.values())


def _add_takeover_wait(placement: PlacementState, now: float) -> None:
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
