"""Inputs and effects shared by every state machine.

A state machine does no I/O: `handle(event, now)` takes one typed input and the time, and returns
the effects (messages, writes, replies, log events) in the order in which they must be executed. It
never reads a clock, opens a file or uses a global random source. The daemons' event loop
(`runtime.driver`), the deterministic simulator and the transcript tests drive the same machines.

A call goes `Call` -> `CallReplied` or `CallFailed`. At the called member it is `CallReceived` ->
`Reply`, or `CallAbandoned`, after which a `Reply` is dropped. A write goes `Write` ->
`WriteCompleted`. A token pairs the two ends of such an exchange.

Times are seconds on a monotonic clock that includes suspension.
"""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.model.identifiers import MemberId


@attrs.frozen
class MessageReceived:
    """Input: `sender` sent `message` (a registered peer message) and waits for no reply."""

    sender: MemberId
    message: Any


@attrs.frozen
class CallReceived:
    """Input: `sender` called with `message` and waits for `Reply(token, ...)`, now or later.

    `sender` is this member itself for calls from within the process.
    """

    sender: MemberId
    token: str
    message: Any


@attrs.frozen
class CallAbandoned:
    """Input: the caller of `token` disconnected, so a later reply would be dropped."""

    token: str


@attrs.frozen
class CallReplied:
    """Input: the effect `Call(token, ...)` got the reply `message`."""

    token: str
    message: Any


@attrs.frozen
class CallFailed:
    """Input: the call `token` got no reply, or an empty one; it may have been handled.

    `reason` describes the timeout or the failure for people.
    """

    token: str
    reason: str


@attrs.frozen
class WriteCompleted:
    """Input: the write `token` is durable (`error` is empty) or failed (`error` says why).

    After a failure the version may or may not be on the disk.
    """

    token: str
    error: str = ""


@attrs.frozen
class Tick:
    """Input: the periodic timer fired; the machine handles timeouts and renewals that are due."""


@attrs.frozen
class ClockJumped:
    """Input: the clock advanced by `gap_s` seconds without an input (the process was frozen).

    It precedes the inputs that arrived meanwhile. Leases may have expired, so a machine drops the
    leases that it holds before it handles another input.
    """

    gap_s: float


@attrs.frozen
class ShutdownRequested:
    """Input: the process is about to stop; the machine hands over its leases and ownership."""


@attrs.frozen
class Send:
    """Effect: send `message` to `to`, at most once, without waiting; it may be lost.

    A message to this member itself becomes the next `MessageReceived`.
    """

    to: MemberId
    message: Any


@attrs.frozen
class Write:
    """Effect: make `content` durable as the newest version of `key`; `WriteCompleted` follows.

    `version` increases with each write of a key, so that one file holds one version.
    """

    token: str
    key: str
    version: int
    content: bytes


@attrs.frozen
class Call:
    """Effect: call `to`; `CallReplied` or `CallFailed` with `token` follows within `timeout_s`."""

    to: MemberId
    token: str
    message: Any
    timeout_s: float


@attrs.frozen
class Reply:
    """Effect: reply to the call `token` with `message`; dropped if its caller disconnected."""

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
