"""Table of the servers out of service and their drain moves."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MoveId, ServerId


@attrs.define(eq=False)
class DrainTable:
    """Servers out of service: `apply_intent` adds them, the system `track_drains` checks them.

    Attributes
    ----------
    check_at : the time of the next check of each server out of service.
    move_by_server : the drain move of each server.
    """

    check_at: dict[ServerId, float] = attrs.field(factory=dict)
    move_by_server: dict[ServerId, MoveId] = attrs.field(factory=dict)
