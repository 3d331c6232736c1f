"""The node's side of batched renewals: the choice of the coordinating core, and the call to it.

The node keeps its coordinating core until it fails. After one failed call it chooses another core,
because each missed renewal uses up a third of the lease's lifetime.
"""

from __future__ import annotations

import random

from zincvale.coordination.config import NodeConfig
from zincvale.coordination.leases.messages import RenewLease
from zincvale.model.identifiers import MemberId
from zincvale.model.machine import Call

RENEWAL_TOKEN_PREFIX = "home:"
FAILED_CORE_BACKOFF_S = 2.0
"""How long a core that failed is not chosen as coordinator. With a shorter time, renewals return to
the core while it is still failing."""
MAX_RESPONSES_WITHOUT_MAJORITY = 3
"""Number of consecutive responses without a majority of grants after which the coordinator counts
as failed: it cannot reach the other grantors."""


class RenewalClient:
    """Makes renewal calls to a coordinating core, one at a time."""

    def __init__(self, config: NodeConfig, random_source: random.Random) -> None:
        self._config = config
        self._random = random_source
        self._coordinator: MemberId | None = None
        self._token = ""
        self._call_count = 0
        self._responses_without_majority = 0
        self._failed_at: dict[MemberId, float] = {}

    def is_waiting(self) -> bool:
        """Whether a renewal call is in progress."""
        return bool(self._token)

    def renew(
        self, grantors: list[MemberId], preferred: list[MemberId], renewal: RenewLease, now: float
    ) -> Call | None:
        """Return the call that renews through the coordinating core.

        It is None while a call is in progress, or when every grantor failed recently or none is
        known. A new coordinator is chosen among the `preferred` cores if possible.
        """
        if self._token:
            return None
        if self._coordinator not in grantors:
            self._coordinator = self._choose_core(preferred, now) or self._choose_core(
                grantors, now
            )
        if self._coordinator is None:
            return None
        self._call_count += 1
        self._token = f"{RENEWAL_TOKEN_PREFIX}{self._call_count}"
        return Call(self._coordinator, self._token, renewal, self._config.timings.renewal_timeout_s)

    def complete_call(self, token: str) -> MemberId | None:
        """End the call `token`; return the core it was made to, or None if it was abandoned."""
        if token != self._token:
            return None
        self._token = ""
        return self._coordinator

    def on_response(self, *, has_majority: bool, now: float) -> None:
        """Record a response; several in a row without a majority count as a failure."""
        self._responses_without_majority = (
            0 if has_majority else self._responses_without_majority + 1
        )
        if self._responses_without_majority >= MAX_RESPONSES_WITHOUT_MAJORITY:
            self.on_failure(now)

    def on_failure(self, now: float) -> None:
        """Record that the coordinator failed; the next renewal chooses another core."""
        self._responses_without_majority = 0
        if self._coordinator is not None:
            self._failed_at[self._coordinator] = now
        self._coordinator = None

    def abandon_call(self) -> None:
        """Ignore the response of the call in progress; used after a jump of the clock."""
        self._token = ""

    def _choose_core(self, cores: list[MemberId], now: float) -> MemberId | None:
        candidates = [
            core
            for core in cores
            if now - self._failed_at.get(core, float("-inf")) > FAILED_CORE_BACKOFF_S
        ]
        return self._random.choice(candidates) if candidates else None
