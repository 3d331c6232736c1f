"""Items that lack a replica because no server was found for it."""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey

UNPLACED_REVIEW_INTERVAL_S = 1.0
"""Minimum interval between two times at which unplaced items are queued for review again.

A shorter interval causes many reviews while a fleet starts."""


@attrs.define(eq=False)
class UnplacedItems:
    """Items to review again when there is new capacity.

    `plan_loads` and `desired_replicas` add items. A server that appears, is confirmed, changes its
    health or returns to service is new capacity. `desired_replicas` then takes all items.

    Attributes
    ----------
    keys : the items, a dict used as an ordered set.
    has_new_capacity : there is new capacity since the items were last taken.
    taken_at : when the items were last taken, in seconds on the controller's clock.
    """

    keys: dict[ItemKey, None] = attrs.field(factory=dict)
    has_new_capacity: bool = False
    taken_at: float = float("-inf")

    def add(self, key: ItemKey) -> None:
        """Add an item to review when there is new capacity."""
        self.keys[key] = None

    def remove(self, key: ItemKey) -> None:
        """Remove a deleted item."""
        self.keys.pop(key, None)

    def mark_new_capacity(self) -> None:
        """Record that a server may take loads that it could not take before."""
        self.has_new_capacity = True

    def take(self, now: float) -> list[ItemKey]:
        """Remove and return all items if there is new capacity, else none."""
        if not self.has_new_capacity or now < self.taken_at + UNPLACED_REVIEW_INTERVAL_S:
            return []
        self.has_new_capacity = False
        self.taken_at = now
        keys = list(self.keys)
        self.keys.clear()
        return keys
