"""The fencing check at the moment an order or a publication is sent."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from zincvale.coordination.core.machine import CoreMachine


@attrs.frozen
class LeadershipGuard:
    """Whether this process may act under an epoch of a role, checked at the moment of acting."""

    machine: CoreMachine
    role: str
    clock: Callable[[], float]

    def may_act(self, epoch: int) -> bool:
        """Whether the leader lease of `epoch` covers this moment.

        The clock is read here: a process that was frozen after it decided, before it sent, finds
        its lease over.
        """
        now = self.clock()
        state = self.machine.role(self.role, now)
        return state.is_leader and state.epoch == epoch and now < state.acts_until
