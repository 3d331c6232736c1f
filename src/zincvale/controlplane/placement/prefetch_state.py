"""What is known of fetching ahead in one pool."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import MoveId, ServerId


@attrs.define(eq=False)
class PrefetchState:
    """State of one pool.

    Attributes
    ----------
    requested_at : when a request for the pool last arrived.
    considered_at : when fetching was last considered.
    trial : the unload of a replica that is loaded again to learn how long that takes.
    trial_key, trial_server : that replica.
    """

    requested_at: float = float("-inf")
    considered_at: float = float("-inf")
    trial: MoveId | None = None
    trial_key: ItemKey = ItemKey("")
    trial_server: ServerId = ServerId("")
