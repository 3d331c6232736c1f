"""What faults do in a what-if run."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from zincvale.fleet.fault_kinds import (
    Apply,
    ChangeBurst,
    Drain,
    Evacuate,
    Kill,
    Restart,
    SwitchBehaviour,
)
from zincvale.fleet.fault_plan import Phase, Step
from zincvale.model.errors import ZincvaleError
from zincvale.simulator.what_if.fault_plan import FaultPlan

if TYPE_CHECKING:
    from zincvale.simulator.what_if.run import VirtualFleet


def schedule_faults(fleet: VirtualFleet, plan: FaultPlan, load_started_at: float) -> None:
    """Let every step happen at its moment after the load began."""
    for step in plan.steps:
        fleet.clock.call_at(load_started_at + step.at_s, _performer(fleet, step))


def _performer(fleet: VirtualFleet, step: Step) -> Callable[[], None]:
    return lambda: _perform(fleet, step)


def _perform(fleet: VirtualFleet, step: Step) -> None:
    begins = step.phase is Phase.BEGIN
    match step.fault:
        case Kill() | Restart():
            for target in step.targets:
                fleet.switch(target, not begins)
        case Drain():
            fleet.declare("Server", step.targets, {"drained": begins})
        case Evacuate():
            fleet.declare("Zone", step.targets, {"evacuated": begins})
        case Apply(resources=resources):
            _apply(fleet, resources)
        case ChangeBurst(count=count):
            for _ in range(count):
                _apply(fleet, [])
        case SwitchBehaviour(behaviour=behaviour):
            for target in step.targets:
                fleet.slow(target, behaviour.factor if begins else 1.0)


def _apply(fleet: VirtualFleet, resources: list[dict[str, Any]]) -> None:
    try:
        fleet.intent.apply(resources)
    except ZincvaleError as error:
        fleet.refused_changes.append(str(error))
