"""Collects the effects of the claim service, and maps each call in flight to its purpose."""

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
    """A claimant's call is in flight; `token` identifies the claimant."""

    token: str
    request: Request


@attrs.frozen
class PendingDelivery:
    """A message of the delivery `number` is in flight to `member`."""

    number: int
    member: MemberId


@attrs.frozen
class PendingPull:
    """A request for a page of claims is in flight to `member`."""

    member: MemberId
    call: PullCall


@attrs.frozen
class PendingViews:
    """A request for versions of the registered nodes is in flight to `member`."""

    member: MemberId


@attrs.frozen
class PendingAnnounce:
    """An announcement of own claims is in flight to `member`; its reply is ignored."""

    member: MemberId


Pending = PendingRequest | PendingDelivery | PendingPull | PendingViews | PendingAnnounce


class ClaimOutbox:
    """Collects effects in order; all parts of one node's claim service share it."""

    def __init__(self, call_timeout_s: float) -> None:
        self._call_timeout_s = call_timeout_s
        self._numbers = itertools.count(1)
        self._pending: dict[str, Pending] = {}
        self._effects: list[ClaimsEffect] = []

    def next_number(self) -> int:
        """Return a number that is unique in this process."""
        return next(self._numbers)

    def add(self, effect: ClaimsEffect) -> None:
        """Append one effect."""
        self._effects.append(effect)

    def call(self, member: MemberId, message: object, pending: Pending) -> None:
        """Call a member; `take(token)` returns `pending` once, when the call has ended."""
        token = f"claims-{self.next_number()}"
        self._pending[token] = pending
        self.add(Call(member, token, message, self._call_timeout_s))

    def take(self, token: str) -> Pending | None:
        """Remove and return the purpose of a call that ended; None for an unknown token."""
        return self._pending.pop(token, None)

    def drain(self) -> list[ClaimsEffect]:
        """Remove and return the collected effects."""
        effects, self._effects = self._effects, []
        return effects
