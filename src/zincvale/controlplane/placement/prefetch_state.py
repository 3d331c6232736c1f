"""State of prefetching in one pool."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import MoveId, ServerId


@attrs.define(eq=False)
class PrefetchState:
    """State of prefetching in one pool.

    Attributes
    ----------
    requested_at : when a request for the pool last arrived.
    considered_at : when prefetching was last considered.
    trial_unload : the unload of a replica that is then loaded again, to measure how long a load
        from disk takes.
    trial_key, trial_server : the item and the server of that replica.
    """

    requested_at: float = float("-inf")
    considered_at: float = float("-inf")
    trial_unload: MoveId | None = None
    trial_key: ItemKey = ItemKey("")
    trial_server: ServerId = ServerId("")
