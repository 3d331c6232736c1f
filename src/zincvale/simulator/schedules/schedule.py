"""Schedules: the faults and operations of a simulation as a list of steps that can be shrunk."""

from __future__ import annotations

import attrs


@attrs.frozen
class Step:
    """One fault or operation of a schedule.

    Attributes
    ----------
    at_s : time of the step, counted from when the cluster was ready.
    action : a key of `faults.FAULTS` or `operations.OPERATIONS`.
    members, others : members to which the action applies; cores are named by index (`core:0`),
        since they are replaced.
    for_s : duration of the fault, or time until the restart.
    amount : a probability, or for `resend` the relative position of the order to resend.
    """

    at_s: float
    action: str
    members: tuple[str, ...] = ()
    others: tuple[str, ...] = ()
    for_s: float = 0.0
    amount: float = 0.0


@attrs.frozen
class Schedule:
    """A seed, and the steps that are executed with it.

    Attributes
    ----------
    seed : seed of all random choices in the network, clocks, disks and state machines.
    nodes : number of nodes.
    length_s : time at which all faults are healed, counted from when the cluster was ready.
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
    """Return the schedule as lines of readable text."""
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
