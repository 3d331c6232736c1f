"""Schedules: everything that happens to a simulated cluster, as a list that can be shortened."""

from __future__ import annotations

import attrs


@attrs.frozen
class Step:
    """One fault or operation.

    Attributes
    ----------
    at_s : when, counted from when the cluster was ready.
    action : name in `faults.FAULTS` or `operations.OPERATIONS`.
    members, others : whom it concerns; cores by index (`core:0`), since they are replaced.
    for_s : how long the fault lasts, or until the restart.
    amount : a probability, or an order's number, by action.
    """

    at_s: float
    action: str
    members: tuple[str, ...] = ()
    others: tuple[str, ...] = ()
    for_s: float = 0.0
    amount: float = 0.0


@attrs.frozen
class Schedule:
    """A seed and the steps that are taken under it.

    Attributes
    ----------
    seed : of the network, the clocks, the disks and the machines.
    length_s : when everything is healed, counted from when the cluster was ready.
    uses_codec : whether every message passes through the Avro codec.
    """

    seed: int
    nodes: int
    length_s: float
    uses_codec: bool = False
    steps: tuple[Step, ...] = ()

    def with_steps(self, steps: tuple[Step, ...]) -> Schedule:
        """Return the same schedule with other steps."""
        return attrs.evolve(self, steps=steps)


def describe(schedule: Schedule) -> list[str]:
    """Return the schedule as lines for a reader."""
    lines = [
        f"seed {schedule.seed}, {schedule.nodes} nodes, healed at {schedule.length_s:.2f} s"
        f"{', through the codec' if schedule.uses_codec else ''}"
    ]
    for step in schedule.steps:
        columns = [f"{step.at_s:7.3f} s  {step.action}"]
        if step.members:
            columns.append(" ".join(step.members))
        if step.others:
            columns.append(f"| {' '.join(step.others)}")
        if step.for_s:
            columns.append(f"for {step.for_s:.2f} s")
        if step.amount:
            columns.append(f"amount {step.amount:g}")
        lines.append("  ".join(columns))
    return lines
