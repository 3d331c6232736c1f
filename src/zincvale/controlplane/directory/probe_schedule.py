"""When each server is probed next: jittered intervals, quick confirmation of a failure, backoff.

A tick costs what is due, not what is known: due times are in a heap, and a heap item whose
time was changed meanwhile is skipped when it comes up.
"""

from __future__ import annotations

import heapq
import random

import attrs

from zincvale.model.identifiers import ServerId

PROBE_INTERVAL_S = 1.0
"""Between two probes of a server that responds."""
CONFIRMATION_DELAY_S = 0.2
"""Between the first failure of a server that responded and the probe that decides."""
BACKOFF_START_S = 0.5
"""Time to the next probe once a server is down; it doubles with each failure."""
BACKOFF_LIMIT_S = 4.0
"""Longest time between two probes of a server that is down."""
JITTER = 0.2
"""Every delay is drawn from this fraction around it, so that probes do not bunch."""
PROBE_TIMEOUT_S = 1.0
"""Time that a server has to respond to a probe."""
MAX_BACKOFF_DOUBLINGS = 10
"""Bounds the exponent; `BACKOFF_LIMIT_S` is reached long before."""
RESULT_TIMEOUT_S = 2.0
"""A probe without a result for this long counts as failed; its late result still counts.

More than `PROBE_TIMEOUT_S`: it covers a result that the process lost."""


@attrs.define
class ProbeState:
    """One server in the schedule.

    Attributes
    ----------
    due_at : when it is probed next; ignored while a probe is in flight.
    failures : failed probes in a row.
    """

    due_at: float
    failures: int = 0


class ProbeSchedule:
    """Table of the servers that this process probes; at most one probe of each is in flight."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._states: dict[ServerId, ProbeState] = {}
        self._in_flight: dict[ServerId, float] = {}
        """When each probe left, oldest first."""
        self._heap: list[tuple[float, int, ServerId]] = []
        self._pushed = 0

    def add(self, server: ServerId, now: float) -> None:
        """Probe a server from now on, at once for the first time."""
        if server not in self._states:
            self._states[server] = ProbeState(now)
            self._set_due(server, now)

    def remove(self, server: ServerId) -> None:
        """Stop probing a server."""
        self._states.pop(server, None)
        self._in_flight.pop(server, None)

    def assign(self, servers: list[ServerId], now: float) -> None:
        """Probe exactly these servers; those that stay keep their due times."""
        assigned = set(servers)
        for server in [known for known in self._states if known not in assigned]:
            self.remove(server)
        for server in servers:
            self.add(server, now)

    def servers(self) -> list[ServerId]:
        """Return the servers in the schedule."""
        return list(self._states)

    def probe_soon(self, server: ServerId, now: float) -> None:
        """Probe a server at the next tick."""
        state = self._states.get(server)
        if state is not None and state.due_at > now:
            self._set_due(server, now)

    def restart(self, now: float) -> None:
        """Forget probes in flight and probe every server at once, as after a freeze."""
        self._in_flight.clear()
        for server in self._states:
            self._set_due(server, now)

    def on_success(self, server: ServerId, now: float) -> None:
        """Schedule the next probe after a success."""
        self._finish(server, now, has_failed=False)

    def on_failure(self, server: ServerId, now: float) -> None:
        """Schedule the next probe after a failure."""
        self._finish(server, now, has_failed=True)

    def due(self, now: float) -> list[ServerId]:
        """Return the servers to probe now and mark their probes as sent."""
        due: list[ServerId] = []
        while self._heap and self._heap[0][0] <= now:
            due_at, _, server = heapq.heappop(self._heap)
            state = self._states.get(server)
            if state is None or state.due_at != due_at or server in self._in_flight:
                continue
            self._in_flight[server] = now
            due.append(server)
        return due

    def overdue(self, now: float) -> list[ServerId]:
        """Return servers whose probe got no result in time."""
        overdue: list[ServerId] = []
        for server, sent_at in self._in_flight.items():
            if now - sent_at <= RESULT_TIMEOUT_S:
                break
            overdue.append(server)
        return overdue

    def _finish(self, server: ServerId, now: float, *, has_failed: bool) -> None:
        state = self._states.get(server)
        if state is None:
            return
        self._in_flight.pop(server, None)
        state.failures = state.failures + 1 if has_failed else 0
        delay_s = self._delay_after_failure(state.failures) if has_failed else PROBE_INTERVAL_S
        self._set_due(server, now + delay_s * self._random.uniform(1 - JITTER, 1 + JITTER))

    def _set_due(self, server: ServerId, due_at: float) -> None:
        self._states[server].due_at = due_at
        self._pushed += 1
        heapq.heappush(self._heap, (due_at, self._pushed, server))

    def _delay_after_failure(self, failures: int) -> float:
        if failures == 1:
            return CONFIRMATION_DELAY_S
        exponent = min(failures - 2, MAX_BACKOFF_DOUBLINGS)
        return min(BACKOFF_LIMIT_S, BACKOFF_START_S * 2.0**exponent)
