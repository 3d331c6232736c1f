"""Learned durations of orders, used to check a server at about the time an order completes.

Loads of models from the store have a declared duration. Unloads and loads of adapters complete
within milliseconds; their duration depends on the engine, and so does that of loads from a server's
own disk. Each check before completion sends one more order to the server.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.events import Order, OrderAction
from zincvale.controlplane.placement.items import ItemKind

INITIAL_ESTIMATE_S = 0.008
"""Estimate until the first order of a kind completes; also the shortest wait before a check."""
MAX_SAMPLE_S = 0.2
"""Longer samples are dropped: an unload that waits for running requests does not show how long an
unload itself takes."""
EWMA_WEIGHT = 0.2
"""Weight of the newest sample in the moving average. Near 1, one slow order delays the next checks;
near 0, changes are learned late."""
CHECK_FRACTION = 0.85
"""Fraction of the learned duration after which the server is first checked. Completion is noticed
only by a check, so a sample is never shorter than the wait before it: at 1 or above, the average
could never fall."""


@attrs.define
class OrderDurations:
    """Moving averages of the time from sending an order to the response that it is completed.

    Attributes
    ----------
    disk_s_per_byte : average seconds per byte of loads from servers' own disks; 0 until one has
        completed.
    """

    disk_s_per_byte: float = 0.0
    _averages: dict[tuple[OrderAction, ItemKind], float] = attrs.field(factory=dict)

    def first_check_s(self, order: Order) -> float:
        """Return the time from sending an order to the first check of its completion."""
        if order.from_disk:
            return max(INITIAL_ESTIMATE_S, order.item_bytes * self.disk_s_per_byte * CHECK_FRACTION)
        average_s = self._averages.get((order.action, order.item_kind))
        if average_s is None:
            return INITIAL_ESTIMATE_S
        return max(INITIAL_ESTIMATE_S, average_s * CHECK_FRACTION)

    def record_completion(self, order: Order, duration_s: float) -> None:
        """Update the averages with an order that completed `duration_s` after it was sent."""
        if order.from_disk:
            sample = duration_s / max(order.item_bytes, 1)
            previous = self.disk_s_per_byte or sample
            self.disk_s_per_byte = previous + EWMA_WEIGHT * (sample - previous)
            return
        if duration_s > MAX_SAMPLE_S:
            return
        kind = (order.action, order.item_kind)
        previous_s = self._averages.get(kind, duration_s)
        self._averages[kind] = previous_s + EWMA_WEIGHT * (duration_s - previous_s)
