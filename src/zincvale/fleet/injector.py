"""Performs the steps of a fault plan on a running fleet."""

from __future__ import annotations

from zincvale.fleet.back_end_faults import BehaviourHandler, DemandHandler
from zincvale.fleet.change_faults import ChangeHandler, DeclaredFieldHandler
from zincvale.fleet.fault_context import FaultContext, FaultHandler
from zincvale.fleet.fault_plan import Phase, Step
from zincvale.fleet.network_faults import HealHandler, LinkHandler
from zincvale.fleet.process_faults import (
    DiskQuotaHandler,
    FreezeHandler,
    ReplaceHandler,
    StopHandler,
)


class Injector:
    """Dispatches each step to the handler of its fault's kind."""

    def __init__(self, context: FaultContext) -> None:
        self._handlers = _handlers(context)

    async def perform(self, step: Step) -> None:
        """Begin or lift the step's fault."""
        handler = self._handlers[step.fault.kind]
        if step.phase is Phase.BEGIN:
            await handler.begin(step)
        else:
            await handler.end(step)


def _handlers(context: FaultContext) -> dict[str, FaultHandler]:
    stop = StopHandler(context)
    link = LinkHandler(context)
    change = ChangeHandler(context)
    demand = DemandHandler(context)
    return {
        "kill": stop,
        "restart": stop,
        "power-loss": stop,
        "disk-lost": stop,
        "freeze": FreezeHandler(context),
        "disk-full": DiskQuotaHandler(context),
        "replace": ReplaceHandler(context),
        "cut": link,
        "delay": link,
        "slow": link,
        "heal": HealHandler(context),
        "drain": DeclaredFieldHandler(context, "Server", "drained"),
        "evacuate": DeclaredFieldHandler(context, "Zone", "evacuated"),
        "apply": change,
        "change-burst": change,
        "racing-changes": change,
        "lost-acknowledgement": change,
        "invalid-change": change,
        "behaviour": BehaviourHandler(context),
        "crowd": demand,
        "popularity": demand,
        "rare-models": demand,
    }
