"""Performs the fault steps of a what-if run."""

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
    """The parts of a fleet (`run.VirtualFleet`) that faults act on."""

    @property
    def clock(self) -> VirtualClock:
        """Virtual time."""
        ...

    @property
    def intent(self) -> IntentStore:
        """The intent, which checks changes as a core does."""
        ...

    @property
    def refused_changes(self) -> list[str]:
        """Error messages of the changes that were refused during the run."""
        ...

    def set_running(self, name: str, is_up: bool) -> None:
        """Start a node or back end, or kill it."""
        ...

    def set_slow_factor(self, name: str, factor: float) -> None:
        """Lengthen the steps of a language-model server by a factor; ignore other servers."""
        ...

    def merge_spec(self, kind: str, names: tuple[str, ...], spec: dict[str, Any]) -> None:
        """Merge `spec` into the specs of the resources of a kind with these names."""
        ...


def schedule_faults(fleet: FaultTarget, plan: FaultPlan, load_started_at: float) -> None:
    """Schedule every step at its time after the start of the load."""
    for step in plan.steps:
        fleet.clock.call_at(load_started_at + step.at_s, _step_action(fleet, step))


def _step_action(fleet: FaultTarget, step: Step) -> Callable[[], None]:
    return lambda: _perform_step(fleet, step)


def _perform_step(fleet: FaultTarget, step: Step) -> None:
    begins = step.phase is Phase.BEGIN
    match step.fault:
        case Kill() | Restart():
            for target in step.targets:
                fleet.set_running(target, not begins)
        case Drain():
            fleet.merge_spec("Server", step.targets, {"drained": begins})
        case Evacuate():
            fleet.merge_spec("Zone", step.targets, {"evacuated": begins})
        case Apply(resources=resources):
            _apply_change(fleet, resources)
        case ChangeBurst(count=count):
            for _ in range(count):
                _apply_change(fleet, [])
        case SwitchBehaviour(behaviour=behaviour):
            for target in step.targets:
                fleet.set_slow_factor(target, behaviour.factor if begins else 1.0)


def _apply_change(fleet: FaultTarget, resources: list[dict[str, Any]]) -> None:
    try:
        fleet.intent.apply(resources)
    except ZincvaleError as error:
        fleet.refused_changes.append(str(error))
