"""Passive outlier detection of one server by this node's own exchanges, and its slow start."""

from __future__ import annotations

import math

import attrs

CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Number of consecutive failures that eject a server. With fewer, a lost connection would eject it;
with more, a failed server would get more requests."""
INITIAL_EJECTION_S = 1.0
"""Duration of the first ejection; it doubles with each consecutive one."""
MAX_EJECTION_S = 20.0
"""Duration of the longest ejection, for which a recovered server may stay unused."""
SLOW_START_S = 8.0
"""How long a server that became ready ramps up to its full limit."""
MIN_SLOW_START_FACTOR = 0.1
"""The factor at the beginning of slow start; at 0 a ready server would get no first request."""
FORGET_FAILURES_AFTER_S = 30.0
"""Failures further apart than this are not consecutive."""


@attrs.define
class OutlierDetector:
    """Consecutive failures eject a server for a doubling time; one success readmits it.

    Legal transitions: in service to ejected (`on_failure`); ejected to probing (`on_dispatched`
    after the ejection); probing to in service (`on_success`), to ejected for longer (`on_failure`)
    or back to an ejection that has run out (`on_inconclusive`); ejected to in service (a late
    `on_success`).

    When the ejection has run out, a single request probes the server (half-open); a failure of
    the probe ejects it again for longer.
    """

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    last_failure_at: float = -math.inf
    is_probing: bool = False

    def is_ejected(self, now: float) -> bool:
        """Whether the server is ejected at `now`, or its single probe is in flight."""
        if self.ejections == 0:
            return False
        return now < self.ejected_until or self.is_probing

    def on_dispatched(self, now: float) -> None:
        """Record that a request is sent; the first one after an ejection is the probe."""
        if self.ejections and now >= self.ejected_until:
            self.is_probing = True

    def on_success(self) -> bool:
        """Forget the failures; returns True when this readmits an ejected server."""
        readmitted = self.ejections > 0
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until = -math.inf
        self.is_probing = False
        return readmitted

    def on_inconclusive(self) -> None:
        """Record a request whose end says nothing about the server."""
        self.is_probing = False

    def on_failure(self, now: float) -> bool:
        """Count a failure; returns True when it ejects the server."""
        if now - self.last_failure_at > FORGET_FAILURES_AFTER_S:
            self.consecutive_failures = 0
        self.last_failure_at = now
        self.consecutive_failures += 1
        was_probe = self.is_probing
        self.is_probing = False
        if not was_probe and self.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT:
            return False
        if not was_probe and now < self.ejected_until:
            return False
        duration_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + duration_s
        return True


def slow_start_factor(ready_for_s: float) -> float:
    """Return the factor on the limit of a server that has been ready for `ready_for_s` seconds."""
    return min(1.0, max(MIN_SLOW_START_FACTOR, ready_for_s / SLOW_START_S))
