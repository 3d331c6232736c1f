"""Other attempts at the same request: whether their owners live, and whether they may have run."""

from __future__ import annotations

import attrs

from zincvale.dataplane.claims.messages import ClaimReply, ClaimStatus
from zincvale.dataplane.claims.records import Attempt
from zincvale.dataplane.claims.view import ClaimView
from zincvale.model.identifiers import MemberId


@attrs.define
class _Owner:
    """What is known of an attempt's owner."""

    unresponsive_since: float | None = None
    has_departed: bool = False


class CompetingOwners:
    """Owners of competing attempts: which respond, and which have lost their attempt."""

    def __init__(self) -> None:
        self._owners: dict[Attempt, _Owner] = {}

    def on_reply(self, competing: list[Attempt], member: MemberId, reply: ClaimReply) -> None:
        """Apply an owner's response: its attempt is gone if the process does not know it."""
        open_attempts = {claim.attempt for claim in reply.state.open}
        for competitor in competing:
            if competitor.owner != member:
                continue
            is_known = competitor.incarnation == reply.incarnation and competitor in open_attempts
            self._owners[competitor] = _Owner(has_departed=not is_known)

    def on_timeout(self, competing: list[Attempt], member: MemberId, requested_at: float) -> None:
        """Count a request to which an owner did not respond."""
        for competitor in competing:
            if competitor.owner != member:
                continue
            owner = self._owners.setdefault(competitor, _Owner())
            if owner.unresponsive_since is None:
                owner.unresponsive_since = requested_at

    def all_unresponsive(self, competing: list[Attempt], for_s: float, now: float) -> bool:
        """Whether each competitor's owner is gone, or has not responded for so long."""
        return all(self._is_unresponsive(competitor, for_s, now) for competitor in competing)

    def _is_unresponsive(self, competitor: Attempt, for_s: float, now: float) -> bool:
        owner = self._owners.get(competitor)
        if owner is None:
            return False
        if owner.has_departed:
            return True
        return owner.unresponsive_since is not None and now >= owner.unresponsive_since + for_s


@attrs.define
class BlockProof:
    """Responses of the voters to one `BlockCall`, and what they prove.

    Attributes
    ----------
    requested_at : when the voters were called.
    window_s : the responses prove something this long: a voter that restarted meanwhile, and
        forgot its block, has then read it from another one.
    """

    view: ClaimView
    competing: list[Attempt]
    requested_at: float
    window_s: float
    _without_vote: dict[Attempt, set[MemberId]] = attrs.field(factory=dict)

    def record(self, voter: MemberId, reply: ClaimReply) -> None:
        """Count one response."""
        if reply.status != ClaimStatus.BLOCKED:
            return
        voted = {claim.attempt for claim in reply.state.open}
        for competitor in self.competing:
            if competitor not in voted:
                self._without_vote.setdefault(competitor, set()).add(voter)

    def proves_never_ran(self, now: float) -> bool:
        """Whether no majority voted, or ever will, for any of the competing."""
        if now >= self.requested_at + self.window_s:
            return False
        enough = self.view.voter_count - self.view.majority + 1
        return all(
            len(self._without_vote.get(competitor, ())) >= enough for competitor in self.competing
        )
