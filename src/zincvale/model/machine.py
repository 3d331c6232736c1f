"""Inputs and effects shared by every state machine.

A state machine is pure: `handle(event, now)` takes one typed input and the time, and returns what
to send, write, answer and log, in order. It never reads a clock, opens a file or draws from a
global random source. The daemon's event loop, the deterministic simulator and the transcript tests
drive the same machines.

Times are seconds on a monotonic clock that counts suspension.
"""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.model.identifiers import MemberId


@attrs.frozen
class MessageReceived:
    """Input: `sender` sent `message` (a registered peer message)."""

    sender: MemberId
    message: Any


@attrs.frozen
class CallReceived:
    """Input: `sender` calls and waits; answer with `Reply(token, message)`, now or later."""

    sender: MemberId
    token: str
    message: Any


@attrs.frozen
class CallAbandoned:
    """Input: the caller behind `token` went away; no reply is wanted any more."""

    token: str


@attrs.frozen
class CallReplied:
    """Input: the call made by effect `Call(token, ...)` was answered with `message`."""

    token: str
    message: Any


@attrs.frozen
class CallFailed:
    """Input: the call `token` got no answer; whether it was handled is not known."""

    token: str
    reason: str


@attrs.frozen
class WriteCompleted:
    """Input: the write `token` is durable (`error` is empty) or failed (`error` says why)."""

    token: str
    error: str = ""


@attrs.frozen
class Tick:
    """Input: the periodic timer fired."""


@attrs.frozen
class ClockJumped:
    """Input: the clock advanced by `gap_s` without a tick (a freeze); leases are no longer held."""

    gap_s: float


@attrs.frozen
class ShutdownRequested:
    """Input: the process was asked to stop and will; what it holds is handed over."""


@attrs.frozen
class Send:
    """Effect: send `message` to `to`, once, without waiting; it may be lost."""

    to: MemberId
    message: Any


@attrs.frozen
class Write:
    """Effect: make `content` durable as the newest version of `key`; answer `WriteCompleted`.

    `version` increases with each write of a key, so that one file holds one version.
    """

    token: str
    key: str
    version: int
    content: bytes


@attrs.frozen
class Call:
    """Effect: call `to` and wait; `CallReplied` or `CallFailed` with `token` follows."""

    to: MemberId
    token: str
    message: Any
    timeout_s: float


@attrs.frozen
class Reply:
    """Effect: answer the call `token` with `message`."""

    token: str
    message: Any


@attrs.frozen
class Log:
    """Effect: write the numbered log event `number` (see docs/EVENTS.md) with `fields`."""

    number: int
    fields: dict[str, Any] = attrs.field(factory=dict)


Input = (
    MessageReceived
    | CallReceived
    | CallAbandoned
    | CallReplied
    | CallFailed
    | WriteCompleted
    | Tick
    | ClockJumped
    | ShutdownRequested
)
Effect = Send | Write | Call | Reply | Log
