"""Votes of the holders for one attempt in one view, and what they prove."""

from __future__ import annotations

from collections import Counter

from zincvale.dataplane.claims.messages import ClaimReply, ClaimStatus
from zincvale.dataplane.claims.records import Attempt
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId


class Votes:
    """What each holder last answered to one attempt's call.

    Parameters
    ----------
    window_s : a vote counts this long after it was asked for.
    """

    def __init__(self, view: ClaimView, window_s: float) -> None:
        self.view = view
        self._window_s = window_s
        self._granted_at: dict[MemberId, float] = {}
        self._rivals_by_holder: dict[MemberId, list[Attempt]] = {}
        self._full: set[MemberId] = set()

    def note(self, holder: MemberId, reply: ClaimReply, asked_at: float) -> None:
        """Count one answer."""
        self._rivals_by_holder.pop(holder, None)
        match reply.status:
            case ClaimStatus.GRANTED:
                self._granted_at[holder] = max(self._granted_at.get(holder, asked_at), asked_at)
            case ClaimStatus.HELD:
                self._rivals_by_holder[holder] = [claim.attempt for claim in reply.state.open]
            case ClaimStatus.FULL:
                self._full.add(holder)

    def to_ask(self, holders: tuple[MemberId, ...], now: float) -> list[MemberId]:
        """Return the holders whose vote is missing, or more than half used up."""
        oldest = now - self._window_s / 2
        return [
            holder
            for holder in holders
            if holder not in self._granted_at or self._granted_at[holder] <= oldest
        ]

    def dispatch_by(self) -> float | None:
        """Return until when a majority's votes count, None without a majority.

        A vote counts from the moment it was asked for: the holder can only have given it later.
        """
        newest_first = sorted(self._granted_at.values(), reverse=True)
        majority = self.view.majority
        if majority == 0 or len(newest_first) < majority:
            return None
        return newest_first[majority - 1] + self._window_s

    def is_lost(self) -> bool:
        """Whether another attempt has the votes of a majority."""
        counts = Counter(
            attempt for rivals in self._rivals_by_holder.values() for attempt in rivals
        )
        return max(counts.values(), default=0) >= self.view.majority

    def prove_fresh(self) -> bool:
        """Whether every majority has a holder that said it knows of no other attempt."""
        clean = self._full | self._granted_at.keys()
        return len(clean) >= self.view.holder_count - self.view.majority + 1
