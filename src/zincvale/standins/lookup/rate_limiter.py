"""Rate limit of a lookup server: a token bucket and a limit on concurrent lookups.

Performs no I/O; time is passed in.
"""

from __future__ import annotations

from zincvale.standins.deployment import LookupProfile


class LookupLimiter:
    """Decides whether a lookup may run.

    Parameters
    ----------
    profile : rate, burst and limit on concurrent lookups.
    now : current time; the bucket starts full.
    """

    def __init__(self, profile: LookupProfile, now: float) -> None:
        self._profile = profile
        self._tokens = float(profile.burst)
        self._refilled_at = now
        self.running = 0

    def begin(self, now: float) -> bool:
        """Start a lookup if the rate and concurrency limits allow it; return whether it starts."""
        self._refill(now)
        if self._tokens < 1.0 or self.running >= self._profile.max_running:
            return False
        self._tokens -= 1.0
        self.running += 1
        return True

    def end(self) -> None:
        """Record that a lookup has ended."""
        self.running -= 1

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * self._profile.lookups_per_second
        self._tokens = min(float(self._profile.burst), self._tokens + gained)
        self._refilled_at = now
