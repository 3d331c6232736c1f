"""Rate limit of a lookup server: a token bucket and a limit on what runs at once. Pure."""

from __future__ import annotations

from zincvale.standins.deployment import LookupProfile


class LookupLimiter:
    """Decides which lookups run.

    Parameters
    ----------
    profile : rate, burst and concurrency.
    now : time of the start, with a full bucket.
    """

    def __init__(self, profile: LookupProfile, now: float) -> None:
        self._profile = profile
        self._tokens = float(profile.burst)
        self._filled_at = now
        self.running = 0

    def begin(self, now: float) -> bool:
        """Take one lookup if the rate and the concurrency allow it."""
        self._fill(now)
        if self._tokens < 1.0 or self.running >= self._profile.max_running:
            return False
        self._tokens -= 1.0
        self.running += 1
        return True

    def end(self) -> None:
        """Count one lookup as over."""
        self.running -= 1

    def _fill(self, now: float) -> None:
        gained = (now - self._filled_at) * self._profile.lookups_per_second
        self._tokens = min(float(self._profile.burst), self._tokens + gained)
        self._filled_at = now
