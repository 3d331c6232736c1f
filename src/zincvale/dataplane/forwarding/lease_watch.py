"""What a node does and counts while it has no valid lease.

Acknowledged changes are known to be applied by nodes with a lease only. A lease that lapsed for a
moment is renewed soon, and with it comes the newest document, so requests wait for it. A node that
is partitioned from the cores serves on by its last document after that wait, because its callers
have no other node. It does not wait while most nodes reach no core: no renewal comes soon then.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

LEASE_WAIT_S = 0.5
"""How long after the loss of its lease a node defers requests. Renewals follow each other more
closely than that while a lease is endangered."""


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


class LeaseWatch:
    """Observes the lease of a node, at each request and after each input of its machine.

    Parameters
    ----------
    has_lease : whether this node has a valid lease now.
    are_cores_gone : whether a majority of the nodes is known to reach no core now.
    """

    def __init__(
        self, has_lease: Callable[[], bool], are_cores_gone: Callable[[], bool] = lambda: False
    ) -> None:
        self.has_lease = has_lease
        self._are_cores_gone = are_cores_gone
        self._lost_at: float | None = None
        """When the present time without a lease was first observed."""
        self._period: UnleasedPeriod | None = None

    def should_wait(self, now: float) -> bool:
        """Whether a request should wait, because the lease was lost only a moment ago."""
        if self.has_lease():
            self._lost_at = None
            return False
        if self._lost_at is None:
            self._lost_at = now
        return now - self._lost_at < LEASE_WAIT_S and not self._are_cores_gone()

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
