"""Taking a stream over: find its newest copy, and fence every earlier entry node off.

Two rounds of calls to the same nodes. The first learns the newest fence, the second raises it
everywhere and brings the pieces, which no one appends to any more. Pieces of the newest writer
win; among copies of one writer, which are prefixes of each other, the longest. While no copy is
long enough and some node did not answer, the rounds are repeated for a while.
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


@attrs.frozen
class AskJournal:
    """Effect: call `member`; `replied` or `failed` follows with `round_number`."""

    member: MemberId
    message: ReadCall | FenceCall
    round_number: int


@attrs.frozen
class TakenOver:
    """Effect: the take-over is done.

    Attributes
    ----------
    fence : this node's right to write the stream from now on.
    content : the newest copy, or None when none was found with enough pieces.
    """

    fence: StreamFence
    content: StreamContent | None


TakeOverEffect = AskJournal | TakenOver


class _Phase(enum.Enum):
    READING = "reading"
    FENCING = "fencing"
    PAUSING = "pausing"
    DONE = "done"


class StreamTakeOver:
    """One take-over.

    Parameters
    ----------
    owner : this node's process.
    after : number of pieces the caller has; a shorter copy is of no use.
    members : the nodes to ask, this one among them.
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
        self._unanswered: set[MemberId] = set()
        self._silent: set[MemberId] = set()
        self._found: dict[MemberId, ReadReply] = {}
        self._contents: list[StreamContent] = []
        self._fence = StreamFence(1, owner)
        self._fence_rounds = 0
        self._newest = StreamFence(FIRST_STREAM_EPOCH, "")

    def begin(self, now: float) -> list[TakeOverEffect]:
        """Ask who holds the stream.

        Even if nobody does, the first entry node may be about to write under the first epoch.
        """
        self._search_until = now + (self._timings.search_s if self._after else 0.0)
        return self._ask(ReadCall(self._request_id), now)

    def replied(
        self, member: MemberId, round_number: int, reply: ReadReply | FenceReply, now: float
    ) -> list[TakeOverEffect]:
        """Apply one answer."""
        match reply:
            case ReadReply(fence) if fence is not None:
                self._found[member] = reply
                self._newest = max(self._newest, fence)
            case FenceReply(fence, content):
                self._newest = max(self._newest, fence)
                if content is not None:
                    self._contents.append(content)
        return self._answered(member, round_number, now)

    def failed(self, member: MemberId, round_number: int, now: float) -> list[TakeOverEffect]:
        """Note that a member did not answer."""
        if round_number == self._round_number:
            self._silent.add(member)
        return self._answered(member, round_number, now)

    def woken(self, now: float) -> list[TakeOverEffect]:
        """Go on without the members that have not answered."""
        if self._phase is _Phase.DONE or now < self.wake_at:
            return []
        if self._phase is _Phase.PAUSING:
            self._phase = _Phase.READING
            return self._ask(ReadCall(self._request_id), now)
        if self._has_enough() or now >= self._round_began_at + self._timings.read_max_s:
            return self._end_round(now)
        self.wake_at = self._round_began_at + self._timings.read_max_s
        return []

    def _ask(self, message: ReadCall | FenceCall, now: float) -> list[TakeOverEffect]:
        self._round_number += 1
        self._round_began_at = now
        self._unanswered = set(self._members)
        self._silent = set()
        self.wake_at = now + self._timings.read_s
        return [AskJournal(member, message, self._round_number) for member in self._members]

    def _answered(self, member: MemberId, round_number: int, now: float) -> list[TakeOverEffect]:
        if self._phase in (_Phase.DONE, _Phase.PAUSING) or round_number != self._round_number:
            return []
        self._unanswered.discard(member)
        if not self._unanswered:
            return self._end_round(now)
        if now >= self._round_began_at + self._timings.read_s and self._has_enough():
            return self._end_round(now)
        return []

    def _has_enough(self) -> bool:
        if self._phase is _Phase.READING:
            return any(reply.length >= self._after for reply in self._found.values())
        best = self._best()
        return best is not None and len(best.pieces) >= self._after

    def _end_round(self, now: float) -> list[TakeOverEffect]:
        if self._phase is _Phase.READING:
            return self._ask_to_fence(now)
        was_outbid = self._newest > self._fence
        if was_outbid and self._fence_rounds < MAX_FENCE_ROUNDS:
            return self._ask_to_fence(now)
        if not was_outbid and self._has_enough():
            return self._finish(self._best())
        if now < self._search_until and (self._silent or self._unanswered):
            self._phase = _Phase.PAUSING
            self.wake_at = now + self._timings.search_pause_s
            return []
        return self._finish(None)

    def _finish(self, content: StreamContent | None) -> list[TakeOverEffect]:
        self._phase = _Phase.DONE
        return [TakenOver(self._fence, content)]

    def _ask_to_fence(self, now: float) -> list[TakeOverEffect]:
        self._phase = _Phase.FENCING
        self._fence_rounds += 1
        self._fence = StreamFence(self._newest.epoch + 1, self._owner)
        self._newest = self._fence
        return self._ask(FenceCall(self._request_id, self._fence), now)

    def _best(self) -> StreamContent | None:
        if not self._contents:
            return None
        return max(self._contents, key=lambda content: (content.writer, len(content.pieces)))
