"""Checks the leader lease at the moment an order or a publication is sent."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.coordination.core.machine import CoreMachine


@attrs.frozen
class LeadershipGuard:
    """Checks whether this process still leads a role under a given epoch."""

    machine: CoreMachine
    role: str
    clock: Callable[[], float]

    def may_act(self, epoch: int) -> bool:
        """Whether the leader lease of `epoch` covers this moment.

        The clock is read here, so that a process that was frozen between its decision and sending
        notices that its lease has expired.
        """
        now = self.clock()
        state = self.machine.role(self.role, now)
        return state.is_leader and state.epoch == epoch and now < state.acts_until
