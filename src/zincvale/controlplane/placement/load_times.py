"""Learned load times: by item and server, else by server, else by store.

Loads from servers' own disks are learned separately.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import ServerId, StoreName

NEWEST_LOAD_WEIGHT = 0.3
"""Weight of the newest load in an average; with 1, each outlier would replace the average."""
MAX_PAIRS = 20_000
"""Limit on the learned pairs of item and server; beyond it the oldest are dropped."""
MIN_LOAD_S = 0.05
"""Minimum load time that is learned or expected, so that rates stay finite."""
DEFAULT_DISK_FACTOR = 0.5
"""Assumed load time from disk, as a fraction of the time from the store, until one was observed.

It is low enough for a load from disk to be tried, which then shows the real time."""


@attrs.define(eq=False)
class LoadTimes:
    """Exponentially weighted averages of observed load times and rates.

    Attributes
    ----------
    by_pair : load time in seconds of an item on a server; limited to `MAX_PAIRS`.
    rate_by_server, rate_by_store : bytes per second of loads from stores.
    disk_rate_by_store : bytes per second from servers' own disks, for the items of a store.
    """

    by_pair: OrderedDict[tuple[ItemKey, ServerId], float] = attrs.field(factory=OrderedDict)
    rate_by_server: dict[ServerId, float] = attrs.field(factory=dict)
    rate_by_store: dict[StoreName, float] = attrs.field(factory=dict)
    disk_rate_by_store: dict[StoreName, float] = attrs.field(factory=dict)

    def observe(
        self, item: ItemKey, item_bytes: int, server: ServerId, store: StoreName, took_s: float
    ) -> None:
        """Learn from a load from a store that took `took_s` from its order to its completion."""
        took_s = max(took_s, MIN_LOAD_S)
        pair = (item, server)
        self.by_pair[pair] = _weighted_average(self.by_pair.get(pair), took_s)
        self.by_pair.move_to_end(pair)
        if len(self.by_pair) > MAX_PAIRS:
            self.by_pair.popitem(last=False)
        rate = item_bytes / took_s
        self.rate_by_server[server] = _weighted_average(self.rate_by_server.get(server), rate)
        self.rate_by_store[store] = _weighted_average(self.rate_by_store.get(store), rate)

    def observe_from_disk(self, item_bytes: int, store: StoreName, took_s: float) -> None:
        """Learn from a load from a server's own disk that took `took_s`."""
        rate = item_bytes / max(took_s, MIN_LOAD_S)
        self.disk_rate_by_store[store] = _weighted_average(self.disk_rate_by_store.get(store), rate)

    def expected_from_disk_s(
        self,
        item_bytes: int,
        store: StoreName,
        store_bytes_per_second: int,
        declared_s: float = 0.0,
    ) -> float:
        """Return the expected time of a load from a server's own disk."""
        rate = self.disk_rate_by_store.get(store)
        if rate is not None:
            return max(item_bytes / rate, MIN_LOAD_S)
        from_store_s = self._from_store_s(item_bytes, store, store_bytes_per_second, declared_s)
        return max(from_store_s * DEFAULT_DISK_FACTOR, MIN_LOAD_S)

    def expected_s(
        self,
        item: ItemKey,
        item_bytes: int,
        server: ServerId | None,
        store: StoreName,
        store_bytes_per_second: int,
        declared_s: float = 0.0,
    ) -> float:
        """Return the expected time of a load from the store; a `server` of None means any server.

        The declared time is used until a load from the store was observed.
        """
        if server is not None:
            learned = self.by_pair.get((item, server))
            if learned is not None:
                return learned
            rate = self.rate_by_server.get(server)
            if rate is not None:
                return max(item_bytes / rate, MIN_LOAD_S)
        return self._from_store_s(item_bytes, store, store_bytes_per_second, declared_s)

    def _from_store_s(
        self, item_bytes: int, store: StoreName, store_bytes_per_second: int, declared_s: float
    ) -> float:
        rate = self.rate_by_store.get(store)
        if rate is None and declared_s:
            return declared_s
        rate = rate or float(store_bytes_per_second)
        return max(item_bytes / max(rate, 1.0), MIN_LOAD_S)


def _weighted_average(old: float | None, new: float) -> float:
    if old is None:
        return new
    return old + NEWEST_LOAD_WEIGHT * (new - old)
