"""Servers out of service, and the moves that follow their drains."""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import MoveId, ServerId


@attrs.define(eq=False)
class DrainTable:
    """Followed by the system `track_drains`; `apply_intent` adds servers.

    Attributes
    ----------
    check_at : servers out of service, with the time of their next check.
    move_by_server : the drain move of a server.
    """

    check_at: dict[ServerId, float] = attrs.field(factory=dict)
    move_by_server: dict[ServerId, MoveId] = attrs.field(factory=dict)
