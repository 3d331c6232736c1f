"""The journal: what simulated callers, nodes and servers observed; all checks are based on it."""

from __future__ import annotations

import enum

import attrs


class Ending(enum.Enum):
    """How a caller's request ended."""

    OPEN = "open"
    COMPLETE = "whole"
    BROKEN = "cut"
    DISCONNECTED = "left"


@attrs.define
class CallerRecord:
    """One request as its caller saw it. Times are seconds of virtual time."""

    request_id: str
    max_attempts: int
    may_repeat: bool
    is_stream: bool
    requested_at: float
    deadline_at: float
    """The earlier of the route's timeout and the caller's own deadline."""
    status: int = 0
    retry_after: str = ""
    body: bytes = b""
    ending: Ending = Ending.OPEN
    ended_at: float = 0.0


@attrs.frozen
class Arrival:
    """The arrival of a request at a server, whether or not the server ran it."""

    request_id: str
    server: str
    incarnation: str
    node: str
    sent_at: float
    at: float
    is_in_slow_start: bool
    node_knew_draining: bool
    node_knew_evacuated: bool
    is_misdirected: bool


@attrs.define
class Run:
    """A run of a request at a server.

    Attributes
    ----------
    at : time at which the run began.
    resumed_after : number of the last event that the caller already has; 0 for a new request.
    body : body of the complete response.
    cancelled_at : time at which the node cancelled the exchange, which ends the run.
    responded_at : time at which the server completed or broke off its response.
    """

    request_id: str
    incarnation: str
    at: float
    resumed_after: int
    body: bytes
    cancelled_at: float | None = None
    responded_at: float | None = None


@attrs.define
class ForwardingJournal:
    """All records of one simulation."""

    callers: dict[str, CallerRecord] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
