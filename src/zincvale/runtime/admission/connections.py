"""The accepted connections of a process, and which of them gives way to a new one."""

from __future__ import annotations

import enum

import attrs

from zincvale.runtime.admission.limits import ListenerLimits

BODY_TIMEOUT_S = 10.0
"""Time limit for receiving a request body; bounds how long a slow sender occupies a connection."""
HEADERS_GRACE_S = 0.25
BODY_GRACE_S = 0.5
STALLED_RESPONSE_S = 1.0
"""A connection that has waited for its client no longer than these gives way only if no other can:
the client of a new connection needs a moment to send its request."""


class Phase(enum.Enum):
    """What a connection waits for.

    Transitions: IDLE -> HEADERS -> BODY -> RESPONSE -> IDLE; a request without a body goes from
    HEADERS to RESPONSE. A connection may close in every phase.
    """

    IDLE = "idle"
    """The first byte of a request."""
    HEADERS = "headers"
    BODY = "body"
    RESPONSE = "response"
    """The end of the response."""


class Replaceability(enum.IntEnum):
    """Why a connection may give way to a new one; the first of these does so first."""

    UNUSED = 1
    """Its client has had time to send headers and has not."""
    UNFINISHED = 2
    """Its client has had time to send a body and has not."""
    KEPT = 3
    """It waits for the next request."""
    STALLED = 4
    """Its client does not read the response."""
    NEW = 5
    """Its client has not had time to send headers."""


@attrs.define(eq=False)
class Connection:
    """One accepted connection.

    Attributes
    ----------
    phase_since : when the phase began, in seconds.
    has_served : whether it has had a complete request and response.
    stalled_since : when its client began to leave response bytes unread; None if there are none.
    """

    limits: ListenerLimits
    phase_since: float
    phase: Phase = Phase.IDLE
    has_served: bool = False
    stalled_since: float | None = None

    def close(self) -> None:
        """Close the connection; a request whose body is not complete is refused first."""
        raise NotImplementedError

    def replaceability(self, now: float) -> Replaceability | None:
        """Return why the connection may give way to a new one; None if it serves a request."""
        waited_s = now - self.phase_since
        match self.phase:
            case Phase.IDLE if self.has_served:
                return Replaceability.KEPT
            case Phase.IDLE | Phase.HEADERS:
                is_new = waited_s <= HEADERS_GRACE_S
                return Replaceability.NEW if is_new else Replaceability.UNUSED
            case Phase.BODY:
                return Replaceability.UNFINISHED if waited_s > BODY_GRACE_S else None
            case Phase.RESPONSE:
                has_stalled = self.has_stalled(now, STALLED_RESPONSE_S)
                return Replaceability.STALLED if has_stalled else None

    def has_timed_out(self, now: float) -> bool:
        """Whether its client has taken longer than the limits of the listener allow."""
        limits = self.limits.current()
        match self.phase:
            case Phase.IDLE:
                return now - self.phase_since > limits.idle_timeout_s
            case Phase.HEADERS:
                return now - self.phase_since > limits.header_timeout_s
            case Phase.BODY:
                return now - self.phase_since > BODY_TIMEOUT_S
            case Phase.RESPONSE:
                return self.has_stalled(now, limits.idle_timeout_s)

    def has_stalled(self, now: float, limit_s: float) -> bool:
        """Whether its client has read nothing of a waiting response for longer than `limit_s`."""
        return self.stalled_since is not None and now - self.stalled_since > limit_s


class ConnectionTable:
    """All accepted connections of a process, in the order in which their phases began."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._connections: dict[Connection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def is_full(self) -> bool:
        """Whether a connection has to give way before another one is added."""
        return len(self._connections) >= self.limit

    def add(self, connection: Connection) -> None:
        """Add an accepted connection."""
        self._connections[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection; it may be removed already."""
        self._connections.pop(connection, None)

    def enter(self, connection: Connection, phase: Phase, now: float) -> None:
        """Begin a phase of a connection."""
        connection.phase = phase
        connection.phase_since = now
        if connection in self._connections:
            del self._connections[connection]
            self._connections[connection] = None

    def timed_out(self, now: float) -> list[Connection]:
        """Return the connections whose clients have taken too long."""
        return [each for each in self._connections if each.has_timed_out(now)]

    def to_replace(self, now: float) -> Connection | None:
        """Return the connection that gives way to a new one; None if each serves a request."""
        first_of_rank: dict[Replaceability, Connection] = {}
        for connection in self._connections:
            rank = connection.replaceability(now)
            if rank is Replaceability.UNUSED:
                return connection
            if rank is not None:
                first_of_rank.setdefault(rank, connection)
        return first_of_rank[min(first_of_rank)] if first_of_rank else None
