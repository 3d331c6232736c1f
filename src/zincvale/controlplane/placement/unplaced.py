"""Items that want a replica for which no server was found."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey

UNPLACED_INTERVAL_S = 1.0
"""Unplaced items are queued again at most this often; less costs reviews while a fleet starts."""


@attrs.define(eq=False)
class UnplacedItems:
    """Items to review again when capacity appears.

    `plan_loads` and `desired_replicas` add items; a server that appears, is confirmed or returns to
    service marks capacity; `desired_replicas` takes them all.

    Attributes
    ----------
    keys : the items; a dict without values stands for a set in order of arrival.
    has_new_capacity : a server came since they were last taken.
    taken_at : when they were last taken, seconds on the controller's clock.
    """

    keys: dict[ItemKey, None] = attrs.field(factory=dict)
    has_new_capacity: bool = False
    taken_at: float = float("-inf")

    def add(self, key: ItemKey) -> None:
        """Have an item reviewed when capacity appears."""
        self.keys[key] = None

    def remove(self, key: ItemKey) -> None:
        """Drop a deleted item."""
        self.keys.pop(key, None)

    def mark_capacity(self) -> None:
        """Record that a server may take loads that it could not take before."""
        self.has_new_capacity = True

    def take(self, now: float) -> list[ItemKey]:
        """Take off every item when capacity appeared, else none."""
        if not self.has_new_capacity or now < self.taken_at + UNPLACED_INTERVAL_S:
            return []
        self.has_new_capacity = False
        self.taken_at = now
        keys = list(self.keys)
        self.keys.clear()
        return keys
