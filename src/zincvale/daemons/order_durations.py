"""Learned durations of orders, so that a server is checked about when an order completes.

Loads of models from the store have a declared time. Unloads and loads of adapters complete within
milliseconds, and how soon depends on the engine, as does how long loads from a server's own disk
take. Each check before completion is one more order to the server.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.events import Order, OrderAction
from zincvale.controlplane.placement.items import ItemKind

INITIAL_ESTIMATE_S = 0.008
"""Used until one order of a kind was seen to complete; also the shortest wait before a check."""
MAX_SAMPLE_S = 0.2
"""Longer samples are dropped: an unload that waits for running requests says nothing of how long
unloads take."""
EWMA_WEIGHT = 0.2
"""Of the newest sample. Near 1 one slow order delays the next checks; near 0 changes are learned
late."""
CHECK_FRACTION = 0.85
"""Part of the learned duration after which the server is first checked. Completion is seen only by
a check, so samples are never too short; at 1 or above the average could never fall again."""


@attrs.define
class OrderDurations:
    """Moving averages of the time from an order to the response that it is completed.

    Attributes
    ----------
    disk_s_per_byte : of loads from servers' own disks; 0 until one was seen to complete.
    """

    disk_s_per_byte: float = 0.0
    _averages: dict[tuple[OrderAction, ItemKind], float] = attrs.field(factory=dict)

    def first_check_s(self, order: Order) -> float:
        """Return how long after the order the server is first checked for completion."""
        if order.from_disk:
            return max(INITIAL_ESTIMATE_S, order.item_bytes * self.disk_s_per_byte * CHECK_FRACTION)
        average_s = self._averages.get((order.action, order.item_kind))
        if average_s is None:
            return INITIAL_ESTIMATE_S
        return max(INITIAL_ESTIMATE_S, average_s * CHECK_FRACTION)

    def record_completion(self, order: Order, took_s: float) -> None:
        """Learn from an order that completed `took_s` after it was sent."""
        if order.from_disk:
            newest = took_s / max(order.item_bytes, 1)
            before = self.disk_s_per_byte or newest
            self.disk_s_per_byte = before + EWMA_WEIGHT * (newest - before)
            return
        if took_s > MAX_SAMPLE_S:
            return
        kind = (order.action, order.item_kind)
        before_s = self._averages.get(kind, took_s)
        self._averages[kind] = before_s + EWMA_WEIGHT * (took_s - before_s)
