"""Votes of the voters for one attempt in one view, and what they prove."""

from __future__ import annotations

from collections import Counter

from zincvale.dataplane.claims.messages import ClaimReply, ClaimStatus
from zincvale.dataplane.claims.records import Attempt
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId


class Votes:
    """The last response of each voter to one attempt's call.

    Parameters
    ----------
    window_s : a vote counts this long after it was requested.
    """

    def __init__(self, view: ClaimView, window_s: float) -> None:
        self.view = view
        self._window_s = window_s
        self._granted_at: dict[MemberId, float] = {}
        self._competing_by_voter: dict[MemberId, list[Attempt]] = {}
        self._full: set[MemberId] = set()

    def record(self, voter: MemberId, reply: ClaimReply, requested_at: float) -> None:
        """Count one response."""
        self._competing_by_voter.pop(voter, None)
        match reply.status:
            case ClaimStatus.GRANTED:
                self._granted_at[voter] = max(
                    self._granted_at.get(voter, requested_at), requested_at
                )
            case ClaimStatus.CONTENDED:
                self._competing_by_voter[voter] = [claim.attempt for claim in reply.state.open]
            case ClaimStatus.FULL:
                self._full.add(voter)

    def voters_to_request(self, voters: tuple[MemberId, ...], now: float) -> list[MemberId]:
        """Return the voters whose vote is missing, or more than half used up."""
        oldest = now - self._window_s / 2
        return [
            voter
            for voter in voters
            if voter not in self._granted_at or self._granted_at[voter] <= oldest
        ]

    def dispatch_by(self) -> float | None:
        """Return until when a majority's votes count, None without a majority.

        A vote counts from the moment it was requested: the voter can only have given it later.
        """
        newest_first = sorted(self._granted_at.values(), reverse=True)
        majority = self.view.majority
        if majority == 0 or len(newest_first) < majority:
            return None
        return newest_first[majority - 1] + self._window_s

    def is_lost(self) -> bool:
        """Whether another attempt has the votes of a majority."""
        counts = Counter(
            attempt for competing in self._competing_by_voter.values() for attempt in competing
        )
        return max(counts.values(), default=0) >= self.view.majority

    def proves_fresh(self) -> bool:
        """Whether every majority has a voter that said it knows of no other attempt."""
        clean = self._full | self._granted_at.keys()
        return len(clean) >= self.view.voter_count - self.view.majority + 1
