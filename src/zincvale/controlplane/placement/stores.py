"""Table of weight stores: their limits on pulls, and the pulls that may be in progress."""

from __future__ import annotations

import itertools
import math
from collections import deque

import attrs

from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.model.identifiers import Address, StoreName

LOADS_LEFT_TO_NEW_LEADER = 3
"""Loads per window that a new leader may start without knowing what its predecessor started.

More could exceed the store's limit; with none, the first loads would wait for a whole window."""


@attrs.define
class PlannedPulls:
    """Loads from one store that are planned but not yet ordered."""

    count: int = 0
    total_bytes: int = 0

    def add(self, item_bytes: int) -> None:
        """Count one more planned load."""
        self.count += 1
        self.total_bytes += item_bytes


@attrs.define(eq=False)
class StoreState:
    """One store, with the limits on its pulls.

    Pulls are limited by a leaky bucket. Each ordered load adds its bytes to a backlog, which
    shrinks at the store's rate, and a load is ordered only while the backlog is within the burst.
    So in any period the fleet orders at most what the rate allows in it plus about the burst and
    one item, however fast each server pulls. Small items may use a share of the rate of their own,
    so that they do not wait for a large pull. Their bytes also count in the common backlog, so they
    delay large pulls.

    Attributes
    ----------
    in_flight : loads that are ordered and whose end was not observed yet.
    slots_kept_until : when the pulls of servers that left the directory have ended at the latest.
    backlog_bytes, small_backlog_bytes : backlogs of all and of small items, at the time
        `backlog_updated_at`.
    loads_per_window, window_s : limit on the loads that start within any period of this length; 0
        means no limit.
    """

    store: StoreName
    address: Address
    bytes_per_second: int
    max_concurrent_loads: int
    in_flight: int = 0
    slots_kept_until: list[float] = attrs.field(factory=list)
    backlog_bytes: float = 0.0
    small_backlog_bytes: float = 0.0
    backlog_updated_at: float = 0.0
    loads_per_window: int = 0
    window_s: float = 0.0
    _load_starts: deque[float] = attrs.field(factory=deque)

    def may_order(self, item_bytes: int, now: float, config: PlacementConfig) -> bool:
        """Whether a load of `item_bytes` may be ordered now."""
        if self.occupied_slots(now) >= self.max_concurrent_loads:
            return False
        if not self._window_allows(1, now):
            return False
        self._update_backlog(now, config)
        burst = self.bytes_per_second * config.store_burst_s
        if self.backlog_bytes <= burst:
            return True
        if item_bytes > config.small_item_bytes:
            return False
        return self.small_backlog_bytes <= burst * config.small_item_share

    def may_plan(
        self, item_bytes: int, planned: PlannedPulls, at: float, now: float, config: PlacementConfig
    ) -> bool:
        """Whether a load may be planned for the time `at`, in addition to those in `planned`."""
        if self.occupied_slots(now) + planned.count >= self.max_concurrent_loads:
            return False
        if not self._window_allows(planned.count + 1, at):
            return False
        if item_bytes <= config.small_item_bytes:
            return True
        self._update_backlog(now, config)
        backlog = max(self.backlog_bytes - (at - now) * self.bytes_per_second, 0.0)
        return backlog + planned.total_bytes <= self.bytes_per_second * config.store_burst_s

    def record_order(self, item_bytes: int, now: float, config: PlacementConfig) -> None:
        """Occupy a slot for an ordered load and add its bytes to the backlog."""
        self._update_backlog(now, config)
        self.in_flight += 1
        if self.loads_per_window:
            self._forget_old_starts(now)
            self._load_starts.append(now)
        self.backlog_bytes += item_bytes
        if item_bytes <= config.small_item_bytes:
            self.small_backlog_bytes += item_bytes

    def occupy_slot(self) -> None:
        """Occupy a slot for a pull that was found in progress."""
        self.in_flight += 1

    def release_slot(self) -> None:
        """Release the slot of a pull that has ended."""
        self.in_flight -= 1

    def keep_slot(self, until: float) -> None:
        """Keep a slot occupied until `until`, for a pull that can no longer be observed."""
        self.in_flight -= 1
        self.slots_kept_until.append(until)

    def occupied_slots(self, now: float) -> int:
        """Return the number of pulls that may be in progress."""
        if self.slots_kept_until:
            self.slots_kept_until = [until for until in self.slots_kept_until if until > now]
        return self.in_flight + len(self.slots_kept_until)

    def free_at(self, now: float, config: PlacementConfig) -> float:
        """Return when the backlog will be within the burst."""
        self._update_backlog(now, config)
        excess_bytes = self.backlog_bytes - self.bytes_per_second * config.store_burst_s
        return now + max(excess_bytes, 0.0) / self.bytes_per_second

    def assume_earlier_loads(self, quiet_s: float, now: float) -> None:
        """Assume that an earlier leader started as many loads as the store allowed until now.

        Only loads that are still within the window after `quiet_s`, when this leader may send its
        first order, are counted.
        """
        if not self.loads_per_window:
            return
        self._load_starts.clear()
        max_assumed = self.loads_per_window - LOADS_LEFT_TO_NEW_LEADER
        rate = self.loads_per_window / self.window_s
        in_window = self.max_concurrent_loads + math.ceil(rate * max(0.0, self.window_s - quiet_s))
        self._load_starts.extend([now] * max(0, min(max_assumed, in_window)))

    def loads_in_window(self, now: float) -> int:
        """Return how many loads started in the window that ends now."""
        self._forget_old_starts(now)
        return len(self._load_starts)

    def _forget_old_starts(self, now: float) -> None:
        while self._load_starts and self._load_starts[0] <= now - self.window_s:
            self._load_starts.popleft()

    def _window_allows(self, loads: int, at: float) -> bool:
        """Whether `loads` more loads may start at `at`, now or later."""
        if not self.loads_per_window:
            return True
        expired = itertools.takewhile(lambda start: start <= at - self.window_s, self._load_starts)
        in_window = len(self._load_starts) - sum(1 for _ in expired)
        return in_window + loads <= self.loads_per_window

    def _update_backlog(self, now: float, config: PlacementConfig) -> None:
        elapsed = max(now - self.backlog_updated_at, 0.0)
        self.backlog_updated_at = now
        pulled_bytes = elapsed * self.bytes_per_second
        self.backlog_bytes = max(self.backlog_bytes - pulled_bytes, 0.0)
        self.small_backlog_bytes = max(
            self.small_backlog_bytes - pulled_bytes * config.small_item_share, 0.0
        )
