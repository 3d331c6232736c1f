"""Measured demand of one item: exponentially decaying averages and a daily profile."""

from __future__ import annotations

import math
from array import array

import attrs

from zincvale.controlplane.placement.config import PlacementConfig

LN_2 = math.log(2.0)
"""A count with a half-life of H seconds decays at the rate LN_2 / H per second."""
NEWEST_DAY_WEIGHT = 0.5
"""Weight of the newest day in the daily profile; with 1, earlier days would not count."""
NO_HISTORY = -1.0
"""Marks a bucket of the day for which there is no history; rates are never negative."""
MIN_RECENT_REQUESTS = 0.5
"""Decayed request count from which demand is recent; one request reaches it for one half-life."""
EPISODE_S = 5.0
"""Requests within this time of the first one count as one episode.

A longer time underestimates steady demand; with a shorter one, a burst counts as many episodes."""
STEADY_EPISODES_PER_S = 0.5 / EPISODE_S
"""Episode rate from which demand counts as steady, so that the full request rate is used."""
MIN_OBSERVATION_S = 30.0
"""Minimum time over which a rate is computed, so that a first request does not give a high rate."""


@attrs.define(eq=False)
class DecayedCount:
    """A count of events, each of which loses half its weight per half-life."""

    half_life_s: float
    count: float = 0.0
    updated_at: float = 0.0

    def add(self, events: float, now: float) -> None:
        """Add `events` that happened at `now`."""
        self.count = self._decayed(now) + events
        self.updated_at = now

    def rate(self, now: float, observed_since: float) -> float:
        """Return events per second, corrected for observation times near or below the half-life."""
        weight = self._decayed(now) * LN_2 / self.half_life_s
        observed_s = max(now - observed_since, MIN_OBSERVATION_S)
        observed_fraction: float = 1.0 - 0.5 ** (observed_s / self.half_life_s)
        return weight / observed_fraction

    def current(self, now: float) -> float:
        """Return the decayed count at `now`."""
        return self._decayed(now)

    def _decayed(self, now: float) -> float:
        if now <= self.updated_at:
            return self.count
        left: float = 0.5 ** ((now - self.updated_at) / self.half_life_s)
        return self.count * left


@attrs.define(eq=False)
class DayProfile:
    """Episodes per second in each bucket of a repeating day, averaged over days.

    A day begins at a multiple of its length on the monotonic clock, not at midnight, since only the
    repetition matters.
    """

    buckets: array[float]
    current_bucket: int
    """Number of the current bucket, counted from time 0 on."""
    count: float = 0.0
    """Episodes in the current bucket so far."""

    @classmethod
    def begin(cls, config: PlacementConfig, now: float) -> DayProfile:
        """Return a profile without history."""
        return cls(array("f", [NO_HISTORY] * config.day_buckets), int(now / config.bucket_s))

    def add(self, events: float, now: float, config: PlacementConfig) -> None:
        """Count episodes in the bucket of the day at `now`."""
        self._advance_to(now, config)
        self.count += events

    def rate_at(self, at: float, now: float, config: PlacementConfig) -> float | None:
        """Return the average rate of earlier days around the time `at`, or None without history."""
        self._advance_to(now, config)
        number = int(at / config.bucket_s)
        first = self.buckets[number % config.day_buckets]
        second = self.buckets[(number + 1) % config.day_buckets]
        if first < 0.0 or second < 0.0:
            return None
        return (first + second) / 2.0

    def _advance_to(self, now: float, config: PlacementConfig) -> None:
        current = int(now / config.bucket_s)
        if current == self.current_bucket:
            return
        self._finish_bucket(self.current_bucket, self.count / config.bucket_s, config)
        skipped = min(current - self.current_bucket - 1, config.day_buckets)
        for number in range(current - skipped, current):
            self._finish_bucket(number, 0.0, config)
        self.current_bucket = current
        self.count = 0.0

    def _finish_bucket(self, number: int, rate: float, config: PlacementConfig) -> None:
        index = number % config.day_buckets
        old = self.buckets[index]
        if old < 0.0:
            self.buckets[index] = rate
            return
        self.buckets[index] = old + NEWEST_DAY_WEIGHT * (rate - old)


@attrs.define(eq=False)
class Demand:
    """Demand of one item in requests per second.

    Attributes
    ----------
    fast, slow : decayed counts of all requests, with a short and a long half-life.
    episodes : as `slow`, but all requests within `EPISODE_S` count as one. A short burst adds much
        to `slow` and little to this count.
    episode_until : end of the current episode.
    profile : daily profile, None until the first request.
    """

    fast: DecayedCount
    slow: DecayedCount
    episodes: DecayedCount
    observed_since: float
    episode_until: float = float("-inf")
    profile: DayProfile | None = None

    @classmethod
    def begin(cls, config: PlacementConfig, now: float) -> Demand:
        """Return the demand of an item that was never requested."""
        return cls(
            DecayedCount(config.fast_half_life_s),
            DecayedCount(config.slow_half_life_s),
            DecayedCount(config.slow_half_life_s),
            now,
        )

    def add(self, requests: float, now: float, config: PlacementConfig) -> None:
        """Count requests that arrived just before `now`."""
        self.fast.add(requests, now)
        self.slow.add(requests, now)
        if self.profile is None:
            self.profile = DayProfile.begin(config, now)
        if now >= self.episode_until:
            self.episode_until = now + EPISODE_S
            self.episodes.add(1.0, now)
            self.profile.add(1.0, now, config)

    def is_recent(self, now: float) -> bool:
        """Whether a request came within about one half-life of the fast average."""
        return self.fast.current(now) >= MIN_RECENT_REQUESTS

    def fast_rate(self, now: float) -> float:
        """Return the rate over recent requests, with the short half-life."""
        return self.fast.rate(now, self.observed_since)

    def slow_rate(self, now: float) -> float:
        """Return the rate with the long half-life, limited to the episode rate unless steady.

        The limit keeps short bursts from raising the rate.
        """
        rate = self.slow.rate(now, self.observed_since)
        episodes = self.episodes.rate(now, self.observed_since)
        if episodes >= STEADY_EPISODES_PER_S:
            return rate
        return min(rate, episodes)

    def predicted_rate(self, at: float, now: float, config: PlacementConfig) -> float | None:
        """Return the rate of earlier days at the time `at`, or None without history."""
        if self.profile is None:
            return None
        return self.profile.rate_at(at, now, config)
