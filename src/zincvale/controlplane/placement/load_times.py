"""Learned load times: by item and server, else by server, else by store; from disks apart."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import ServerId, StoreName

WEIGHT_OF_NEWEST = 0.3
"""Of the newest load in an average; 1 would follow each outlier."""
MAX_PAIRS = 20_000
"""Learned pairs of item and server in memory; the oldest are dropped beyond it."""
MIN_LOAD_S = 0.05
"""No load is expected or learned as shorter, so that rates stay finite."""
DEFAULT_DISK_FACTOR = 0.5
"""Part of the time from the store that a load from a server's own disk is taken to need until one
was seen: little enough to be tried, and one that is tried tells."""


@attrs.define(eq=False)
class LoadTimes:
    """Exponentially weighted averages of observed loads.

    Attributes
    ----------
    by_pair : seconds for one item on one server; the oldest of `MAX_PAIRS` are forgotten.
    rate_by_server, rate_by_store : bytes per second.
    disk_rate_by_store : bytes per second from servers' own disks, for the items of a store.
    """

    by_pair: OrderedDict[tuple[ItemKey, ServerId], float] = attrs.field(factory=OrderedDict)
    rate_by_server: dict[ServerId, float] = attrs.field(factory=dict)
    rate_by_store: dict[StoreName, float] = attrs.field(factory=dict)
    disk_rate_by_store: dict[StoreName, float] = attrs.field(factory=dict)

    def observe(
        self, item: ItemKey, item_bytes: int, server: ServerId, store: StoreName, took_s: float
    ) -> None:
        """Learn from a load that took `took_s` from its order to its completion."""
        took_s = max(took_s, MIN_LOAD_S)
        pair = (item, server)
        self.by_pair[pair] = _mix(self.by_pair.get(pair), took_s)
        self.by_pair.move_to_end(pair)
        if len(self.by_pair) > MAX_PAIRS:
            self.by_pair.popitem(last=False)
        rate = item_bytes / took_s
        self.rate_by_server[server] = _mix(self.rate_by_server.get(server), rate)
        self.rate_by_store[store] = _mix(self.rate_by_store.get(store), rate)

    def observe_from_disk(self, item_bytes: int, store: StoreName, took_s: float) -> None:
        """Learn from a load of weights that the server had on its own disk."""
        rate = item_bytes / max(took_s, MIN_LOAD_S)
        self.disk_rate_by_store[store] = _mix(self.disk_rate_by_store.get(store), rate)

    def expected_from_disk_s(
        self,
        item_bytes: int,
        store: StoreName,
        store_bytes_per_second: int,
        declared_s: float = 0.0,
    ) -> float:
        """Return how long a load from a server's own disk will take."""
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
        """Return how long a load will take; `server` of None asks for any server.

        A declared time counts until a load from the store was seen.
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


def _mix(old: float | None, new: float) -> float:
    if old is None:
        return new
    return old + WEIGHT_OF_NEWEST * (new - old)
