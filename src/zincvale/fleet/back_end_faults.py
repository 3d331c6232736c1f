"""Misbehaving back ends, and changes of demand."""

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
    """Back ends that drop, delay, cross or cut responses."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Switch the behaviour on."""
        assert isinstance(step.fault, SwitchBehaviour)
        body = step.fault.behaviour.to_dict()
        for target in step.targets:
            self.context.began(step, target, behaviour=body["kind"])
            await self._send("POST", target, body)

    async def end(self, step: Step) -> None:
        """Switch every behaviour of the targets off."""
        for target in step.targets:
            await self._send("DELETE", target, None)
            self.context.ended(step, target)

    async def _send(self, method: str, target: str, body: Any) -> None:
        server = self.context.fleet.server(target)
        if server is None:
            return
        address = self.context.fleet.deployment.server_address(server)
        await self.context.client.send(method, address, "/admin/behaviour", body, CONTROL_TIMEOUT_S)


@attrs.define
class DemandHandler:
    """Crowds and shifts of popularity: they are in the load file, this only journals them."""

    context: FaultContext

    async def begin(self, step: Step) -> None:
        """Journal that demand changed."""
        self.context.began(step, CALLERS)

    async def end(self, step: Step) -> None:
        """Journal that demand is back."""
        self.context.ended(step, CALLERS)
