"""What the listeners of a process share: its memory, its connections and the event loop."""

from __future__ import annotations

import enum
import socket
from collections import Counter
from collections.abc import Callable

from tornado.ioloop import IOLoop, PeriodicCallback

from zincvale.runtime import log_events
from zincvale.runtime.admission.budget import (
    LARGE_REQUESTS_SHARE,
    MemoryBudget,
)
from zincvale.runtime.admission.connections import Connection, ConnectionTable
from zincvale.runtime.admission.limits import ProcessLimits
from zincvale.runtime.admission.lingering import LingeringSockets
from zincvale.runtime.admission.turns import TurnQueue
from zincvale.runtime.logs import log

REQUEST_BYTES = 96 * 1024
"""Memory of a request besides its body: objects, headers and the receive buffer of the kernel."""
PEER_REQUEST_BYTES = 16 * 1024
"""The same for a peer, which sends nothing while it waits for a response, as a long poll does."""
BODY_COPIES = 2
"""How often a body is in memory at once: as it was received and as it is sent to a server."""
SWEEP_INTERVAL_MS = 1_000
LOG_INTERVAL_S = 5.0
LINGERING_SHARE = 8
"""There is one lingering socket for this many connections at most."""


class Refusal(enum.Enum):
    """Why a request or a connection was refused or closed; written to the log."""

    MEMORY = "memory"
    CONNECTIONS = "connections"
    DESCRIPTORS = "descriptors"
    TOO_LARGE = "too_large"
    TIMEOUT = "timeout"


class Admission:
    """Admits connections and requests within the limits of the process.

    Parameters
    ----------
    clock : seconds on a monotonic clock.
    """

    def __init__(self, limits: ProcessLimits, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.now = clock()
        """The time in seconds at the last `update_now`, which is called as requests arrive."""
        self.budget = MemoryBudget(limits.request_bytes)
        self.connections = ConnectionTable(limits.connections)
        self.lingering = LingeringSockets(max(1, limits.connections // LINGERING_SHARE))
        self.turns = TurnQueue(lambda action: IOLoop.current().add_callback(action))
        self._refusals: Counter[Refusal] = Counter()
        self._logged_at = self.now - LOG_INTERVAL_S
        self._sweeping: PeriodicCallback | None = None

    @property
    def largest_body_bytes(self) -> int:
        """Size of the largest body that fits while there is no other request."""
        share = int(self.budget.limit_bytes * LARGE_REQUESTS_SHARE)
        return max(0, share - REQUEST_BYTES) // BODY_COPIES

    def start(self) -> None:
        """Begin to close connections whose clients take too long; further calls do nothing."""
        if self._sweeping is None:
            self._sweeping = PeriodicCallback(self._sweep, SWEEP_INTERVAL_MS)
            self._sweeping.start()

    def update_now(self) -> float:
        """Read the clock, and return `now`."""
        self.now = self._clock()
        return self.now

    def make_room(self) -> bool:
        """Close a connection if there are as many as allowed; return whether one may be added."""
        return not self.connections.is_full or self.replace_one(Refusal.CONNECTIONS)

    def replace_one(self, reason: Refusal) -> bool:
        """Close the connection that gives way to a new one; return whether there was one."""
        self.record(reason)
        connection = self.connections.to_replace(self.update_now())
        if connection is None:
            return False
        self._close(connection)
        return True

    def record(self, reason: Refusal) -> None:
        """Count a refusal for the log."""
        self._refusals[reason] += 1

    def close_late(self, connection: socket.socket) -> None:
        """Close a socket once its client has read the response."""
        self.lingering.close(connection)

    def _close(self, connection: Connection) -> None:
        self.connections.remove(connection)
        connection.close()

    def _sweep(self) -> None:
        now = self.update_now()
        for connection in self.connections.timed_out(now):
            self.record(Refusal.TIMEOUT)
            self._close(connection)
        self._log_refusals(now)

    def _log_refusals(self, now: float) -> None:
        """Log what was refused since the last line, at most once in `LOG_INTERVAL_S`."""
        reasons = {reason.value: count for reason, count in self._refusals.items()}
        if not set(self._refusals) - {Refusal.TIMEOUT} or now < self._logged_at + LOG_INTERVAL_S:
            return
        self._refusals.clear()
        self._logged_at = now
        log(
            log_events.ADMISSION_LIMITED,
            reasons=reasons,
            connections=len(self.connections),
            reserved_bytes=self.budget.reserved_bytes,
        )
