"""What the fault handlers share: the running fleet, the rig's journal and its clients."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Any, Protocol

import attrs

from zincvale.fleet.clients import RigClient
from zincvale.fleet.fault_plan import Step
from zincvale.fleet.machines import Fleet
from zincvale.fleet.network_state import NetworkState
from zincvale.fleet.operators import Operators
from zincvale.fleet.relay_control import RelayControl
from zincvale.fleet.rig_journal import RigJournal


class FaultHandler(Protocol):
    """Begins and lifts the faults of one family."""

    async def begin(self, step: Step, /) -> None:
        """Begin the step's fault and journal it."""
        ...

    async def end(self, step: Step, /) -> None:
        """Lift the step's fault and journal its end."""
        ...


@attrs.define
class FaultContext:
    """The running fleet that faults act on, with the rig's means to change it."""

    fleet: Fleet
    network: NetworkState
    relays: RelayControl
    operators: Operators
    client: RigClient
    journal: RigJournal
    replacement_numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))

    def journal_begin(self, step: Step, target: str, **args: Any) -> None:
        """Journal that the step's fault began on a target."""
        self.journal.write("fault", kind=step.fault.kind, target=target, args=args)

    def journal_end(self, step: Step, target: str) -> None:
        """Journal that the step's fault was lifted from a target."""
        self.journal.write("fault-end", kind=step.fault.kind, target=target)

    async def update_relays(self) -> None:
        """Send the relays the links whose state has changed."""
        await self.relays.update(self.network.take_changes())
