"""Which machines have a model's weights on their own disk: a load from there takes less time.

A server that held a model once may keep its weights when the model leaves its memory, also over a
restart. Machines are told apart by the server's address; that another server has the address by now
is a wrong guess, which costs a load that takes as long as one from the store.
"""

from __future__ import annotations

import attrs

from zincvale.controlplane.placement.items import ItemKey
from zincvale.model.identifiers import Address

MAX_ADDRESSES_PER_ITEM = 64


@attrs.define(eq=False)
class DiskCopies:
    """Addresses of servers that held each item, the latest last."""

    _addresses: dict[ItemKey, dict[Address, None]] = attrs.field(factory=dict)

    def record(self, key: ItemKey, address: Address) -> None:
        """Record that the server at `address` holds the item."""
        known = self._addresses.setdefault(key, {})
        known.pop(address, None)
        known[address] = None
        if len(known) > MAX_ADDRESSES_PER_ITEM:
            del known[next(iter(known))]

    def has(self, key: ItemKey, address: Address) -> bool:
        """Whether the server at `address` ever held the item."""
        return address in self._addresses.get(key, ())

    def addresses(self, key: ItemKey) -> tuple[Address, ...]:
        """Return where the item was held."""
        return tuple(self._addresses.get(key, ()))

    def remove(self, key: ItemKey) -> None:
        """Remove an item that is no longer declared."""
        self._addresses.pop(key, None)
