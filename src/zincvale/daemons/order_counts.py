"""Counts the orders that each server has accepted.

An order carries the count on which it was planned; a server with another count refuses the order.
"""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import ServerId
from zincvale.runtime import log_events
from zincvale.runtime.logs import log


@attrs.define
class OrderCounts:
    """Counts learned from servers' statuses and from this process's accepted orders.

    A status from before an accepted order never lowers the count, because the server would then
    refuse the next order. Times are seconds.
    """

    _count_by_server: dict[ServerId, int] = attrs.field(factory=dict)
    _accepted_at: dict[ServerId, float] = attrs.field(factory=dict)

    def count_of(self, server: ServerId) -> int | None:
        """Return the number of orders that the server has accepted, None while it is unknown."""
        return self._count_by_server.get(server)

    def record_accepted(self, server: ServerId, count: int, now: float) -> None:
        """Record that a server accepted an order, after which its count is `count`."""
        self._count_by_server[server] = count
        self._accepted_at[server] = now

    def record_status(self, server: ServerId, count: int, taken_at: float) -> None:
        """Record the count in a status that was not taken before `taken_at`."""
        if taken_at < self._accepted_at.get(server, taken_at):
            return
        previous = self._count_by_server.get(server, count)
        if previous != count:
            log(log_events.ORDER_COUNT_DIFFERS, server=server, counted=previous, reported=count)
        self._count_by_server[server] = count

    def remove(self, server: ServerId) -> None:
        """Forget a server that left the directory."""
        self._count_by_server.pop(server, None)
        self._accepted_at.pop(server, None)
