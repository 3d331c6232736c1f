"""Calls to other nodes' claim services: a few in flight to each, the rest queued and batched.

At low rates every call leaves at once and alone. Under load, and while a node does not respond,
the calls queued for it leave as one batch.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

from zincvale.dataplane.claims.messages import BatchCall, BatchReply, NamedMessage
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call
from zincvale.transport.codec import decode_message, encode_message
from zincvale.transport.peer import PeerCaller

MAX_CALLS_IN_FLIGHT = 3
MAX_MESSAGES_IN_BATCH = 64

OnReply = Callable[[str, Any], None]
"""Receives a call's token and the reply, or None when there was none."""


@attrs.define
class _PeerQueue:
    """The calls to one node."""

    pending: deque[tuple[Call, float]] = attrs.field(factory=deque)
    in_flight: int = 0


class PeerCallQueues:
    """Carries out `Call` effects.

    Parameters
    ----------
    clock : seconds on the monotonic clock that counts suspension.
    """

    def __init__(self, peers: PeerCaller, clock: Callable[[], float], on_reply: OnReply) -> None:
        self._peers = peers
        self._clock = clock
        self._on_reply = on_reply
        self._queues: dict[MemberId, _PeerQueue] = {}
        self._tasks: set[asyncio.Future[None]] = set()

    def call(self, call: Call) -> None:
        """Make a call now, or together with others when enough are in flight."""
        queue = self._queues.setdefault(call.to, _PeerQueue())
        if queue.in_flight >= MAX_CALLS_IN_FLIGHT:
            queue.pending.append((call, self._clock()))
            return
        self._start(queue, [call])

    def _start(self, queue: _PeerQueue, calls: list[Call]) -> None:
        queue.in_flight += 1
        task = asyncio.ensure_future(self._run(queue, calls))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, queue: _PeerQueue, calls: list[Call]) -> None:
        replies = await self._exchange(calls)
        queue.in_flight -= 1
        self._start_pending(queue)
        for call, reply in zip(calls, replies, strict=True):
            self._on_reply(call.token, reply)

    async def _exchange(self, calls: list[Call]) -> list[Any]:
        """Return the reply to each call, None for those without."""
        nothing = [None] * len(calls)
        message = calls[0].message if len(calls) == 1 else pack_calls(calls)
        try:
            reply = await self._peers.call(calls[0].to, message, calls[0].timeout_s)
            replies = [reply] if len(calls) == 1 else unpack_replies(reply)
        except Exception:  # whatever the reason, the machine must not wait for ever
            return nothing
        return replies if len(replies) == len(calls) else nothing

    def _start_pending(self, queue: _PeerQueue) -> None:
        now = self._clock()
        batch: list[Call] = []
        while queue.pending and len(batch) < MAX_MESSAGES_IN_BATCH:
            call, since = queue.pending.popleft()
            if now < since + call.timeout_s:
                batch.append(call)
            else:
                self._on_reply(call.token, None)
        if batch:
            self._start(queue, batch)


def pack_calls(calls: list[Call]) -> BatchCall:
    """Return the messages of several calls as one."""
    return BatchCall([pack_message(call.message) for call in calls])


def pack_message(message: Any) -> NamedMessage:
    """Return a registered message with its name."""
    return NamedMessage(message.MESSAGE_NAME, encode_message(message))


def unpack_message(named: NamedMessage) -> Any:
    """Return the message; raises `MalformedBodyError`."""
    return decode_message(named.name, named.body)


def unpack_replies(reply: BatchReply) -> list[Any]:
    """Return the replies in a batch's reply; raises `MalformedBodyError`."""
    return [unpack_message(named) for named in reply.replies]
