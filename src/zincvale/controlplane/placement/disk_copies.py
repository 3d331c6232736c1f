"""Which servers have a model's weights on their own disk, from which a load takes less time.

A server that held a model may keep its weights on disk after the model left its memory, even across
a restart. Servers are identified by address here. If another server got the address since, the
assumption is wrong, and the load merely takes as long as one from the store.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import Address

MAX_ADDRESSES_PER_ITEM = 64
"""Limit on the addresses kept for one item; beyond it the oldest are dropped."""


@attrs.define(eq=False)
class DiskCopies:
    """Addresses of the servers that held each item, the most recent last."""

    _addresses: dict[ItemKey, dict[Address, None]] = attrs.field(factory=dict)

    def record(self, key: ItemKey, address: Address) -> None:
        """Record that the server at `address` holds the item."""
        known = self._addresses.setdefault(key, {})
        known.pop(address, None)
        known[address] = None
        if len(known) > MAX_ADDRESSES_PER_ITEM:
            del known[next(iter(known))]

    def has(self, key: ItemKey, address: Address) -> bool:
        """Whether the server at `address` is recorded as having held the item."""
        return address in self._addresses.get(key, ())

    def addresses(self, key: ItemKey) -> tuple[Address, ...]:
        """Return the addresses of the servers that held the item, the most recent last."""
        return tuple(self._addresses.get(key, ()))

    def remove(self, key: ItemKey) -> None:
        """Remove an item that is no longer declared."""
        self._addresses.pop(key, None)
