"""Which faults of a fault file a what-if run knows, and why it leaves out the others."""

from __future__ import annotations

import attrs

from zincvale.fleet.fault_kinds import (
    Apply,
    ChangeBurst,
    CrowdComes,
    Drain,
    Evacuate,
    Kill,
    PopularityShifts,
    RareModelsWanted,
    Restart,
    SwitchBehaviour,
)
from zincvale.fleet.fault_plan import Step
from zincvale.standins.behaviours import BehaviourKind

PART_OF_THE_LOAD = (CrowdComes, PopularityShifts, RareModelsWanted)
"""Read into the load file before the run."""


@attrs.frozen
class FaultPlan:
    """The steps of a run that are carried out, and what is left out and why."""

    steps: tuple[Step, ...]
    not_modelled: tuple[str, ...]


def plan_faults(steps: list[Step], daemons: frozenset[str]) -> FaultPlan:
    """Part the steps of a fault file; `daemons` are the machines that are not back ends."""
    modelled: list[Step] = []
    left_out: dict[str, None] = {}
    for step in steps:
        reason = _exclusion_reason(step)
        if reason:
            left_out[f"{step.fault.kind}: {reason}"] = None
        else:
            modelled.append(step)
            for target in step.targets:
                if target in daemons and target.startswith("core"):
                    left_out[f"{step.fault.kind} of {target}: the control machines are one"] = None
    return FaultPlan(tuple(modelled), tuple(left_out))


def _exclusion_reason(step: Step) -> str:
    fault = step.fault
    if isinstance(fault, PART_OF_THE_LOAD):
        return ""
    if isinstance(fault, Kill | Restart | Drain | Evacuate | Apply | ChangeBurst):
        return ""
    if isinstance(fault, SwitchBehaviour):
        if fault.behaviour.kind is BehaviourKind.SLOW:
            return ""
        return f"behaviour {fault.behaviour.kind.value} is the fleet rig's subject"
    return "links, disks, freezes and races of operators are the explorer's and the fleet's subject"
