"""What nodes read of the topic `moves`: replicas that are about to be unloaded."""

from __future__ import annotations

from collections.abc import Mapping

import orjson

from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import ServerId

MOVES_TOPIC = "moves"
"""Name of the topic; nodes and cores of one release must agree."""
UNLOAD = "unload"
"""`MoveKind.UNLOAD` as text of a row; nodes do not import the calendar."""
DRAINING_STATE_NAMES = frozenset({"closing", "ordered", "running", "unknown"})
"""A replica is draining from the announcement of its unload until that move is finished."""


class DrainingReplicasDecoder:
    """Tracks which replicas drain at each server; parses only rows that changed."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._draining: dict[str, tuple[ServerId, str] | None] = {}

    def update(self, rows: Mapping[str, bytes]) -> dict[ServerId, frozenset[str]]:
        """Return the names that nodes must send nothing new for; raises `MalformedBodyError`."""
        self._draining = {
            move: self._draining[move] if self._rows.get(move) == content else _read(content)
            for move, content in rows.items()
        }
        self._rows = dict(rows)
        names: dict[ServerId, set[str]] = {}
        for each in self._draining.values():
            if each is not None:
                names.setdefault(each[0], set()).add(each[1])
        return {server: frozenset(draining) for server, draining in names.items()}


def _read(content: bytes) -> tuple[ServerId, str] | None:
    try:
        row = orjson.loads(content)
        is_draining = row["kind"] == UNLOAD and row["state"] in DRAINING_STATE_NAMES
        return (ServerId(row["server"]), row["name"]) if is_draining else None
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedBodyError(
            f"a row of the topic moves cannot be read: {error}",
            "run the same release on every machine",
        ) from error
