"""System: publishes what changed in the calendar and in the closing marks."""

from __future__ import annotations

from zincvale.controlplane.placement.events import MarkDraining, PublishMoves
from zincvale.controlplane.placement.moves import Move
from zincvale.controlplane.placement.state import World
from zincvale.model.identifiers import ServerId


def trim_history(world: World, now: float) -> None:
    """System: drop finished moves that are old or too many."""
    oldest = now - world.config.finished_move_keep_s
    history = world.finished_moves
    while history:
        move_id, move = next(iter(history.items()))
        recent = move.finished_at is not None and move.finished_at > oldest
        if recent and len(history) <= world.config.finished_moves_kept:
            return
        del history[move_id]
        world.changed_moves.pop(move_id, None)
        world.removed_moves.append(move_id)


def publish_changes(world: World, now: float) -> None:
    """System: emit changed rows of the calendar and changed closing marks.

    Only the leader publishes; its first publication replaces what its predecessor left.
    """
    if not world.leadership.held:
        world.changed_moves.clear()
        world.removed_moves.clear()
        return
    _publish_closing(world)
    if world.leadership.published_epoch != world.leadership.epoch:
        world.leadership.published_epoch = world.leadership.epoch
        rows = (*world.moves.values(), *world.finished_moves.values())
        world.effects.append(PublishMoves(rows, whole=True))
    elif world.changed_moves or world.removed_moves:
        world.effects.append(PublishMoves(_changed_rows(world), tuple(world.removed_moves)))
    world.changed_moves.clear()
    world.removed_moves.clear()


def _publish_closing(world: World) -> None:
    for server_id in world.changed_closing:
        names = _closing_names(world, server_id)
        world.effects.append(MarkDraining(server_id, names))
    world.changed_closing.clear()


def _changed_rows(world: World) -> tuple[Move, ...]:
    rows = []
    for move_id in world.changed_moves:
        move = world.moves.get(move_id) or world.finished_moves.get(move_id)
        if move is not None:
            rows.append(move)
    return tuple(rows)


def _closing_names(world: World, server_id: ServerId) -> frozenset[str]:
    server = world.servers.get(server_id)
    if server is None:
        return frozenset()
    return frozenset(
        key.partition("/")[2] for key, holding in server.holdings.items() if holding.closing
    )
