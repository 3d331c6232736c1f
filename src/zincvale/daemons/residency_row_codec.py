"""Rows of the topic `residency`: models and adapters for which servers may get requests."""

from __future__ import annotations

from collections.abc import Mapping

import orjson

from zincvale.dataplane.forwarding.servers import Residency
from zincvale.model.identifiers import ServerId

RESIDENCY_TOPIC = "residency"


class ResidencyDecoder:
    """Decodes rows of the topic and caches them, so that only changed rows are decoded."""

    def __init__(self) -> None:
        self._rows: dict[str, bytes] = {}
        self._residencies: dict[ServerId, Residency] = {}

    def update(self, rows: Mapping[str, bytes]) -> dict[ServerId, Residency]:
        """Return each server's residency, given all `rows` of the topic."""
        cached = self._residencies
        self._residencies = {
            ServerId(server): cached[ServerId(server)]
            if self._rows.get(server) == content
            else _decode(content)
            for server, content in rows.items()
        }
        self._rows = dict(rows)
        return self._residencies


def _decode(content: bytes) -> Residency:
    plain = orjson.loads(content)
    return Residency(plain["incarnation"], frozenset(plain["models"]), frozenset(plain["adapters"]))
