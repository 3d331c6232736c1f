"""Failover of a stream: find its newest copy, and fence every earlier ingress node.

Two rounds of calls to the same nodes. The first learns the newest fence, the second raises it
everywhere and brings the chunks, which no one appends to any more. Chunks of the newest writer
win; among copies of one writer, which are prefixes of each other, the longest. While no copy is
long enough and some node did not respond, the rounds are repeated for a while.
"""

from __future__ import annotations

import enum

import attrs

from zincvale.dataplane.inference.dependencies import FIRST_STREAM_EPOCH
from zincvale.dataplane.stream_journal.messages import (
    FenceCall,
    FenceReply,
    ReadCall,
    ReadReply,
    StreamContent,
    StreamFence,
)
from zincvale.dataplane.stream_journal.timings import JournalTimings
from zincvale.model.identifiers import MemberId

MAX_FENCE_ROUNDS = 4
"""Failovers of one stream that outbid each other end after so many rounds instead of never."""


@attrs.frozen
class JournalRequest:
    """Effect: call `member`; `on_reply` or `on_failure` follows with `round_number`."""

    member: MemberId
    message: ReadCall | FenceCall
    round_number: int


@attrs.frozen
class FailoverCompleted:
    """Effect: the failover is done.

    Attributes
    ----------
    fence : this node's right to write the stream from now on.
    content : the newest copy, or None when none was found with enough chunks.
    """

    fence: StreamFence
    content: StreamContent | None


FailoverEffect = JournalRequest | FailoverCompleted


class _Phase(enum.Enum):
    """Legal transitions: READING to FENCING; FENCING to FENCING (outbid), PAUSING and DONE.

    PAUSING leads to READING; DONE is final.
    """

    READING = "reading"
    FENCING = "fencing"
    PAUSING = "pausing"
    DONE = "done"


class StreamFailover:
    """One failover.

    Parameters
    ----------
    owner : this node's process.
    after : number of chunks the caller has; a shorter copy is of no use.
    members : the nodes to call, this one among them.
    """

    def __init__(
        self,
        request_id: str,
        owner: str,
        after: int,
        members: list[MemberId],
        timings: JournalTimings,
    ) -> None:
        self.wake_at = 0.0
        self._request_id = request_id
        self._owner = owner
        self._after = after
        self._members = members
        self._timings = timings
        self._phase = _Phase.READING
        self._round_number = 0
        self._round_began_at = 0.0
        self._search_until = 0.0
        self._awaited: set[MemberId] = set()
        self._unresponsive: set[MemberId] = set()
        self._found: dict[MemberId, ReadReply] = {}
        self._contents: list[StreamContent] = []
        self._fence = StreamFence(1, owner)
        self._fence_rounds = 0
        self._newest = StreamFence(FIRST_STREAM_EPOCH, "")

    def begin(self, now: float) -> list[FailoverEffect]:
        """Request from each member how much it stores of the stream.

        Even if nobody does, the first ingress node may be about to write under the first epoch.
        """
        self._search_until = now + (self._timings.search_timeout_s if self._after else 0.0)
        return self._request_from_all(ReadCall(self._request_id), now)

    def on_reply(
        self, member: MemberId, round_number: int, reply: ReadReply | FenceReply, now: float
    ) -> list[FailoverEffect]:
        """Apply one response."""
        match reply:
            case ReadReply(fence) if fence is not None:
                self._found[member] = reply
                self._newest = max(self._newest, fence)
            case FenceReply(fence, content):
                self._newest = max(self._newest, fence)
                if content is not None:
                    self._contents.append(content)
        return self._on_response(member, round_number, now)

    def on_failure(self, member: MemberId, round_number: int, now: float) -> list[FailoverEffect]:
        """Record that a member did not respond."""
        if round_number == self._round_number:
            self._unresponsive.add(member)
        return self._on_response(member, round_number, now)

    def on_wake(self, now: float) -> list[FailoverEffect]:
        """Go on without the members that have not responded."""
        if self._phase is _Phase.DONE or now < self.wake_at:
            return []
        if self._phase is _Phase.PAUSING:
            self._phase = _Phase.READING
            return self._request_from_all(ReadCall(self._request_id), now)
        if self._has_enough() or now >= self._round_began_at + self._timings.max_read_timeout_s:
            return self._end_round(now)
        self.wake_at = self._round_began_at + self._timings.max_read_timeout_s
        return []

    def _request_from_all(self, message: ReadCall | FenceCall, now: float) -> list[FailoverEffect]:
        self._round_number += 1
        self._round_began_at = now
        self._awaited = set(self._members)
        self._unresponsive = set()
        self.wake_at = now + self._timings.read_timeout_s
        return [JournalRequest(member, message, self._round_number) for member in self._members]

    def _on_response(self, member: MemberId, round_number: int, now: float) -> list[FailoverEffect]:
        if self._phase in (_Phase.DONE, _Phase.PAUSING) or round_number != self._round_number:
            return []
        self._awaited.discard(member)
        if not self._awaited:
            return self._end_round(now)
        if now >= self._round_began_at + self._timings.read_timeout_s and self._has_enough():
            return self._end_round(now)
        return []

    def _has_enough(self) -> bool:
        if self._phase is _Phase.READING:
            return any(reply.length >= self._after for reply in self._found.values())
        best = self._best()
        return best is not None and len(best.chunks) >= self._after

    def _end_round(self, now: float) -> list[FailoverEffect]:
        if self._phase is _Phase.READING:
            return self._request_fences(now)
        was_outbid = self._newest > self._fence
        if was_outbid and self._fence_rounds < MAX_FENCE_ROUNDS:
            return self._request_fences(now)
        if not was_outbid and self._has_enough():
            return self._finish(self._best())
        if now < self._search_until and (self._unresponsive or self._awaited):
            self._phase = _Phase.PAUSING
            self.wake_at = now + self._timings.search_pause_s
            return []
        return self._finish(None)

    def _finish(self, content: StreamContent | None) -> list[FailoverEffect]:
        self._phase = _Phase.DONE
        return [FailoverCompleted(self._fence, content)]

    def _request_fences(self, now: float) -> list[FailoverEffect]:
        self._phase = _Phase.FENCING
        self._fence_rounds += 1
        self._fence = StreamFence(self._newest.epoch + 1, self._owner)
        self._newest = self._fence
        return self._request_from_all(FenceCall(self._request_id, self._fence), now)

    def _best(self) -> StreamContent | None:
        if not self._contents:
            return None
        return max(self._contents, key=lambda content: (content.writer, len(content.chunks)))
