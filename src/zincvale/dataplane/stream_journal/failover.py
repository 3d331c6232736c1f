"""Failover of a stream: finds its newest copy, and fences every earlier ingress node.

There are two rounds of calls to the same nodes. The first finds the newest fence. The second raises
the fence at each node and returns its chunks, to which no earlier writer can append any more. The
copy of the newest writer is chosen; among copies of one writer, which are prefixes of each other,
the longest. While no copy is long enough and some node has not responded, the rounds are repeated
until `JournalTimings.search_timeout_s`.
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
"""Limit of the fencing rounds of one failover.

Without it, concurrent failovers of one stream could supersede each other's fences endlessly.
"""


@attrs.frozen
class JournalRequest:
    """Effect: call `member`, then pass `round_number` to `on_reply` or `on_failure`."""

    member: MemberId
    message: ReadCall | FenceCall
    round_number: int


@attrs.frozen
class FailoverCompleted:
    """Effect: the failover is finished.

    Attributes
    ----------
    fence : the fence with which this node may write the stream from now on.
    content : the newest copy, or None if none with enough chunks was found.
    """

    fence: StreamFence
    content: StreamContent | None


FailoverEffect = JournalRequest | FailoverCompleted


class _Phase(enum.Enum):
    """Legal transitions: READING to FENCING; FENCING to FENCING (superseded), PAUSING and DONE.

    PAUSING leads to READING; DONE is final.
    """

    READING = "reading"
    FENCING = "fencing"
    PAUSING = "pausing"
    DONE = "done"


class StreamFailover:
    """State machine of one failover of one stream.

    Parameters
    ----------
    owner : identifies this node's process in fences.
    after : number of chunks that the caller has; shorter copies are not used.
    members : the nodes to call, including this one.
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
        self._read_replies: dict[MemberId, ReadReply] = {}
        self._fenced_contents: list[StreamContent] = []
        self._fence = StreamFence(1, owner)
        self._fence_rounds = 0
        self._newest_fence = StreamFence(FIRST_STREAM_EPOCH, "")

    def begin(self, now: float) -> list[FailoverEffect]:
        """Request from each member how much of the stream it stores.

        Fences are raised even if no member stores any, because the first ingress node may be about
        to write in the first epoch.
        """
        self._search_until = now + (self._timings.search_timeout_s if self._after else 0.0)
        return self._request_from_all(ReadCall(self._request_id), now)

    def on_reply(
        self, member: MemberId, round_number: int, reply: ReadReply | FenceReply, now: float
    ) -> list[FailoverEffect]:
        """Apply the reply of a member."""
        match reply:
            case ReadReply(fence) if fence is not None:
                self._read_replies[member] = reply
                self._newest_fence = max(self._newest_fence, fence)
            case FenceReply(fence, content):
                self._newest_fence = max(self._newest_fence, fence)
                if content is not None:
                    self._fenced_contents.append(content)
        return self._on_response(member, round_number, now)

    def on_failure(self, member: MemberId, round_number: int, now: float) -> list[FailoverEffect]:
        """Record that a call to a member failed."""
        if round_number == self._round_number:
            self._unresponsive.add(member)
        return self._on_response(member, round_number, now)

    def on_wake(self, now: float) -> list[FailoverEffect]:
        """End a round or a pause whose time is over; does nothing before `wake_at`."""
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
            return any(reply.length >= self._after for reply in self._read_replies.values())
        best = self._best_content()
        return best is not None and len(best.chunks) >= self._after

    def _end_round(self, now: float) -> list[FailoverEffect]:
        if self._phase is _Phase.READING:
            return self._request_fences(now)
        was_superseded = self._newest_fence > self._fence
        if was_superseded and self._fence_rounds < MAX_FENCE_ROUNDS:
            return self._request_fences(now)
        if not was_superseded and self._has_enough():
            return self._finish(self._best_content())
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
        self._fence = StreamFence(self._newest_fence.epoch + 1, self._owner)
        self._newest_fence = self._fence
        return self._request_from_all(FenceCall(self._request_id, self._fence), now)

    def _best_content(self) -> StreamContent | None:
        if not self._fenced_contents:
            return None
        return max(self._fenced_contents, key=lambda content: (content.writer, len(content.chunks)))
