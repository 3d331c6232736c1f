"""Items that were requested and not served since, the longest unserved first."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import attrs

from zincvale.controlplane.placement.items import ItemKey, ItemKind, ItemRow
from zincvale.model.identifiers import PoolName


@attrs.define(eq=False)
class UnservedItems:
    """The unserved items, and how many of them lack a replica, by pool and kind.

    `apply_demand` adds items and removes those that were served; `report_unserved` removes those
    that nobody requests any more.
    """

    _keys: dict[ItemKey, None] = attrs.field(factory=dict)
    _without_replica: Counter[tuple[PoolName, ItemKind]] = attrs.field(factory=Counter)
    _counted_at: float | None = None

    def __len__(self) -> int:
        return len(self._keys)

    def __iter__(self) -> Iterator[ItemKey]:
        return iter(tuple(self._keys))

    def add(self, key: ItemKey) -> None:
        """Add an item; one that is unserved already keeps its position."""
        self._keys[key] = None

    def remove(self, key: ItemKey) -> None:
        """Remove an item that was served, is not requested any more or was deleted."""
        self._keys.pop(key, None)

    def count_without_replica(
        self, items: dict[ItemKey, ItemRow], pool: PoolName, kind: ItemKind, now: float
    ) -> int:
        """Return how many unserved items of a kind have no ready replica in a pool.

        They are counted once for all calls with the same time.
        """
        if self._counted_at != now:
            self._counted_at = now
            rows = (items[key] for key in self._keys)
            self._without_replica = Counter(
                (item.pool, item.kind) for item in rows if not item.ready
            )
        return self._without_replica[pool, kind]
