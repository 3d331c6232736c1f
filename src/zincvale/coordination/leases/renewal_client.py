"""The node's side of batched renewals: which core coordinates them, and the call under way.

The coordinating core stays the same until it fails. A core whose call fails is left at once: every
missed renewal costs a third of the lease's lifetime.
"""

from __future__ import annotations

import random

from zincvale.coordination.config import NodeConfig
from zincvale.coordination.leases.messages import RenewLease
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call

RENEWAL_PREFIX = "home:"
FAILED_CORE_BACKOFF_S = 2.0
"""A core that failed is not chosen again for this long; with less, renewals go back to it while it
is still failing."""
MAX_RESPONSES_WITHOUT_MAJORITY = 3
"""So many in a row count as a failure: the core is cut off from the other grantors."""


class RenewalClient:
    """At most one call under way, to the coordinating core."""

    def __init__(self, config: NodeConfig, random_source: random.Random) -> None:
        self._config = config
        self._random = random_source
        self._core: MemberId | None = None
        self._token = ""
        self._count = 0
        self._without_majority = 0
        self._failed_at: dict[MemberId, float] = {}

    def is_waiting(self) -> bool:
        """Whether a renewal is under way."""
        return bool(self._token)

    def renew(
        self, grantors: list[MemberId], near: list[MemberId], renewal: RenewLease, now: float
    ) -> Call | None:
        """Return the call that renews through one core; None without a core or during a call.

        A core among the `near` ones is preferred.
        """
        if self._token:
            return None
        if self._core not in grantors:
            self._core = self._choose(near, now) or self._choose(grantors, now)
        if self._core is None:
            return None
        self._count += 1
        self._token = f"{RENEWAL_PREFIX}{self._count}"
        return Call(self._core, self._token, renewal, self._config.timings.renewal_timeout_s)

    def complete_call(self, token: str) -> MemberId | None:
        """End the call `token`; return the core it was made to, None for an abandoned call."""
        if token != self._token:
            return None
        self._token = ""
        return self._core

    def on_response(self, *, has_majority: bool, now: float) -> None:
        """Count a response; a core that brings no majority again and again is left."""
        self._without_majority = 0 if has_majority else self._without_majority + 1
        if self._without_majority >= MAX_RESPONSES_WITHOUT_MAJORITY:
            self.on_failure(now)

    def on_failure(self, now: float) -> None:
        """Leave the core, which did not respond: another one is next."""
        self._without_majority = 0
        if self._core is not None:
            self._failed_at[self._core] = now
        self._core = None

    def abandon_call(self) -> None:
        """Ignore the call under way, after the clock jumped."""
        self._token = ""

    def _choose(self, cores: list[MemberId], now: float) -> MemberId | None:
        candidates = [
            core
            for core in cores
            if now - self._failed_at.get(core, float("-inf")) > FAILED_CORE_BACKOFF_S
        ]
        return self._random.choice(candidates) if candidates else None
