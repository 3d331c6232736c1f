"""The calendar: all planned, running and recently finished moves, with indexes."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.controlplane.placement.moves import Move
from zincvale.model.identifiers import MoveId, ServerId


@attrs.define(eq=False)
class Calendar:
    """All moves; rows are changed only through `put` and `retire`.

    Attributes
    ----------
    moves : unfinished moves, in the order in which they were planned.
    finished : finished moves, oldest first; trimmed by `publication`.
    by_order : the unfinished move of each order that was sent.
    by_server : unfinished moves of each server, in the order in which they were planned.
    load_by_unload : the load that waits for each unload.
    changed, removed : moves whose rows are to be published, or removed from the topic.
    """

    moves: dict[MoveId, Move] = attrs.field(factory=dict)
    finished: OrderedDict[MoveId, Move] = attrs.field(factory=OrderedDict)
    by_order: dict[str, MoveId] = attrs.field(factory=dict)
    by_server: dict[ServerId, dict[MoveId, None]] = attrs.field(factory=dict)
    load_by_unload: dict[MoveId, MoveId] = attrs.field(factory=dict)
    changed: dict[MoveId, None] = attrs.field(factory=dict)
    removed: list[MoveId] = attrs.field(factory=list)

    def put(self, move: Move) -> None:
        """Add or replace an unfinished move."""
        self.moves[move.move_id] = move
        self.by_server.setdefault(move.server, {})[move.move_id] = None
        if move.order_id:
            self.by_order[move.order_id] = move.move_id
        self.changed[move.move_id] = None

    def retire(self, move: Move) -> None:
        """Replace an unfinished move by its finished row."""
        self.moves.pop(move.move_id, None)
        self.by_server.get(move.server, {}).pop(move.move_id, None)
        self.by_order.pop(move.order_id, None)
        self.finished[move.move_id] = move
        self.changed[move.move_id] = None

    def of_order(self, order_id: str) -> Move | None:
        """Return the unfinished move of an order, or None."""
        move_id = self.by_order.get(order_id)
        return self.moves.get(move_id) if move_id is not None else None
