"""Splits the steps of a fault file into those that a what-if run models and those it omits."""

from __future__ import annotations

import attrs

from zincvale.fleet.fault_kinds import (
    Apply,
    ChangeBurst,
    CrowdFault,
    Drain,
    Evacuate,
    Kill,
    PopularityShiftFault,
    RareModelsFault,
    Restart,
    SwitchBehaviour,
)
from zincvale.fleet.fault_plan import Step
from zincvale.standins.behaviours import BehaviourKind

LOAD_FAULT_KINDS = (CrowdFault, PopularityShiftFault, RareModelsFault)
"""Kinds of faults that are merged into the load before the run."""


@attrs.frozen
class FaultPlan:
    """The modelled steps, and what is not modelled with the reason."""

    steps: tuple[Step, ...]
    not_modelled: tuple[str, ...]


def plan_faults(steps: list[Step], daemons: frozenset[str]) -> FaultPlan:
    """Split the steps of a fault file; `daemons` are the machines other than back ends."""
    modelled: list[Step] = []
    not_modelled: dict[str, None] = {}
    for step in steps:
        reason = _exclusion_reason(step)
        if reason:
            not_modelled[f"{step.fault.kind}: {reason}"] = None
        else:
            modelled.append(step)
            for target in step.targets:
                if target in daemons and target.startswith("core"):
                    not_modelled[f"{step.fault.kind} of {target}: the control machines are one"] = (
                        None
                    )
    return FaultPlan(tuple(modelled), tuple(not_modelled))


def _exclusion_reason(step: Step) -> str:
    fault = step.fault
    if isinstance(fault, LOAD_FAULT_KINDS):
        return ""
    if isinstance(fault, Kill | Restart | Drain | Evacuate | Apply | ChangeBurst):
        return ""
    if isinstance(fault, SwitchBehaviour):
        if fault.behaviour.kind is BehaviourKind.SLOW:
            return ""
        return f"behaviour {fault.behaviour.kind.value} is the fleet rig's subject"
    return "links, disks, freezes and races of operators are the explorer's and the fleet's subject"
