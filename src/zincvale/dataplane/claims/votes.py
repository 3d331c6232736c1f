"""The votes for one attempt in one view, and whether they form a majority."""

from __future__ import annotations

from collections import Counter

from zincvale.dataplane.claims.messages import ClaimReply, ClaimStatus
from zincvale.dataplane.claims.records import Attempt
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId


class Votes:
    """The latest reply of each voter to the `ClaimCall` of one attempt.

    Parameters
    ----------
    dispatch_window_s : how long a vote counts after it was requested.
    """

    def __init__(self, view: ClaimView, dispatch_window_s: float) -> None:
        self.view = view
        self._dispatch_window_s = dispatch_window_s
        self._granted_at: dict[MemberId, float] = {}
        self._competing_by_voter: dict[MemberId, list[Attempt]] = {}
        self._full_voters: set[MemberId] = set()

    def record(self, voter: MemberId, reply: ClaimReply, requested_at: float) -> None:
        """Record the reply of a voter to a call sent at `requested_at`."""
        self._competing_by_voter.pop(voter, None)
        match reply.status:
            case ClaimStatus.GRANTED:
                self._granted_at[voter] = max(
                    self._granted_at.get(voter, requested_at), requested_at
                )
            case ClaimStatus.CONTENDED:
                self._competing_by_voter[voter] = [claim.attempt for claim in reply.state.open]
            case ClaimStatus.FULL:
                self._full_voters.add(voter)

    def voters_to_request(self, voters: tuple[MemberId, ...], now: float) -> list[MemberId]:
        """Return the voters whose vote is missing or older than half the dispatch window."""
        oldest = now - self._dispatch_window_s / 2
        return [
            voter
            for voter in voters
            if voter not in self._granted_at or self._granted_at[voter] <= oldest
        ]

    def dispatch_by(self) -> float | None:
        """Return until when the votes of a majority count, or None without a majority.

        The age of a vote starts when it was requested, because the voter gave it no earlier.
        """
        newest_first = sorted(self._granted_at.values(), reverse=True)
        majority = self.view.majority
        if majority == 0 or len(newest_first) < majority:
            return None
        return newest_first[majority - 1] + self._dispatch_window_s

    def another_has_majority(self) -> bool:
        """Whether another attempt has the votes of a majority."""
        counts = Counter(
            attempt for competing in self._competing_by_voter.values() for attempt in competing
        )
        return max(counts.values(), default=0) >= self.view.majority

    def proves_request_never_ran(self) -> bool:
        """Whether every possible majority includes a voter that knows of no competing attempt.

        Then no other attempt can have had a majority, and the request never ran.
        """
        without_competitor = self._full_voters | self._granted_at.keys()
        return len(without_competitor) >= self.view.voter_count - self.view.majority + 1
