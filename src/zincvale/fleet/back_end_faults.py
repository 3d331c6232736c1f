"""Handlers of misbehaving back ends and of changes of demand."""

from __future__ import annotations

from typing import Any

import attrs

from zincvale.fleet.fault_context import FaultContext
from zincvale.fleet.fault_kinds import SwitchBehaviour
from zincvale.fleet.fault_plan import Step

CONTROL_TIMEOUT_S = 3.0
CALLERS = "callers"


@attrs.define
class BehaviourHandler:
    """Makes back ends misbehave, for example by dropping, delaying or truncating responses."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Switch the fault's behaviour on at the targets."""
        assert isinstance(step.fault, SwitchBehaviour)
        body = step.fault.behaviour.to_dict()
        for target in step.targets:
            self.context.journal_begin(step, target, behaviour=body["kind"])
            await self._send("POST", target, body)

    async def end(self, step: Step) -> None:
        """Switch every behaviour of the targets off."""
        for target in step.targets:
            await self._send("DELETE", target, None)
            self.context.journal_end(step, target)

    async def _send(self, method: str, target: str, body: Any) -> None:
        server = self.context.fleet.server(target)
        if server is None:
            return
        address = self.context.fleet.deployment.server_address(server)
        await self.context.client.send(method, address, "/admin/behaviour", body, CONTROL_TIMEOUT_S)


@attrs.define
class DemandHandler:
    """Journals changes of demand, which the callers themselves carry out from the load file."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Journal that the change of demand began."""
        self.context.journal_begin(step, CALLERS)

    async def end(self, step: Step) -> None:
        """Journal that the change of demand ended."""
        self.context.journal_end(step, CALLERS)
