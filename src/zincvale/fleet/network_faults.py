"""Faults on the links between processes."""

from __future__ import annotations

import attrs

from zincvale.fleet.fault_context import FaultContext
from zincvale.fleet.fault_kinds import Cut, LinkFault
from zincvale.fleet.fault_plan import Step


@attrs.define
class LinkHandler:
    """Cuts, delays and slow links between groups."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Put the fault in force on every link between the groups."""
        network = self.context.network
        network.begin(step)
        self.context.began(step, sides(step), **self._arguments(step))
        await self.context.update_relays()

    async def end(self, step: Step) -> None:
        """Lift the fault."""
        self.context.network.end(step.fault_id)
        await self.context.update_relays()
        self.context.ended(step, sides(step))

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
            self.context.ended(faulted, sides(faulted))

    async def end(self, _step: Step) -> None:
        """Healing has no end."""


def sides(step: Step) -> str:
    """Return the groups of a link fault as one line, the same at its begin and end."""
    assert isinstance(step.fault, LinkFault)
    written = ["+".join(group) for group in step.fault.groups]
    return " | ".join(written if len(written) > 1 else [*written, "all others"])
