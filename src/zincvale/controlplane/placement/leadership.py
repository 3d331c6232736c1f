"""Takes and gives up leadership of placement.

A new leader trusts no memory: it plans nothing for a server that has not reported since, and
orders no load before every reachable server has shown what it may still be pulling.
"""

from __future__ import annotations

from zincvale.controlplane.placement import log_events
from zincvale.controlplane.placement.events import AskStatus, LeaderGained
from zincvale.controlplane.placement.move_completion import end_move
from zincvale.controlplane.placement.moves import Move, MoveKind, MoveReason, MoveState
from zincvale.controlplane.placement.order_confirmation import mark_unknown
from zincvale.controlplane.placement.plan_loads import cancel_planned
from zincvale.controlplane.placement.servers import ServerState
from zincvale.controlplane.placement.state import World
from zincvale.model.identifiers import Address, ServerId, ZoneName

NO_SERVER = ServerId("")
STATUS_BUDGET = 200
STATUS_PART_OF_LOAD = 0.1
LONGEST_STATUS_INTERVAL_S = 1.0


def take_leadership(world: World, event: LeaderGained, now: float) -> None:
    """Hold the lease under a new epoch, or hold it for longer."""
    leadership = world.leadership
    if leadership.held and event.epoch == leadership.epoch:
        leadership.acts_until = max(leadership.acts_until, event.acts_until)
        return
    if event.epoch < leadership.epoch:
        return
    give_up_leadership(world, now)
    leadership.epoch = event.epoch
    leadership.held = True
    leadership.acts_until = event.acts_until
    leadership.gained_at = now
    leadership.stores_open = False
    leadership.orders_from = now + world.config.orders_from_s
    for store in world.stores.values():
        store.assume_begun(world.config.orders_from_s, now)
    world.watched.update(dict.fromkeys(world.servers))
    for key in world.items:
        world.queue_review(key)
    world.log(log_events.LEADERSHIP_GAINED, epoch=event.epoch)
    _plan_wait(world, now)


def give_up_leadership(world: World, now: float) -> None:
    """Plan nothing more; orders in flight keep their reservations as unknown."""
    if not world.leadership.held:
        return
    cancel_planned(world, now, "the leader lease ended")
    for move in list(world.moves.values()):
        if move.kind in (MoveKind.DRAIN, MoveKind.WAIT):
            end_move(world, move, MoveState.CANCELLED, "the leader lease ended", now)
        elif move.state is MoveState.ORDERED:
            mark_unknown(world, move)
    world.drain_by_server.clear()
    world.leadership.held = False
    world.leadership.stores_open = False
    world.log(log_events.LEADERSHIP_LOST, epoch=world.leadership.epoch)


def expire_leadership(world: World, now: float) -> None:
    """System: stop when the lease was not renewed in time."""
    if world.leadership.held and now >= world.leadership.acts_until:
        give_up_leadership(world, now)


def open_stores(world: World, now: float) -> None:
    """System: end the wait after a change of leader."""
    leadership = world.leadership
    if not leadership.held or leadership.stores_open:
        return
    limit = leadership.gained_at + world.config.takeover_limit_s
    if now < limit and not _all_settled(world):
        return
    if now < leadership.gained_at + world.config.order_lifetime_s:
        return
    leadership.stores_open = True
    for move in list(world.moves.values()):
        if move.kind is MoveKind.WAIT:
            end_move(world, move, MoveState.DONE, "the servers' own statuses are known", now)


def ask_statuses(world: World, now: float) -> None:
    """System: ask the servers whose status is waited for."""
    if not world.leadership.held:
        return
    asked = 0
    for server_id in list(world.watched):
        server = world.servers[server_id]
        settled = server.settled_epoch == world.leadership.epoch
        if settled and not world.moves_by_server.get(server_id):
            world.watched.pop(server_id, None)
            continue
        if asked >= STATUS_BUDGET or now < _ask_at(world, server):
            continue
        asked += 1
        server.status_asked_at = now
        world.effects.append(AskStatus(server_id, server.address))


def _ask_at(world: World, server: ServerState) -> float:
    """Return when the server's next status is worth asking for.

    A load is asked about from shortly before its expected end, more often the shorter it is.
    """
    config = world.config
    last = max(server.asked_at, server.status_asked_at)
    soonest = float("inf")
    if server.settled_epoch != world.leadership.epoch:
        soonest = last + config.status_interval_s
    for move_id in world.moves_by_server.get(server.server, ()):
        move = world.moves[move_id]
        if not move.in_flight:
            continue
        if config.confirms_orders and move.state is not MoveState.UNKNOWN:
            continue
        if move.kind is not MoveKind.LOAD or move.state is not MoveState.RUNNING:
            soonest = min(soonest, last + config.status_interval_s)
            continue
        part_s = STATUS_PART_OF_LOAD * (move.expected_end - move.start_at)
        interval_s = min(max(part_s, config.shortest_status_interval_s), LONGEST_STATUS_INTERVAL_S)
        soonest = min(soonest, max(move.expected_end - part_s, last + interval_s))
    return soonest


def _all_settled(world: World) -> bool:
    """Whether no server, dark ones included, may still carry out an earlier order unseen."""
    epoch = world.leadership.epoch
    return all(server.settled_epoch == epoch for server in world.servers.values())


def _plan_wait(world: World, now: float) -> None:
    config = world.config
    world.put_move(
        Move(
            move_id=world.new_move_id(),
            kind=MoveKind.WAIT,
            state=MoveState.RUNNING,
            reason=MoveReason.LEADER_CHANGED,
            detail="no orders before the servers' own statuses are newer than any earlier order",
            server=NO_SERVER,
            address=Address(""),
            zone=ZoneName(""),
            created_at=now,
            start_at=now,
            expected_end=now + config.order_lifetime_s + config.settle_s,
        )
    )
