"""Decodes the part of the topic `moves` that nodes need: the replicas that are draining."""

from __future__ import annotations

from collections.abc import Mapping

import orjson

from zincvale.model.errors import MalformedBodyError
from zincvale.model.identifiers import ServerId

MOVES_TOPIC = "moves"
"""Name of the topic; nodes and cores must use the same name."""
UNLOAD = "unload"
"""Text of `MoveKind.UNLOAD` in a row; nodes do not import the calendar's modules."""
DRAINING_STATE_NAMES = frozenset({"closing", "ordered", "running", "unknown"})
"""Texts of the states of an unload in which its replica is draining.

A replica drains from the announcement of its unload until that move is finished."""


class DrainingReplicasDecoder:
    """Tracks which replicas are draining on each server; parses only the rows that changed."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._draining: dict[str, tuple[ServerId, str] | None] = {}

    def update(self, rows: Mapping[str, bytes]) -> dict[ServerId, frozenset[str]]:
        """Return the draining models and adapters by server; raises `MalformedBodyError`."""
        self._draining = {
            move: self._draining[move] if self._rows.get(move) == content else _read_row(content)
            for move, content in rows.items()
        }
        self._rows = dict(rows)
        names: dict[ServerId, set[str]] = {}
        for each in self._draining.values():
            if each is not None:
                names.setdefault(each[0], set()).add(each[1])
        return {server: frozenset(draining) for server, draining in names.items()}


def _read_row(content: bytes) -> tuple[ServerId, str] | None:
    try:
        row = orjson.loads(content)
        is_draining = row["kind"] == UNLOAD and row["state"] in DRAINING_STATE_NAMES
        return (ServerId(row["server"]), row["name"]) if is_draining else None
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedBodyError(
            f"a row of the topic moves cannot be read: {error}",
            "run the same release on every machine",
        ) from error
