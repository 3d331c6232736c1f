"""Follows the leader lease of the placement role and informs the placement controller."""

from __future__ import annotations

from collections.abc import Callable

from zincvale.controlplane.placement.events import LeaderGained, LeaderLost
from zincvale.coordination.core.machine import CoreMachine
from zincvale.daemons.placement_runner import PlacementRunner
from zincvale.daemons.roles import PLACEMENT_ROLE


class PlacementLeadership:
    """Tracks the epoch under which this core leads placement.

    The epoch changes from 0 to that of a lease, and then to 0 or to that of a later lease. The end
    of one epoch is reported before the next one begins.

    Parameters
    ----------
    on_gained : called with a new epoch before the controller is informed of it.
    on_lost : called when an epoch has ended, before the controller is informed of it.

    Attributes
    ----------
    epoch : fencing epoch of the lease, 0 while this core does not lead.
    """

    def __init__(
        self,
        machine: CoreMachine,
        placement: PlacementRunner,
        on_gained: Callable[[int], None],
        on_lost: Callable[[], None],
    ) -> None:
        self._machine = machine
        self._placement = placement
        self._on_gained = on_gained
        self._on_lost = on_lost
        self.epoch = 0

    def update(self, now: float) -> None:
        """Read the state of the lease at `now`; the controller is informed of every renewal."""
        state = self._machine.role(PLACEMENT_ROLE, now)
        if not state.is_leader:
            self._end_epoch()
            return
        if state.epoch != self.epoch:
            self._end_epoch()
            self.epoch = state.epoch
            self._placement.epoch = state.epoch
            self._on_gained(state.epoch)
        self._placement.feed(LeaderGained(state.epoch, state.acts_until))

    def _end_epoch(self) -> None:
        if not self.epoch:
            return
        self.epoch = 0
        self._on_lost()
        self._placement.feed(LeaderLost())
