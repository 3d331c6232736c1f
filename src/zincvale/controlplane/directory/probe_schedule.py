"""Schedule of probes: jittered intervals, quick confirmation of a failure, exponential backoff.

The cost of a tick depends on the number of due probes, not of servers: due times are in a heap, and
a heap item whose due time was changed later is skipped when it is popped.
"""

from __future__ import annotations

import heapq
import random

import attrs

from zincvale.model.identifiers import ServerId

PROBE_INTERVAL_S = 1.0
"""Mean interval between two probes of a server that responds."""
CONFIRMATION_DELAY_S = 0.2
"""Mean delay between a first failed probe and the probe that confirms the failure."""
BACKOFF_START_S = 0.5
"""Mean delay after the second failed probe in a row; it doubles with each further failure."""
BACKOFF_LIMIT_S = 4.0
"""Largest mean delay between two probes of a server that is down."""
JITTER = 0.2
"""Largest relative deviation of each delay from its mean, so that probes do not synchronize."""
PROBE_TIMEOUT_S = 1.0
"""Timeout of a probe."""
MAX_BACKOFF_DOUBLINGS = 10
"""Limit on the exponent of the backoff; `BACKOFF_LIMIT_S` is reached long before."""
RESULT_TIMEOUT_S = 2.0
"""Time after which a probe without a result counts as failed; a late result is still applied.

It exceeds `PROBE_TIMEOUT_S` and covers the case that the process lost a result."""


@attrs.define
class ProbeState:
    """One server in the schedule.

    Attributes
    ----------
    due_at : time of the next probe; ignored while a probe is in flight.
    failures : number of failed probes in a row.
    """

    due_at: float
    failures: int = 0


class ProbeSchedule:
    """Schedule of the servers that this process probes; at most one probe of each is in flight."""

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._states: dict[ServerId, ProbeState] = {}
        self._in_flight: dict[ServerId, float] = {}
        """Time at which each probe was sent, oldest first."""
        self._heap: list[tuple[float, int, ServerId]] = []
        self._push_count = 0

    def add(self, server: ServerId, now: float) -> None:
        """Start probing a server; its first probe is due immediately."""
        if server not in self._states:
            self._states[server] = ProbeState(now)
            self._set_due(server, now)

    def remove(self, server: ServerId) -> None:
        """Stop probing a server."""
        self._states.pop(server, None)
        self._in_flight.pop(server, None)

    def assign(self, servers: list[ServerId], now: float) -> None:
        """Probe exactly these servers; servers already scheduled keep their due times."""
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
        """Forget probes in flight and make every server due, as after a pause of the process."""
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
        """Return the servers whose probe got no result in time."""
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
        self._push_count += 1
        heapq.heappush(self._heap, (due_at, self._push_count, server))

    def _delay_after_failure(self, failures: int) -> float:
        if failures == 1:
            return CONFIRMATION_DELAY_S
        exponent = min(failures - 2, MAX_BACKOFF_DOUBLINGS)
        return min(BACKOFF_LIMIT_S, BACKOFF_START_S * 2.0**exponent)
