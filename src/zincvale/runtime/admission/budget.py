"""The memory that requests of all connections may use together."""

from __future__ import annotations

from collections.abc import Callable

import attrs

SMALL_REQUEST_BYTES = 256 * 1024
"""A request that reserves no more than this counts as small."""
LARGE_REQUESTS_SHARE = 0.75
"""Part of the budget that large requests may use; the rest is left to small ones."""


@attrs.define(eq=False)
class Reservation:
    """A part of the budget.

    Attributes
    ----------
    since : when it was made, in seconds.
    revoke : ends the request that holds it, which then releases the reservation; None while the
        request must not be ended, since it may have run.
    """

    since: float
    revoke: Callable[[], None] | None
    size_bytes: int = 0

    def occupancy(self, now: float) -> float:
        """Return how much memory it has occupied for how long, in byte-seconds."""
        return self.size_bytes * (now - self.since)


class MemoryBudget:
    """Grants reservations up to a limit.

    When the limit is reached, the revocable reservation that has occupied most memory for the
    longest time gives way: a client that stops in the middle of a large body loses its place to
    those that send small requests or send quickly.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self._reservations: set[Reservation] = set()

    def grow(self, reservation: Reservation, more_bytes: int, now: float) -> bool:
        """Add `more_bytes` to a reservation; return False when there is no room for them."""
        size_bytes = reservation.size_bytes + more_bytes
        is_small = size_bytes <= SMALL_REQUEST_BYTES
        limit_bytes = self.limit_bytes if is_small else self.limit_bytes * LARGE_REQUESTS_SHARE
        while self.reserved_bytes + more_bytes > limit_bytes:
            if not self._make_room(reservation, size_bytes * (now - reservation.since), now):
                return False
        self.reserved_bytes += more_bytes
        reservation.size_bytes = size_bytes
        self._reservations.add(reservation)
        return True

    def shrink(self, reservation: Reservation, less_bytes: int) -> None:
        """Return a part of a reservation."""
        self.reserved_bytes -= less_bytes
        reservation.size_bytes -= less_bytes
        if not reservation.size_bytes:
            self._reservations.discard(reservation)

    def release(self, reservation: Reservation) -> None:
        """Return the whole reservation."""
        self.shrink(reservation, reservation.size_bytes)

    def _make_room(self, asking: Reservation, occupancy: float, now: float) -> bool:
        """Revoke the reservation that occupies more than `asking` would; return whether one did."""
        victim = max(
            (each for each in self._reservations if each.revoke is not None),
            key=lambda each: each.occupancy(now),
            default=asking,
        )
        if victim is asking or victim.occupancy(now) <= occupancy:
            return False
        assert victim.revoke is not None
        victim.revoke()
        self.release(victim)
        return True
