"""Handlers of the faults on the links between processes."""

from __future__ import annotations

import attrs

from zincvale.fleet.fault_context import FaultContext
from zincvale.fleet.fault_kinds import Cut, LinkFault
from zincvale.fleet.fault_plan import Step


@attrs.define
class LinkHandler:
    """Cuts, delays and slows the links between groups of processes."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Put the fault in force on every link between the groups."""
        network = self.context.network
        network.begin(step)
        self.context.journal_begin(step, describe_groups(step), **self._arguments(step))
        await self.context.update_relays()

    async def end(self, step: Step) -> None:
        """Lift the fault from the links between the groups."""
        self.context.network.end(step.fault_id)
        await self.context.update_relays()
        self.context.journal_end(step, describe_groups(step))

    def _arguments(self, step: Step) -> dict[str, object]:
        assert isinstance(step.fault, LinkFault)
        cores = [core.name for core in self.context.fleet.deployment.cores()]
        arguments: dict[str, object] = {
            "groups": [list(group) for group in step.groups],
            "isolated": self.context.network.isolated(cores),
        }
        if isinstance(step.fault, Cut):
            arguments["how"] = step.fault.how
        return arguments


@attrs.define
class HealHandler:
    """Lifts every link fault at once."""

    context: FaultContext

    async def begin(self, _step: Step) -> None:
        """Heal the network, and journal the end of each fault."""
        lifted = self.context.network.heal()
        await self.context.update_relays()
        for faulted in lifted:
            self.context.journal_end(faulted, describe_groups(faulted))

    async def end(self, _step: Step) -> None:
        """Do nothing, as healing is not undone."""


def describe_groups(step: Step) -> str:
    """Return the groups of a link fault as text, which is the same for its begin and its end."""
    assert isinstance(step.fault, LinkFault)
    written = ["+".join(group) for group in step.fault.groups]
    return " | ".join(written if len(written) > 1 else [*written, "all others"])
