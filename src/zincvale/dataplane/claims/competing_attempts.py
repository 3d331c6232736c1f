"""Competing attempts at a request: whether their owners respond, and whether they may have run."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import ClaimReply, ClaimStatus
from zincvale.dataplane.claims.records import Attempt
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId


@attrs.define
class _Owner:
    """What is known of the ingress node that owns a competing attempt.

    Attributes
    ----------
    unresponsive_since : when the first query without a reply was sent; None if the owner replied.
    has_lost_attempt : whether the owner replied that it no longer has the attempt open.
    """

    unresponsive_since: float | None = None
    has_lost_attempt: bool = False


class CompetingOwners:
    """Tracks which owners of competing attempts respond, and which no longer know their attempt."""

    def __init__(self) -> None:
        self._owners: dict[Attempt, _Owner] = {}

    def on_reply(self, competing: list[Attempt], member: MemberId, reply: ClaimReply) -> None:
        """Apply a reply; an owner has lost its attempt if it restarted or no longer has it open."""
        open_attempts = {claim.attempt for claim in reply.state.open}
        for competitor in competing:
            if competitor.owner != member:
                continue
            is_known = competitor.incarnation == reply.incarnation and competitor in open_attempts
            self._owners[competitor] = _Owner(has_lost_attempt=not is_known)

    def on_timeout(self, competing: list[Attempt], member: MemberId, requested_at: float) -> None:
        """Record that `member` did not respond to a query sent at `requested_at`."""
        for competitor in competing:
            if competitor.owner != member:
                continue
            owner = self._owners.setdefault(competitor, _Owner())
            if owner.unresponsive_since is None:
                owner.unresponsive_since = requested_at

    def all_unresponsive(self, competing: list[Attempt], duration_s: float, now: float) -> bool:
        """Whether each owner lost its attempt or has not responded for `duration_s`."""
        return all(self._is_unresponsive(competitor, duration_s, now) for competitor in competing)

    def _is_unresponsive(self, competitor: Attempt, duration_s: float, now: float) -> bool:
        owner = self._owners.get(competitor)
        if owner is None:
            return False
        if owner.has_lost_attempt:
            return True
        return owner.unresponsive_since is not None and now >= owner.unresponsive_since + duration_s


@attrs.define
class BlockProof:
    """Replies of the voters to one `BlockCall`, and whether they prove that no attempt ran.

    Attributes
    ----------
    requested_at : when the voters were called.
    validity_s : the replies count as proof for this long after `requested_at`. A voter that
        restarts meanwhile forgets its block, but starts to read from the other voters only after
        that time, and then learns the block from one of them.
    """

    view: ClaimView
    competing: list[Attempt]
    requested_at: float
    validity_s: float
    _without_vote: dict[Attempt, set[MemberId]] = attrs.field(factory=dict)

    def record(self, voter: MemberId, reply: ClaimReply) -> None:
        """Count a voter's reply for each attempt that it neither voted for nor ever will."""
        if reply.status != ClaimStatus.BLOCKED:
            return
        voted = {claim.attempt for claim in reply.state.open}
        for competitor in self.competing:
            if competitor not in voted:
                self._without_vote.setdefault(competitor, set()).add(voter)

    def proves_never_ran(self, now: float) -> bool:
        """Whether no competing attempt has a majority of votes, or ever can have one."""
        if now >= self.requested_at + self.validity_s:
            return False
        required = self.view.voter_count - self.view.majority + 1
        return all(
            len(self._without_vote.get(competitor, ())) >= required for competitor in self.competing
        )
