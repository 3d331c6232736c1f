"""Queues of the items that lack replicas, by store, most urgent first."""

from __future__ import annotations

import heapq
import math
from collections import deque
from typing import NamedTuple

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemRow
from zincvale.model.identifiers import StoreName

MAX_SHORTAGES_PER_ITEM = 4
"""Average number of queue entries per item above which outdated entries are dropped.

A higher limit uses more memory; a lower one rebuilds the heap more often."""


class Shortage(NamedTuple):
    """An entry of a store's queue; entries are sorted by their fields in this order.

    Attributes
    ----------
    urgency : index of the reason in `MoveReason`, 0 the most urgent.
    due_since : since when an item that is due has been unserved, infinity for all others.
    rank : order among equally urgent entries, lowest first.
    stamp : number of the entry; the entry is outdated unless it is `ItemRow.shortage_stamp`.
    key : the item that lacks a replica.
    """

    urgency: int
    due_since: float
    rank: float
    stamp: int
    key: ItemKey


@attrs.define(eq=False)
class ShortageQueues:
    """Heaps of shortages: `desired_replicas` adds entries, `plan_loads` removes them."""

    by_store: dict[StoreName, list[Shortage]] = attrs.field(factory=dict)
    _turns: deque[StoreName] = attrs.field(factory=deque)
    """The stores in the order of the newest run."""
    _next_stamp: int = 1

    def add(self, item: ItemRow, urgency: int, rank: float, due_since: float = math.inf) -> None:
        """Queue an item; its earlier entry becomes outdated."""
        stamp = self._next_stamp
        self._next_stamp += 1
        item.shortage_stamp = stamp
        item.shortage_urgency = urgency
        queue = self.by_store.get(item.store)
        if queue is None:
            queue = self.by_store[item.store] = []
            self._turns.append(item.store)
        heapq.heappush(queue, Shortage(urgency, due_since, rank, stamp, item.key))

    def stores_in_turn(self) -> list[StoreName]:
        """Return the stores with a queue; each call begins with the next one."""
        self._turns.rotate(-1)
        return list(self._turns)


def current_item(items: dict[ItemKey, ItemRow], shortage: Shortage) -> ItemRow | None:
    """Return the item of an entry, or None if the entry is outdated."""
    item = items.get(shortage.key)
    if item is None or item.shortage_stamp != shortage.stamp:
        return None
    return item


def drop_outdated_entries(queue: list[Shortage], items: dict[ItemKey, ItemRow]) -> None:
    """Drop outdated entries if the queue has grown beyond its limit."""
    if len(queue) <= MAX_SHORTAGES_PER_ITEM * max(len(items), 1):
        return
    queue[:] = [shortage for shortage in queue if current_item(items, shortage) is not None]
    heapq.heapify(queue)
