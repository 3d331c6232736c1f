"""Effects on their way out of the claim service, and what each call in flight was made for."""

from __future__ import annotations

import itertools

import attrs

from zincvale.dataplane.claims.claimant_effects import Request
from zincvale.dataplane.claims.events import Confirmed, Decided, WakeAt
from zincvale.dataplane.claims.messages import PullCall
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call, Effect

ClaimsEffect = Effect | Decided | Confirmed | WakeAt


@attrs.frozen
class PendingRequest:
    """A claimant's call; `token` names the claimant."""

    token: str
    request: Request


@attrs.frozen
class PendingDelivery:
    """A record or release on its way to `member`."""

    number: int
    member: MemberId


@attrs.frozen
class PendingPull:
    """A page that is read from `member`."""

    member: MemberId
    call: PullCall


@attrs.frozen
class PendingViews:
    """Versions of the registered nodes that are requested from `member`."""

    member: MemberId


@attrs.frozen
class PendingAnnounce:
    """Own claims on their way to `member`; nothing depends on the response."""

    member: MemberId


Pending = PendingRequest | PendingDelivery | PendingPull | PendingViews | PendingAnnounce


class ClaimOutbox:
    """Collects effects in order; the parts of the claim service share one."""

    def __init__(self, call_timeout_s: float) -> None:
        self._call_timeout_s = call_timeout_s
        self._numbers = itertools.count(1)
        self._pending: dict[str, Pending] = {}
        self._effects: list[ClaimsEffect] = []

    def next_number(self) -> int:
        """Return a number that was not used before in this process."""
        return next(self._numbers)

    def add(self, effect: ClaimsEffect) -> None:
        """Add one effect."""
        self._effects.append(effect)

    def call(self, member: MemberId, message: object, pending: Pending) -> None:
        """Call a member; `take(token)` returns `pending` when the call ended."""
        token = f"claims-{self.next_number()}"
        self._pending[token] = pending
        self.add(Call(member, token, message, self._call_timeout_s))

    def take(self, token: str) -> Pending | None:
        """Return what the ended call was made for."""
        return self._pending.pop(token, None)

    def drain(self) -> list[ClaimsEffect]:
        """Return the effects since the last time."""
        effects, self._effects = self._effects, []
        return effects
