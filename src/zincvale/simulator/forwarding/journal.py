"""What model callers, nodes and servers saw of forwarding: the only source of its checks."""

from __future__ import annotations

import enum

import attrs


class Ending(enum.Enum):
    """How a caller's request ended."""

    OPEN = "open"
    COMPLETE = "whole"
    BROKEN = "cut"
    LEFT = "left"


@attrs.define
class CallerRecord:
    """One request as its caller saw it. Times are seconds."""

    request_id: str
    attempts: int
    may_repeat: bool
    is_stream: bool
    requested_at: float
    limit_at: float
    """When the route's time-out or the caller's own deadline is over."""
    status: int = 0
    retry_after: str = ""
    body: bytes = b""
    ending: Ending = Ending.OPEN
    ended_at: float = 0.0


@attrs.frozen
class Arrival:
    """One request at a server, whatever the server did with it."""

    request_id: str
    server: str
    incarnation: str
    node: str
    sent_at: float
    at: float
    is_in_slow_start: bool
    node_knew_draining: bool
    node_knew_evacuated: bool
    misdirected: bool


@attrs.define
class Run:
    """A server began to work on a request; `body` is what its complete response contains.

    Attributes
    ----------
    given_up_at : when its node cancelled the exchange, which ends the work.
    answered_at : when the server had responded, or broke off.
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
    """Everything that was seen."""

    callers: dict[str, CallerRecord] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
