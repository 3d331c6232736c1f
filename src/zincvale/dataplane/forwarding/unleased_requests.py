"""Counts the requests that a node begins while it has no valid lease.

Acknowledged changes are known to be applied by nodes with a lease only. What is counted here may
have been handled by an older document than the newest acknowledged one.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs


@attrs.frozen
class UnleasedPeriod:
    """A time without a lease in which requests began.

    Attributes
    ----------
    since, until : times of the first and the last of these requests, in seconds.
    requests : how many there were.
    first_version, last_version : versions of the document that they were handled by.
    """

    since: float
    until: float
    requests: int
    first_version: int
    last_version: int


class UnleasedRequests:
    """Counts requests without a lease, until the lease is valid again.

    Parameters
    ----------
    has_lease : whether this node has a valid lease now.
    """

    def __init__(self, has_lease: Callable[[], bool]) -> None:
        self.has_lease = has_lease
        self._period: UnleasedPeriod | None = None

    def record_request(self, version: int, now: float) -> None:
        """Count a request that begins by version `version` of the document."""
        if self.has_lease():
            return
        period = self._period or UnleasedPeriod(now, now, 0, version, version)
        self._period = attrs.evolve(
            period, until=now, requests=period.requests + 1, last_version=version
        )

    def take_ended_period(self) -> UnleasedPeriod | None:
        """Return the counted period once the lease is valid again, and begin anew."""
        if self._period is None or not self.has_lease():
            return None
        period, self._period = self._period, None
        return period
