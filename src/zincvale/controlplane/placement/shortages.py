"""Missing replicas by store, most urgent first."""

from __future__ import annotations

import heapq
from typing import NamedTuple

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemRow
from zincvale.model.identifiers import StoreName

MAX_SHORTAGES_PER_ITEM = 4
"""Outdated entries are dropped beyond this; more holds memory, less rebuilds the heap often."""


class Shortage(NamedTuple):
    """An entry of a store's queue; entries sort by their fields in this order.

    Attributes
    ----------
    urgency : index of the reason in `MoveReason`, 0 first.
    rank : order among equally urgent entries, least first.
    stamp : number of the entry; it is outdated unless the item's row names it.
    """

    urgency: int
    rank: float
    stamp: int
    key: ItemKey


@attrs.define(eq=False)
class ShortageQueues:
    """Heaps of shortages; `desired_replicas` adds, `plan_loads` takes off."""

    by_store: dict[StoreName, list[Shortage]] = attrs.field(factory=dict)
    _next_stamp: int = 1

    def add(self, item: ItemRow, urgency: int, rank: float) -> None:
        """Queue an item; an earlier entry of it becomes outdated."""
        stamp = self._next_stamp
        self._next_stamp += 1
        item.shortage_stamp = stamp
        item.shortage_urgency = urgency
        queue = self.by_store.setdefault(item.store, [])
        heapq.heappush(queue, Shortage(urgency, rank, stamp, item.key))


def current_item(items: dict[ItemKey, ItemRow], shortage: Shortage) -> ItemRow | None:
    """Return the item of an entry, None when the entry is outdated."""
    item = items.get(shortage.key)
    if item is None or item.shortage_stamp != shortage.stamp:
        return None
    return item


def compact(queue: list[Shortage], items: dict[ItemKey, ItemRow]) -> None:
    """Drop outdated entries when they have piled up."""
    if len(queue) <= MAX_SHORTAGES_PER_ITEM * max(len(items), 1):
        return
    queue[:] = [shortage for shortage in queue if current_item(items, shortage) is not None]
    heapq.heapify(queue)
