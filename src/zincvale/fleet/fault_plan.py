"""Turns a fault schedule into timed steps with resolved targets; without I/O, and seeded."""

from __future__ import annotations

import enum
import random

import attrs

from zincvale.fleet.fault_file import FaultSchedule
from zincvale.fleet.fault_kinds import (
    DiskLost,
    Evacuate,
    Fault,
    Heal,
    LinkFault,
    PowerLoss,
    Replace,
    Restart,
    TargetedFault,
)
from zincvale.fleet.fault_targets import Inventory, Selection
from zincvale.model.errors import InvalidInputError


class Phase(enum.Enum):
    """Whether a step begins or lifts its fault."""

    BEGIN = "begin"
    END = "end"


@attrs.frozen(eq=False)
class Step:
    """The begin or the end of a fault, `at_s` seconds after the load began.

    `targets` are the names that the step acts on, `groups` the groups of a link fault. Begin and
    end of one fault share `fault_id`.
    """

    at_s: float
    phase: Phase
    fault: Fault
    fault_id: int
    targets: tuple[str, ...] = ()
    groups: tuple[tuple[str, ...], ...] = ()


def plan_steps(schedule: FaultSchedule, inventory: Inventory, seed: int) -> list[Step]:
    """Return the steps of a schedule, sorted by time; the same seed gives the same steps.

    Raises
    ------
    InvalidInputError
        A selector matches nothing, a target is of the wrong kind, or groups overlap.
    """
    selection = Selection(inventory, random.Random(seed))
    steps: list[Step] = []
    for fault_id, fault in enumerate(schedule.faults):
        steps.extend(_steps_of(fault, fault_id, selection))
    return sorted(steps, key=lambda step: step.at_s)


def _steps_of(fault: Fault, fault_id: int, selection: Selection) -> list[Step]:
    if isinstance(fault, LinkFault):
        groups = _resolve_groups(fault, selection)
        return _begin_and_end(Step(fault.at_s, Phase.BEGIN, fault, fault_id, groups=groups))
    if not isinstance(fault, TargetedFault):
        return _begin_and_end(Step(fault.at_s, Phase.BEGIN, fault, fault_id))
    targets = selection.choose(fault.target, fault.pick, fault.named)
    _check_targets(fault, targets, selection.inventory)
    if not fault.stagger_s:
        begin = Step(fault.at_s, Phase.BEGIN, fault, fault_id, tuple(targets))
        return _begin_and_end(begin)
    steps: list[Step] = []
    for index, target in enumerate(targets):
        at_s = fault.at_s + index * fault.stagger_s
        steps.extend(_begin_and_end(Step(at_s, Phase.BEGIN, fault, fault_id, (target,))))
    return steps


def _begin_and_end(begin: Step) -> list[Step]:
    lasts_s = begin.fault.for_s
    if isinstance(begin.fault, Restart | DiskLost | PowerLoss):
        lasts_s = begin.fault.down_s
    if not lasts_s or isinstance(begin.fault, Replace | Heal):
        return [begin]
    return [begin, attrs.evolve(begin, at_s=begin.at_s + lasts_s, phase=Phase.END)]


def _resolve_groups(fault: LinkFault, selection: Selection) -> tuple[tuple[str, ...], ...]:
    groups = [
        tuple(dict.fromkeys(name for selector in group for name in selection.select(selector)))
        for group in fault.groups
    ]
    members = [name for group in groups for name in group]
    if len(set(members)) < len(members):
        raise InvalidInputError(
            f"{fault.kind} at {fault.at_s} s: groups overlap", "name each target in one group only"
        )
    if len(groups) == 1:
        groups.append(tuple(name for name in selection.inventory.items if name not in members))
    return tuple(groups)


def _check_targets(fault: TargetedFault, targets: list[str], inventory: Inventory) -> None:
    if isinstance(fault, Evacuate):
        wrong = [target for target in targets if target not in inventory.zones]
    else:
        wrong = [target for target in targets if target not in inventory.items]
    if wrong:
        raise InvalidInputError(
            f"{fault.kind} at {fault.at_s} s cannot have target {wrong[0]!r}",
            "use the name of a zone with evacuate only, and zone=NAME elsewhere",
        )
