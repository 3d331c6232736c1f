"""Decodes the registered nodes and their zones, from which claim voters are chosen."""

from __future__ import annotations

from zincvale.coordination.changes import Rows
from zincvale.coordination.membership.registry import LEAVING, decode_row
from zincvale.model.identifiers import MemberId, ZoneName


def registered_zones(rows: Rows) -> dict[MemberId, ZoneName]:
    """Return the zone of each node that stays registered after the pending change completes.

    The result depends only on the registry's version, so that two nodes with the same version
    choose the same voters.
    """
    zones: dict[MemberId, ZoneName] = {}
    for name, content in rows.items():
        row = decode_row(content)
        if row.state != LEAVING:
            zones[MemberId(name)] = ZoneName(row.zone)
    return zones
