"""When each item is reviewed next: the queue of changed items and the timers of the others."""

from __future__ import annotations

import heapq
import math
from collections import deque

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemRow


@attrs.define(eq=False)
class ReviewSchedule:
    """Items to review, in the order in which they were queued.

    Every step that changes an item queues it; only `desired_replicas` takes items off.

    Attributes
    ----------
    profile_bucket : the part of the day for which items with a history were last queued.
    """

    profile_bucket: int = -1
    _queue: deque[ItemKey] = attrs.field(factory=deque)
    _queued: set[ItemKey] = attrs.field(factory=set)
    _timers: list[tuple[float, ItemKey]] = attrs.field(factory=list)
    """Heap of (time, item); valid is the entry whose time is the row's `review_at`."""

    def __len__(self) -> int:
        return len(self._queue)

    def queue(self, key: ItemKey) -> None:
        """Have an item reviewed in the next run; an item that is queued already keeps its place."""
        if key not in self._queued:
            self._queued.add(key)
            self._queue.append(key)

    def queue_at(self, item: ItemRow, at: float) -> None:
        """Have an item reviewed by `at`; an earlier pending time wins."""
        if at < item.review_at:
            item.review_at = at
            heapq.heappush(self._timers, (at, item.key))

    def pop(self) -> ItemKey:
        """Take the next item off the queue."""
        key = self._queue.popleft()
        self._queued.discard(key)
        return key

    def pop_due(self, items: dict[ItemKey, ItemRow], now: float) -> ItemRow | None:
        """Take off the next item whose timer ended; None when no more are due."""
        while self._timers and self._timers[0][0] <= now:
            at, key = heapq.heappop(self._timers)
            item = items.get(key)
            if item is not None and item.review_at == at:
                item.review_at = math.inf
                return item
        return None

    def remove(self, key: ItemKey) -> None:
        """Let a deleted item be queued anew if it is declared again."""
        self._queued.discard(key)
