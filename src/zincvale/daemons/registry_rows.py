"""The registered nodes with their zones, for the choice of claim voters."""

from __future__ import annotations

from zincvale.coordination.changes import Rows
from zincvale.coordination.membership.registry import LEAVING, decode_row
from zincvale.model.identifiers import MemberId, ZoneName


def registered_zones(rows: Rows) -> dict[MemberId, ZoneName]:
    """Return the zone of each node that stays registered once the pending change completes.

    Every version of the registry is a view of its own, so that two nodes with the same version
    choose the same voters.
    """
    zones: dict[MemberId, ZoneName] = {}
    for name, content in rows.items():
        row = decode_row(content)
        if row.state != LEAVING:
            zones[MemberId(name)] = ZoneName(row.zone)
    return zones
