"""Carries out the faults of a what-if run."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

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
from zincvale.simulator.what_if.clock import VirtualClock
from zincvale.simulator.what_if.fault_plan import FaultPlan
from zincvale.simulator.what_if.intent import IntentStore


class FaultTarget(Protocol):
    """What faults act on (`run.VirtualFleet`)."""

    @property
    def clock(self) -> VirtualClock:
        """Virtual time."""
        ...

    @property
    def intent(self) -> IntentStore:
        """The intent, with the core's own checks."""
        ...

    @property
    def refused_changes(self) -> list[str]:
        """Problems of the changes that were refused during the run."""
        ...

    def set_running(self, name: str, is_up: bool) -> None:
        """Kill or start a node or back end."""
        ...

    def set_slow_factor(self, name: str, factor: float) -> None:
        """Make a language-model server work slower by a factor."""
        ...

    def declare(self, kind: str, names: tuple[str, ...], spec: dict[str, Any]) -> None:
        """Merge a field into the specs of resources."""
        ...


def schedule_faults(fleet: FaultTarget, plan: FaultPlan, load_started_at: float) -> None:
    """Let every step happen at its moment after the load began."""
    for step in plan.steps:
        fleet.clock.call_at(load_started_at + step.at_s, _performer(fleet, step))


def _performer(fleet: FaultTarget, step: Step) -> Callable[[], None]:
    return lambda: _perform(fleet, step)


def _perform(fleet: FaultTarget, step: Step) -> None:
    begins = step.phase is Phase.BEGIN
    match step.fault:
        case Kill() | Restart():
            for target in step.targets:
                fleet.set_running(target, not begins)
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
                fleet.set_slow_factor(target, behaviour.factor if begins else 1.0)


def _apply(fleet: FaultTarget, resources: list[dict[str, Any]]) -> None:
    try:
        fleet.intent.apply(resources)
    except ZincvaleError as error:
        fleet.refused_changes.append(str(error))
