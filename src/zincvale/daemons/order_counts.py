"""How many orders each server has accepted, so that it refuses one that was planned on another
state.
"""

from __future__ import annotations

import attrs

from zincvale.model.identifiers import ServerId
from zincvale.runtime import log_events
from zincvale.runtime.logs import log


@attrs.define
class OrderCounts:
    """The counts by servers' own statuses and by this process's accepted orders; times in seconds.

    A count never goes back to that of a status from before an accepted order: the next order would
    be refused.
    """

    _count_by_server: dict[ServerId, int] = attrs.field(factory=dict)
    _accepted_at: dict[ServerId, float] = attrs.field(factory=dict)

    def of(self, server: ServerId) -> int | None:
        """Return the server's count, None while it is unknown."""
        return self._count_by_server.get(server)

    def record_accepted(self, server: ServerId, count: int, now: float) -> None:
        """Record that an order was accepted and left the server at `count`."""
        self._count_by_server[server] = count
        self._accepted_at[server] = now

    def record_status(self, server: ServerId, count: int, taken_at: float) -> None:
        """Record the count in a status that was taken at `taken_at` at the earliest."""
        if taken_at < self._accepted_at.get(server, taken_at):
            return
        before = self._count_by_server.get(server, count)
        if before != count:
            log(log_events.ORDER_COUNT_DIFFERS, server=server, counted=before, reported=count)
        self._count_by_server[server] = count

    def remove(self, server: ServerId) -> None:
        """Forget a server that left the directory."""
        self._count_by_server.pop(server, None)
        self._accepted_at.pop(server, None)
