"""Measured demand of one item: decayed averages and the shape of its day."""

from __future__ import annotations

import math
from array import array

import attrs

from zincvale.controlplane.placement.config import PlacementConfig

LN_2 = math.log(2.0)
"""Turns a half-life into a rate of decay."""
PROFILE_WEIGHT_OF_NEWEST_DAY = 0.5
"""Part of a day's shape that the newest day replaces; 1 would forget all days before."""
NOT_SEEN = -1.0
"""Part of a day without history; rates are never negative."""
RECENT_EVENTS = 0.5
"""Decayed requests at which demand counts as recent: one request within the half-life."""
EPISODE_S = 5.0
"""Requests within this time count as one episode; longer hides steady demand, shorter shows
crowds."""
STEADY_EPISODES_PER_S = 0.5 / EPISODE_S
"""Above this an item is asked for most of the time, and its whole rate counts."""
MIN_OBSERVATION_S = 30.0
"""A rate is taken over at least this time, so that the first request is not a high rate."""


@attrs.define(eq=False)
class DecayedCount:
    """A count whose events lose half their weight each half-life."""

    half_life_s: float
    count: float = 0.0
    at: float = 0.0

    def add(self, events: float, now: float) -> None:
        """Count `events` at `now`."""
        self.count = self._decayed(now) + events
        self.at = now

    def rate(self, now: float, observed_since: float) -> float:
        """Return events per second, corrected for an observation shorter than the memory."""
        weight = self._decayed(now) * LN_2 / self.half_life_s
        age = max(now - observed_since, MIN_OBSERVATION_S)
        observed_fraction: float = 1.0 - 0.5 ** (age / self.half_life_s)
        return weight / observed_fraction

    def present(self, now: float) -> float:
        """Return the events, each with what is left of its weight."""
        return self._decayed(now)

    def _decayed(self, now: float) -> float:
        if now <= self.at:
            return self.count
        left: float = 0.5 ** ((now - self.at) / self.half_life_s)
        return self.count * left


@attrs.define(eq=False)
class DayProfile:
    """Episodes per second by the part of a repeating day, averaged over days.

    The day's phase is the monotonic clock's: only its repetition matters, not its midnight.
    """

    buckets: array[float]
    bucket: int
    """Number of the running part, counted from time 0."""
    count: float = 0.0

    @classmethod
    def begin(cls, config: PlacementConfig, now: float) -> DayProfile:
        """Return a profile that has seen nothing."""
        return cls(array("f", [NOT_SEEN] * config.day_buckets), int(now / config.bucket_s))

    def add(self, events: float, now: float, config: PlacementConfig) -> None:
        """Count episodes in the part of the day at `now`."""
        self._roll(now, config)
        self.count += events

    def rate_at(self, at: float, now: float, config: PlacementConfig) -> float | None:
        """Return the rate that history shows around the time `at`; None without history."""
        self._roll(now, config)
        number = int(at / config.bucket_s)
        first = self.buckets[number % config.day_buckets]
        second = self.buckets[(number + 1) % config.day_buckets]
        if first < 0.0 or second < 0.0:
            return None
        return (first + second) / 2.0

    def _roll(self, now: float, config: PlacementConfig) -> None:
        current = int(now / config.bucket_s)
        if current == self.bucket:
            return
        self._close(self.bucket, self.count / config.bucket_s, config)
        skipped = min(current - self.bucket - 1, config.day_buckets)
        for number in range(current - skipped, current):
            self._close(number, 0.0, config)
        self.bucket = current
        self.count = 0.0

    def _close(self, number: int, rate: float, config: PlacementConfig) -> None:
        index = number % config.day_buckets
        old = self.buckets[index]
        if old < 0.0:
            self.buckets[index] = rate
            return
        self.buckets[index] = old + PROFILE_WEIGHT_OF_NEWEST_DAY * (rate - old)


@attrs.define(eq=False)
class Demand:
    """Demand of one item in requests per second.

    Attributes
    ----------
    episodes : as `slow`, but of all requests within `EPISODE_S` one counts. A crowd that came and
        went leaves much in `slow` and little here.
    """

    fast: DecayedCount
    slow: DecayedCount
    episodes: DecayedCount
    observed_since: float
    episode_until: float = float("-inf")
    profile: DayProfile | None = None

    @classmethod
    def begin(cls, config: PlacementConfig, now: float) -> Demand:
        """Return demand that was never observed."""
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
        """Whether a request came within about the half-life of the recent rate."""
        return self.fast.present(now) >= RECENT_EVENTS

    def fast_rate(self, now: float) -> float:
        """Return the recent rate."""
        return self.fast.rate(now, self.observed_since)

    def slow_rate(self, now: float) -> float:
        """Return the long average rate, without the weight of crowds that were short."""
        rate = self.slow.rate(now, self.observed_since)
        episodes = self.episodes.rate(now, self.observed_since)
        if episodes >= STEADY_EPISODES_PER_S:
            return rate
        return min(rate, episodes)

    def predicted_rate(self, at: float, now: float, config: PlacementConfig) -> float | None:
        """Return the rate that earlier days show for the time `at`, if they show any."""
        if self.profile is None:
            return None
        return self.profile.rate_at(at, now, config)
