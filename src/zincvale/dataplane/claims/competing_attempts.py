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

    silent_since: float | None = None
    is_gone: bool = False


class RivalOwners:
    """Owners of other attempts, as they answer or do not answer."""

    def __init__(self) -> None:
        self._owners: dict[Attempt, _Owner] = {}

    def answered(self, rivals: list[Attempt], member: MemberId, reply: ClaimReply) -> None:
        """Note an owner's answer: its attempt is gone if the process does not know it."""
        open_attempts = {claim.attempt for claim in reply.state.open}
        for rival in rivals:
            if rival.owner != member:
                continue
            is_known = rival.incarnation == reply.incarnation and rival in open_attempts
            self._owners[rival] = _Owner(is_gone=not is_known)

    def was_silent(self, rivals: list[Attempt], member: MemberId, asked_at: float) -> None:
        """Note that an owner did not answer."""
        for rival in rivals:
            if rival.owner != member:
                continue
            owner = self._owners.setdefault(rival, _Owner())
            if owner.silent_since is None:
                owner.silent_since = asked_at

    def all_silent(self, rivals: list[Attempt], for_s: float, now: float) -> bool:
        """Whether each rival's owner is gone, or has not answered for so long."""
        return all(self._is_silent(rival, for_s, now) for rival in rivals)

    def _is_silent(self, rival: Attempt, for_s: float, now: float) -> bool:
        owner = self._owners.get(rival)
        if owner is None:
            return False
        if owner.is_gone:
            return True
        return owner.silent_since is not None and now >= owner.silent_since + for_s


@attrs.define
class Bars:
    """Answers of the holders to one bar.

    Attributes
    ----------
    asked_at : when the holders were asked.
    window_s : the answers prove something this long: a holder that restarted meanwhile, and
        forgot its bar, has then read it from another one.
    """

    view: ClaimView
    rivals: list[Attempt]
    asked_at: float
    window_s: float
    _without_vote: dict[Attempt, set[MemberId]] = attrs.field(factory=dict)

    def note(self, holder: MemberId, reply: ClaimReply) -> None:
        """Count one answer."""
        if reply.status != ClaimStatus.BARRED:
            return
        voted = {claim.attempt for claim in reply.state.open}
        for rival in self.rivals:
            if rival not in voted:
                self._without_vote.setdefault(rival, set()).add(holder)

    def prove_never_ran(self, now: float) -> bool:
        """Whether no majority voted, or ever will, for any of the rivals."""
        if now >= self.asked_at + self.window_s:
            return False
        enough = self.view.holder_count - self.view.majority + 1
        return all(len(self._without_vote.get(rival, ())) >= enough for rival in self.rivals)
