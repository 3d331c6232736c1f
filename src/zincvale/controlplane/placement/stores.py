"""Table of weight stores: what may be pulled, and what may be being pulled now."""

from __future__ import annotations

import math
from collections import deque

import attrs

from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.model.identifiers import Address, StoreName

LOADS_LEFT_TO_NEW_LEADER = 3
"""Loads of a window that a new leader may begin whatever its predecessor began; more may pass the
store's limit, none would block the first loads for a window."""


@attrs.define
class PlannedPulls:
    """Loads of one store that are planned and not ordered."""

    count: int = 0
    total_bytes: int = 0

    def add(self, item_bytes: int) -> None:
        """Count one more."""
        self.count += 1
        self.total_bytes += item_bytes


@attrs.define(eq=False)
class StoreState:
    """One store's budget.

    Ordered bytes are owed and paid off at the store's rate; a load is ordered only while what is
    owed is within the burst. So over any time the fleet asks for at most the rate times that time
    plus one item, however fast each server pulls. Small items have a share of their own, so that
    they do not wait for a large pull to be paid off; large ones pay for it.

    Attributes
    ----------
    in_flight : loads ordered and not seen over.
    slots_kept_until : ends of pulls by servers that left the directory.
    owed_bytes, owed_small_bytes : at the time `paid_at`.
    loads_per_window, window_s : loads that may begin in any time of this length; 0 means any.
    """

    store: StoreName
    address: Address
    bytes_per_second: int
    max_concurrent_loads: int
    in_flight: int = 0
    slots_kept_until: list[float] = attrs.field(factory=list)
    owed_bytes: float = 0.0
    owed_small_bytes: float = 0.0
    paid_at: float = 0.0
    loads_per_window: int = 0
    window_s: float = 0.0
    _begun: deque[float] = attrs.field(factory=deque)

    def may_order(self, item_bytes: int, now: float, config: PlacementConfig) -> bool:
        """Whether a load of `item_bytes` may be ordered now."""
        if self.occupied_slots(now) >= self.max_concurrent_loads or not self._window_left(now):
            return False
        self._pay(now, config)
        burst = self.bytes_per_second * config.store_burst_s
        if self.owed_bytes <= burst:
            return True
        if item_bytes > config.small_item_bytes:
            return False
        return self.owed_small_bytes <= burst * config.small_item_share

    def may_plan(
        self, item_bytes: int, planned: PlannedPulls, at: float, now: float, config: PlacementConfig
    ) -> bool:
        """Whether a load may be planned to be ordered at `at`, after those already planned."""
        if self.occupied_slots(now) + planned.count >= self.max_concurrent_loads:
            return False
        if item_bytes <= config.small_item_bytes:
            return True
        self._pay(now, config)
        owed = max(self.owed_bytes - (at - now) * self.bytes_per_second, 0.0)
        return owed + planned.total_bytes <= self.bytes_per_second * config.store_burst_s

    def order(self, item_bytes: int, now: float, config: PlacementConfig) -> None:
        """Take a slot and owe the bytes."""
        self._pay(now, config)
        self.in_flight += 1
        if self.loads_per_window:
            self._begun.append(now)
        self.owed_bytes += item_bytes
        if item_bytes <= config.small_item_bytes:
            self.owed_small_bytes += item_bytes

    def adopt(self) -> None:
        """Take a slot for a pull that was found running."""
        self.in_flight += 1

    def release(self) -> None:
        """Give a slot back: the pull was seen over."""
        self.in_flight -= 1

    def keep_slot(self, until: float) -> None:
        """Keep a slot occupied until `until` for a pull that nobody can observe any more."""
        self.in_flight -= 1
        self.slots_kept_until.append(until)

    def occupied_slots(self, now: float) -> int:
        """Return pulls that may be running."""
        if self.slots_kept_until:
            self.slots_kept_until = [until for until in self.slots_kept_until if until > now]
        return self.in_flight + len(self.slots_kept_until)

    def free_at(self, now: float, config: PlacementConfig) -> float:
        """Return when the owed bytes will be within the burst."""
        self._pay(now, config)
        over = self.owed_bytes - self.bytes_per_second * config.store_burst_s
        return now + max(over, 0.0) / self.bytes_per_second

    def assume_begun(self, quiet_s: float, now: float) -> None:
        """A leader before may have begun loads at the store's full speed until now.

        Counted are those that still lie in a window when this leader may order, after `quiet_s`.
        """
        if not self.loads_per_window:
            return
        self._begun.clear()
        most = self.loads_per_window - LOADS_LEFT_TO_NEW_LEADER
        rate = self.loads_per_window / self.window_s
        in_window = self.max_concurrent_loads + math.ceil(rate * max(0.0, self.window_s - quiet_s))
        self._begun.extend([now] * max(0, min(most, in_window)))

    def begun(self, now: float) -> int:
        """Return how many loads began in the window that ends now."""
        self._window_left(now)
        return len(self._begun)

    def _window_left(self, now: float) -> bool:
        """Whether one more load may begin in the window that ends now."""
        while self._begun and self._begun[0] <= now - self.window_s:
            self._begun.popleft()
        return not self.loads_per_window or len(self._begun) < self.loads_per_window

    def _pay(self, now: float, config: PlacementConfig) -> None:
        elapsed = max(now - self.paid_at, 0.0)
        self.paid_at = now
        paid = elapsed * self.bytes_per_second
        self.owed_bytes = max(self.owed_bytes - paid, 0.0)
        self.owed_small_bytes = max(self.owed_small_bytes - paid * config.small_item_share, 0.0)
