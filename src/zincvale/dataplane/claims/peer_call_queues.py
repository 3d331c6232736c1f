"""Calls to other nodes' claim services: a few in flight to each, the rest queued and batched.

At low rates every call is sent immediately and by itself. Under load, and while a node does not
respond, the calls queued for it are sent as one batch.
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
"""Callback with a call's token and its reply, or None if the call got no reply."""


@attrs.define
class _PeerQueue:
    """The calls to one node: those queued, with the time of each, and the number in flight."""

    pending: deque[tuple[Call, float]] = attrs.field(factory=deque)
    in_flight: int = 0


class PeerCallQueues:
    """Carries out `Call` effects over peer calls.

    Parameters
    ----------
    clock : returns seconds of a monotonic clock that also runs while the machine is suspended.
    on_reply : called once for each call.
    """

    def __init__(self, peers: PeerCaller, clock: Callable[[], float], on_reply: OnReply) -> None:
        self._peers = peers
        self._clock = clock
        self._on_reply = on_reply
        self._queues: dict[MemberId, _PeerQueue] = {}
        self._tasks: set[asyncio.Future[None]] = set()

    def call(self, call: Call) -> None:
        """Send a call now, or queue it for a batch while `MAX_CALLS_IN_FLIGHT` are in flight."""
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
        """Send the calls in one message and return the reply to each, None where there is none."""
        no_replies = [None] * len(calls)
        message = calls[0].message if len(calls) == 1 else pack_calls(calls)
        try:
            reply = await self._peers.call(calls[0].to, message, calls[0].timeout_s)
            replies = [reply] if len(calls) == 1 else unpack_replies(reply)
        except Exception:  # any unhandled error would leave the state machine waiting
            return no_replies
        return replies if len(replies) == len(calls) else no_replies

    def _start_pending(self, queue: _PeerQueue) -> None:
        now = self._clock()
        batch: list[Call] = []
        while queue.pending and len(batch) < MAX_MESSAGES_IN_BATCH:
            call, queued_at = queue.pending.popleft()
            if now < queued_at + call.timeout_s:
                batch.append(call)
            else:
                self._on_reply(call.token, None)
        if batch:
            self._start(queue, batch)


def pack_calls(calls: list[Call]) -> BatchCall:
    """Return one message that holds the messages of several calls."""
    return BatchCall([pack_message(call.message) for call in calls])


def pack_message(message: Any) -> NamedMessage:
    """Return a peer message, encoded, with its registered name."""
    return NamedMessage(message.MESSAGE_NAME, encode_message(message))


def unpack_message(named: NamedMessage) -> Any:
    """Return the decoded message; raises `MalformedBodyError`."""
    return decode_message(named.name, named.body)


def unpack_replies(reply: BatchReply) -> list[Any]:
    """Return the decoded replies of a batch; raises `MalformedBodyError`."""
    return [unpack_message(named) for named in reply.replies]
