"""Generates a schedule from a seed: single, simultaneous, repeated or many faults, and changes."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from zincvale.coordination.config import ReadinessRule
from zincvale.simulator.cluster.operations import CORE_INDEX_PREFIX, draw_operation
from zincvale.simulator.schedules.schedule import Schedule, Step

CORES = tuple(f"{CORE_INDEX_PREFIX}{index}" for index in range(3))
"""Names of the cores in a schedule, by index."""
NODE_COUNTS = (2, 3, 4, 5, 5)
"""Numbers of nodes from which a schedule draws its own with equal weights."""
LEASE_NODE_COUNTS = (3, 5, 7)
"""The same for schedules of a cluster whose nodes are ready with a lease only."""
OPERATION_INTERVAL_S = 0.6
"""Mean interval between two operations; the intervals are exponentially distributed."""
FIRST_FAULT_AT_S = 1.0
"""Earliest time of the first fault, which occurs within a second of it."""
FAULT_WINDOW_S = 7.0
"""Length of the period over which many faults are spread."""
MAX_FAULT_S = 30.0
"""Longest duration of a fault that counts for the length of a schedule."""
SLOW_LINK_SHARE = 0.5
"""Fraction of the link faults that delay one member; the others degrade all links."""
LONG_FREEZE_SHARE = 0.08
"""Fraction of the freezes that last `LONG_FREEZE_S`."""
LONG_FREEZE_S = 20.0
GROUP_FREEZE_SHARE = 0.25
"""Fraction of the freezes that affect several members at once."""
CODEC_SEED_INTERVAL = 5
"""Every message passes through the codec if the seed is a multiple of this number."""

DrawFault = Callable[[random.Random, list[str], float], Step]
"""Draws a fault, given a random source, the nodes and the time of the fault."""


def draw_schedule(
    seed: int, readiness: ReadinessRule = ReadinessRule.LEASE_OR_EVIDENCE
) -> Schedule:
    """Return the schedule of a seed for a cluster of the given rule; it is always the same.

    Only under `ReadinessRule.LEASE` may any number of nodes be lost for good.
    """
    if readiness is ReadinessRule.LEASE:
        source = random.Random(f"lease schedule {seed}")
        nodes = source.choice(LEASE_NODE_COUNTS)
        kinds = (*FAULT_KINDS, *NODE_LOSS_KINDS)
    else:
        source = random.Random(f"schedule {seed}")
        nodes = source.choice(NODE_COUNTS)
        kinds = FAULT_KINDS
    members = [f"node-{index + 1}" for index in range(nodes)]
    faults = _draw_faults(source, members, kinds)
    length_s = max(step.at_s + min(step.for_s, MAX_FAULT_S) for step in faults) + 0.3
    operations = _draw_operations(source, length_s)
    steps = sorted([*faults, *operations], key=lambda step: step.at_s)
    return Schedule(seed, nodes, length_s, seed % CODEC_SEED_INTERVAL == 0, tuple(steps))


def _draw_operations(source: random.Random, length_s: float) -> list[Step]:
    steps = []
    at_s = 0.1
    while at_s < length_s:
        steps.append(draw_operation(source, round(at_s, 3)))
        at_s += source.expovariate(1 / OPERATION_INTERVAL_S)
    return steps


def _draw_faults(
    source: random.Random, nodes: list[str], kinds: tuple[tuple[DrawFault, int], ...]
) -> list[Step]:
    """Return one fault, several at about the same time, one fault twice, or many faults."""

    def draw(at_s: float) -> Step:
        kind = source.choices([each for each, _ in kinds], [weight for _, weight in kinds])[0]
        return kind(source, nodes, round(at_s, 3))

    first_s = FIRST_FAULT_AT_S + source.random()
    match source.choice(("alone", "together", "twice", "many")):
        case "alone":
            return [draw(first_s)]
        case "together":
            return [draw(first_s + source.random()) for _ in range(source.randint(2, 4))]
        case "twice":
            first = draw(first_s)
            gap_s = first.for_s + source.choice((0.2, 1.0, 3.0, 12.0)) * source.random()
            second = attrs.evolve(first, at_s=round(first_s + gap_s, 3))
            return [first, second]
        case _:
            count = source.randint(4, 8)
            return [draw(first_s + FAULT_WINDOW_S * source.random()) for _ in range(count)]


def _draw_group(source: random.Random, members: list[str], at_least: int = 1) -> tuple[str, ...]:
    count = source.randint(at_least, max(at_least, len(members) - 1))
    return tuple(sorted(source.sample(members, min(count, len(members)))))


def _draw_duration_s(source: random.Random) -> float:
    """Return a random duration of the order of lease lifetimes and timeouts."""
    return round(source.choice((0.3, 1.0, 2.0, 4.0, 8.0)) * source.uniform(0.6, 1.4), 2)


def _draw_core(source: random.Random) -> tuple[str, ...]:
    return (source.choice(CORES),)


def _draw_member(source: random.Random, nodes: list[str]) -> tuple[str, ...]:
    return (source.choice([*CORES, *nodes]),)


def _draw_partition(source: random.Random, nodes: list[str], at_s: float) -> Step:
    """Draw a partition of one member, of a group, of nodes from all cores, or of two members."""
    action = source.choice(("cut", "cut", "cut-one-way"))
    all_members = [*CORES, *nodes]
    match source.choice(("one", "group", "island", "core-from-cores", "pair")):
        case "one":
            return Step(at_s, action, _draw_member(source, nodes), (), _draw_duration_s(source))
        case "group":
            return Step(
                at_s, action, _draw_group(source, all_members), (), _draw_duration_s(source)
            )
        case "island":
            return Step(at_s, action, _draw_group(source, nodes), CORES, _draw_duration_s(source))
        case "core-from-cores":
            return Step(at_s, action, _draw_core(source), CORES, _draw_duration_s(source))
        case _:
            one, other = source.sample(all_members, 2)
            return Step(at_s, action, (one,), (other,), _draw_duration_s(source))


def _draw_link_conditions(source: random.Random, nodes: list[str], at_s: float) -> Step:
    if source.random() < SLOW_LINK_SHARE:
        return Step(at_s, "slow", _draw_member(source, nodes), (), _draw_duration_s(source))
    return Step(
        at_s, "storm", for_s=_draw_duration_s(source), amount=round(source.uniform(0.02, 0.4), 3)
    )


def _draw_freeze(source: random.Random, nodes: list[str], at_s: float) -> Step:
    for_s = LONG_FREEZE_S if source.random() < LONG_FREEZE_SHARE else _draw_duration_s(source)
    members = _draw_member(source, nodes)
    if source.random() < GROUP_FREEZE_SHARE:
        members = _draw_group(source, [*CORES, *nodes])
    return Step(at_s, "freeze", members, (), for_s)


def _draw_kill(source: random.Random, nodes: list[str], at_s: float) -> Step:
    """Draw a kill or power loss of one member, one core, all cores, all nodes or all members."""
    action = source.choice(("kill", "lose-power"))
    for_s = round(_draw_duration_s(source) * 0.5, 2)
    members = source.choice(
        (_draw_member(source, nodes), _draw_core(source), CORES, (*CORES, *nodes), tuple(nodes))
    )
    return Step(at_s, action, members, (), for_s)


def _draw_stop(source: random.Random, nodes: list[str], at_s: float) -> Step:
    """Draw an orderly stop of one member, of some nodes or of all nodes."""
    members = source.choice((_draw_member(source, nodes), _draw_group(source, nodes), tuple(nodes)))
    return Step(at_s, "stop", members, (), round(_draw_duration_s(source) * 0.5, 2))


def _draw_disk_failure(source: random.Random, _nodes: list[str], at_s: float) -> Step:
    action = source.choice(("fill-disk", "break-disk"))
    return Step(at_s, action, _draw_group(source, list(CORES)), (), _draw_duration_s(source))


def _draw_disk_loss(source: random.Random, _nodes: list[str], at_s: float) -> Step:
    action = source.choice(("lose-disk", "replace", "tear", "lose-disk-on-acknowledgement"))
    if action == "lose-disk-on-acknowledgement":
        return Step(at_s, action)
    return Step(at_s, action, _draw_core(source), (), round(_draw_duration_s(source) * 0.5, 2))


def _draw_node_loss(source: random.Random, nodes: list[str], at_s: float) -> Step:
    """Draw the permanent loss of one to all nodes, and the time until new ones replace them."""
    count = source.randint(1, len(nodes))
    members = tuple(sorted(source.sample(nodes, count)))
    return Step(at_s, "replace-node", members, (), _draw_duration_s(source))


def _draw_cuts_by_twos(source: random.Random, nodes: list[str], at_s: float) -> Step:
    """Draw a partition of two nodes from all cores; several of them cut off most nodes."""
    pair = tuple(sorted(source.sample(nodes, 2)))
    return Step(at_s, "cut", pair, CORES, _draw_duration_s(source))


FAULT_KINDS: tuple[tuple[DrawFault, int], ...] = (
    (_draw_partition, 5),
    (_draw_link_conditions, 2),
    (_draw_freeze, 3),
    (_draw_kill, 3),
    (_draw_stop, 2),
    (_draw_disk_failure, 2),
    (_draw_disk_loss, 3),
)
"""Functions that draw the kinds of faults, with their relative frequencies."""
NODE_LOSS_KINDS: tuple[tuple[DrawFault, int], ...] = (
    (_draw_node_loss, 5),
    (_draw_cuts_by_twos, 3),
)
"""The same, for clusters that bear the loss of any number of nodes."""
