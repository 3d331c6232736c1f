"""Which core a node renews through, and the call that is under way to it."""

from __future__ import annotations

import random

from zincvale.coordination.config import NodeConfig
from zincvale.coordination.leases.messages import RenewLease
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call

HOME_PREFIX = "home:"
REST_S = 2.0
"""How long a core that failed as a home is not chosen again."""
WEAK_ANSWERS_LIMIT = 3
"""So many answers without a majority in a row count as a failure."""


class RenewalCoordinator:
    """The home core: kept until it fails."""

    def __init__(self, config: NodeConfig, random_source: random.Random) -> None:
        self._config = config
        self._random = random_source
        self._core: MemberId | None = None
        self._token = ""
        self._count = 0
        self._weak_answers = 0
        self._failed_at: dict[MemberId, float] = {}

    def is_waiting(self) -> bool:
        """Whether a renewal is under way."""
        return bool(self._token)

    def renew(
        self, grantors: list[MemberId], near: list[MemberId], renewal: RenewLease, now: float
    ) -> Call | None:
        """Return the call that renews through the home core, or None when there is none to ask.

        A core among the `near` ones is preferred.
        """
        if self._token:
            return None
        if self._core not in grantors:
            self._core = self._choose(near, now) or self._choose(grantors, now)
        if self._core is None:
            return None
        self._count += 1
        self._token = f"{HOME_PREFIX}{self._count}"
        return Call(self._core, self._token, renewal, self._config.timings.home_timeout_s)

    def ended(self, token: str) -> MemberId | None:
        """The call `token` ended; return the home core it was made to, if it still matters."""
        if token != self._token:
            return None
        self._token = ""
        return self._core

    def answered(self, with_majority: bool, now: float) -> None:
        """The home core answered; one that brings no majority again and again is left."""
        self._weak_answers = 0 if with_majority else self._weak_answers + 1
        if self._weak_answers >= WEAK_ANSWERS_LIMIT:
            self.failed(now)

    def failed(self, now: float) -> None:
        """The home core did not answer: another one is next."""
        self._weak_answers = 0
        if self._core is not None:
            self._failed_at[self._core] = now
        self._core = None

    def drop(self) -> None:
        """Forget the call under way, after the clock jumped."""
        self._token = ""

    def _choose(self, grantors: list[MemberId], now: float) -> MemberId | None:
        rested = [
            core for core in grantors if now - self._failed_at.get(core, float("-inf")) > REST_S
        ]
        return self._random.choice(rested) if rested else None
