"""Schedule of reviews: the queue of changed items and the timers of all others."""

from __future__ import annotations

import heapq
import math
from collections import deque

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemRow


@attrs.define(eq=False)
class ReviewSchedule:
    """Items to review, in the order in which they were queued.

    All code that changes an item queues it; only `desired_replicas` removes items from the queue.

    Attributes
    ----------
    profile_bucket : the bucket of the day for which items with a demand history were last queued.
    """

    profile_bucket: int = -1
    _queue: deque[ItemKey] = attrs.field(factory=deque)
    _queued: set[ItemKey] = attrs.field(factory=set)
    _timers: list[tuple[float, ItemKey]] = attrs.field(factory=list)
    """Heap of (time, item); an entry is valid if its time equals `review_at` of the item's row."""

    def __len__(self) -> int:
        return len(self._queue)

    def queue(self, key: ItemKey) -> None:
        """Queue an item for the next run; an item that is already queued keeps its position."""
        if key not in self._queued:
            self._queued.add(key)
            self._queue.append(key)

    def queue_at(self, item: ItemRow, at: float) -> None:
        """Schedule a review of an item at `at`, unless an earlier one is scheduled."""
        if at < item.review_at:
            item.review_at = at
            heapq.heappush(self._timers, (at, item.key))

    def pop(self) -> ItemKey:
        """Remove and return the next item of the queue."""
        key = self._queue.popleft()
        self._queued.discard(key)
        return key

    def pop_due(self, items: dict[ItemKey, ItemRow], now: float) -> ItemRow | None:
        """Remove and return the next item whose timer has expired; None if there is none."""
        while self._timers and self._timers[0][0] <= now:
            at, key = heapq.heappop(self._timers)
            item = items.get(key)
            if item is not None and item.review_at == at:
                item.review_at = math.inf
                return item
        return None

    def remove(self, key: ItemKey) -> None:
        """Forget that a deleted item is queued, so that it is queued again if declared again."""
        self._queued.discard(key)
