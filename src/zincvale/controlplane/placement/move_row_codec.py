"""Encodes rows of the topic `moves`, and moves as JSON for `GET /v1/moves` and `/v1/moves/ID`.

Times in a row are in Unix seconds, so that any process can show them: the publisher adds the offset
between its monotonic clock and Unix time. They are only shown; no decision depends on them.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import orjson

from zincvale.controlplane.placement.draining_row_codec import DRAINING_STATE_NAMES
from zincvale.controlplane.placement.events import PublishMoves
from zincvale.controlplane.placement.items import ItemKind
from zincvale.controlplane.placement.moves import (
    Move,
    MoveKind,
    MoveReason,
    MoveState,
    Reservation,
)
from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import Address, MoveId, ServerId, StoreName, ZoneName

TIME_FIELD_BY_KEY = {
    "created_at": "created_at",
    "start_at": "start_at",
    "expected_end": "expected_end",
    "answered_at": "responded_at",
    "finished_at": "finished_at",
}
"""Time fields of `Move` by their keys in a row; the keys are part of the API and of the topic."""
DRAINING_STATES = frozenset(MoveState(state) for state in DRAINING_STATE_NAMES)
"""States of an unload in which its replica is draining."""


def encode_move(move: Move, wall_offset_s: float = 0.0) -> bytes:
    """Return the content of a move's row; `wall_offset_s` converts its times to Unix time."""
    return orjson.dumps(move_to_json(move, wall_offset_s), option=orjson.OPT_SORT_KEYS)


def decode_move(content: bytes) -> Move:
    """Return the move in a row; raises `MalformedBodyError`."""
    try:
        return _from_json(orjson.loads(content))
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedBodyError(
            f"a row of the topic moves cannot be read: {error}",
            "run the same release on every machine",
        ) from error


def topic_rows(effect: PublishMoves, wall_offset_s: float = 0.0) -> dict[str, bytes | None]:
    """Return the rows that a publication changes; None removes a row from the topic."""
    rows: dict[str, bytes | None] = dict.fromkeys(effect.removed)
    for move in effect.changed:
        rows[move.move_id] = encode_move(move, wall_offset_s)
    return rows


def move_to_json(move: Move, wall_offset_s: float = 0.0) -> dict[str, Any]:
    """Return one move as `GET /v1/moves/ID` shows it."""
    data: dict[str, Any] = {
        "id": move.move_id,
        "kind": move.kind.value,
        "state": move.state.value,
        "reason": move.reason.value,
        "detail": move.detail,
        "server": move.server,
        "address": move.address,
        "zone": move.zone,
        "item_kind": move.item_kind.value if move.item_kind is not None else None,
        "name": move.name,
        "base_model": move.base_model,
        "store": move.store,
        "reservation": attrs.asdict(move.reservation),
        "order_id": move.order_id,
        "epoch": move.epoch,
        "after": list(move.after),
        "outcome": move.outcome,
        "from_disk": move.from_disk,
    }
    for key, field in TIME_FIELD_BY_KEY.items():
        value = getattr(move, field)
        data[key] = None if value is None else value + wall_offset_s
    return data


def moves_to_json(moves: Iterable[Move]) -> dict[str, Any]:
    """Return the moves as `GET /v1/moves` shows them: unfinished ones first, then by start."""
    ordered = sorted(moves, key=lambda move: (move.finished, move.start_at, move.move_id))
    return {"moves": [move_to_json(move) for move in ordered]}


def draining_by_server(moves: Iterable[Move]) -> dict[ServerId, frozenset[str]]:
    """Return the names of the draining models and adapters by server, from the rows of the topic.

    A replica drains from the announcement of its unload until that move is finished. The names are
    the value of `ServerRow.closing`.
    """
    names: dict[ServerId, set[str]] = {}
    for move in moves:
        if move.kind is MoveKind.UNLOAD and move.state in DRAINING_STATES:
            names.setdefault(move.server, set()).add(move.name)
    return {server: frozenset(draining) for server, draining in names.items()}


def _from_json(data: Mapping[str, Any]) -> Move:
    item_kind = data["item_kind"]
    return Move(
        move_id=MoveId(data["id"]),
        kind=MoveKind(data["kind"]),
        state=MoveState(data["state"]),
        reason=MoveReason(data["reason"]),
        detail=data["detail"],
        server=ServerId(data["server"]),
        address=Address(data["address"]),
        zone=ZoneName(data["zone"]),
        item_kind=ItemKind(item_kind) if item_kind is not None else None,
        name=data["name"],
        base_model=data["base_model"],
        store=StoreName(data["store"]),
        reservation=Reservation(**data["reservation"]),
        order_id=data["order_id"],
        epoch=data["epoch"],
        after=tuple(MoveId(move) for move in data["after"]),
        outcome=data["outcome"],
        from_disk=data.get("from_disk", False),
        **{field: data[key] for key, field in TIME_FIELD_BY_KEY.items()},
    )
