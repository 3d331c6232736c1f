"""Reads and writes schedules as JSON files."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

import attrs
import orjson

from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError
from zincvale.simulator.cluster.faults import FAULTS
from zincvale.simulator.cluster.operations import OPERATIONS
from zincvale.simulator.schedules.schedule import Schedule, Step


@dataclass
class StepFile(Checked):
    """A step in the format of the file."""

    at_s: float
    action: str
    members: list[str] = field(default_factory=list)
    others: list[str] = field(default_factory=list)
    for_s: float = 0.0
    amount: float = 0.0


@dataclass
class ScheduleFile(Checked):
    """A schedule in the format of the file."""

    seed: int
    nodes: int
    length_s: float
    uses_codec: bool = False
    steps: list[StepFile] = field(default_factory=list)


def write_schedule(schedule: Schedule, path: Path) -> None:
    """Write a schedule to a file."""
    content = orjson.dumps(attrs.asdict(schedule), option=orjson.OPT_INDENT_2)
    path.write_bytes(content + b"\n")


def read_schedule(path: Path) -> Schedule:
    """Read a schedule from a file; raises `InvalidInputError` if it is missing or invalid."""
    try:
        decoded = orjson.loads(path.read_bytes())
    except (OSError, orjson.JSONDecodeError) as error:
        raise InvalidInputError(
            f"{path}: {error}", "specify a file that `simulate explore --save` wrote"
        ) from error
    read = read_checked(ScheduleFile, decoded, str(path))
    steps = tuple(_step(step, path) for step in read.steps)
    return Schedule(read.seed, read.nodes, read.length_s, read.uses_codec, steps)


def _step(step: StepFile, path: Path) -> Step:
    known_actions = OPERATIONS.keys() | FAULTS.keys()
    if step.action not in known_actions:
        raise InvalidInputError(
            f"{path}: unknown action {step.action!r}",
            f"use one of {', '.join(sorted(known_actions))}",
        )
    return Step(
        step.at_s, step.action, tuple(step.members), tuple(step.others), step.for_s, step.amount
    )
