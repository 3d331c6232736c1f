"""Rows of the topic `residency`: models and adapters for which servers may get requests."""

from __future__ import annotations

from collections.abc import Mapping

import orjson

from zincvale.dataplane.forwarding.servers import Residency
from zincvale.model.identifiers import ServerId

RESIDENCY_TOPIC = "residency"


class ResidencyDecoder:
    """Stores the typed rows of the topic; decodes only rows that changed."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._residencies: dict[ServerId, Residency] = {}

    def update(self, rows: Mapping[str, bytes]) -> dict[ServerId, Residency]:
        """Return each server's residency in the complete `rows` of the topic."""
        known = self._residencies
        self._residencies = {
            ServerId(server): known[ServerId(server)]
            if self._rows.get(server) == content
            else _decode(content)
            for server, content in rows.items()
        }
        self._rows = dict(rows)
        return self._residencies


def _decode(content: bytes) -> Residency:
    plain = orjson.loads(content)
    return Residency(plain["incarnation"], frozenset(plain["models"]), frozenset(plain["adapters"]))
