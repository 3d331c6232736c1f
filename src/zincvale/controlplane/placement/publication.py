"""Systems that trim the finished moves, and publish changed moves and draining replicas."""

from __future__ import annotations

from zincvale.controlplane.placement.events import MarkDraining, PublishMoves
from zincvale.controlplane.placement.moves import Move
from zincvale.controlplane.placement.state import PlacementState
from zincvale.model.identifiers import ServerId


def trim_history(placement: PlacementState, now: float) -> None:
    """System: drop finished moves beyond the limits on their age and number."""
    oldest = now - placement.config.finished_move_retention_s
    history = placement.calendar.finished
    while history:
        move_id, move = next(iter(history.items()))
        is_recent = move.finished_at is not None and move.finished_at > oldest
        if is_recent and len(history) <= placement.config.max_finished_moves:
            return
        del history[move_id]
        placement.calendar.changed.pop(move_id, None)
        placement.calendar.removed.append(move_id)


def publish_changes(placement: PlacementState, _now: float) -> None:
    """System: publish changed rows of the calendar and changed sets of draining replicas.

    Only the leader publishes; its first publication replaces all rows of its predecessor.
    """
    if not placement.leadership.is_leader:
        placement.calendar.changed.clear()
        placement.calendar.removed.clear()
        return
    _publish_draining(placement)
    if placement.leadership.published_epoch != placement.leadership.epoch:
        placement.leadership.published_epoch = placement.leadership.epoch
        rows = (*placement.calendar.moves.values(), *placement.calendar.finished.values())
        placement.effects.append(PublishMoves(rows, is_complete=True))
    elif placement.calendar.changed or placement.calendar.removed:
        placement.effects.append(
            PublishMoves(_changed_rows(placement), tuple(placement.calendar.removed))
        )
    placement.calendar.changed.clear()
    placement.calendar.removed.clear()


def _publish_draining(placement: PlacementState) -> None:
    for server_id in placement.changed_drains:
        names = _draining_names(placement, server_id)
        placement.effects.append(MarkDraining(server_id, names))
    placement.changed_drains.clear()


def _changed_rows(placement: PlacementState) -> tuple[Move, ...]:
    rows = []
    for move_id in placement.calendar.changed:
        move = placement.calendar.moves.get(move_id) or placement.calendar.finished.get(move_id)
        if move is not None:
            rows.append(move)
    return tuple(rows)


def _draining_names(placement: PlacementState, server_id: ServerId) -> frozenset[str]:
    server = placement.servers.get(server_id)
    if server is None:
        return frozenset()
    return frozenset(
        key.partition("/")[2] for key, replica in server.replicas.items() if replica.draining
    )
