"""Draws a schedule from a seed: faults alone, together and twice, under operators' changes."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from zincvale.simulator.cluster.operations import CORE_INDEX_PREFIX, draw_operation
from zincvale.simulator.schedules.schedule import Schedule, Step

CORES = tuple(f"{CORE_INDEX_PREFIX}{index}" for index in range(3))
NODE_COUNTS = (2, 3, 4, 5, 5)
OPERATION_INTERVAL_S = 0.6
FAULTS_FROM_S = 1.0
FAULT_WINDOW_S = 7.0
LONGEST_S = 30.0
SLOW_LINK_SHARE = 0.5
"""Share of the link faults that delay one member; the others are storms."""
LONG_FREEZE_SHARE = 0.08
LONG_FREEZE_S = 20.0
GROUP_FREEZE_SHARE = 0.25
CODEC_EVERY = 5
"""One run in so many passes every message through the codec."""

DrawFault = Callable[[random.Random, list[str], float], Step]


def draw_schedule(seed: int) -> Schedule:
    """Return the schedule of a seed."""
    source = random.Random(f"schedule {seed}")
    nodes = source.choice(NODE_COUNTS)
    members = [f"node-{index + 1}" for index in range(nodes)]
    faults = _draw_faults(source, members)
    length_s = max(step.at_s + min(step.for_s, LONGEST_S) for step in faults) + 0.3
    operations = _draw_operations(source, length_s)
    steps = sorted([*faults, *operations], key=lambda step: step.at_s)
    return Schedule(seed, nodes, length_s, seed % CODEC_EVERY == 0, tuple(steps))


def _draw_operations(source: random.Random, length_s: float) -> list[Step]:
    steps = []
    at_s = 0.1
    while at_s < length_s:
        steps.append(draw_operation(source, round(at_s, 3)))
        at_s += source.expovariate(1 / OPERATION_INTERVAL_S)
    return steps


def _draw_faults(source: random.Random, nodes: list[str]) -> list[Step]:
    """Return one fault, several at about one time, one twice, or many."""

    def draw(at_s: float) -> Step:
        kind = source.choices([each for each, _ in KINDS], [weight for _, weight in KINDS])[0]
        return kind(source, nodes, round(at_s, 3))

    first_s = FAULTS_FROM_S + source.random()
    match source.choice(("alone", "together", "twice", "many")):
        case "alone":
            return [draw(first_s)]
        case "together":
            return [draw(first_s + source.random()) for _ in range(source.randint(2, 4))]
        case "twice":
            once = draw(first_s)
            gap_s = once.for_s + source.choice((0.2, 1.0, 3.0, 12.0)) * source.random()
            again = attrs.evolve(once, at_s=round(first_s + gap_s, 3))
            return [once, again]
        case _:
            count = source.randint(4, 8)
            return [draw(first_s + FAULT_WINDOW_S * source.random()) for _ in range(count)]


def _some(source: random.Random, members: list[str], at_least: int = 1) -> tuple[str, ...]:
    count = source.randint(at_least, max(at_least, len(members) - 1))
    return tuple(sorted(source.sample(members, min(count, len(members)))))


def _seconds(source: random.Random) -> float:
    """Return a duration around the durations that leases and timeouts have."""
    return round(source.choice((0.3, 1.0, 2.0, 4.0, 8.0)) * source.uniform(0.6, 1.4), 2)


def _one_core(source: random.Random) -> tuple[str, ...]:
    return (source.choice(CORES),)


def _one_of_all(source: random.Random, nodes: list[str]) -> tuple[str, ...]:
    return (source.choice([*CORES, *nodes]),)


def _draw_partition(source: random.Random, nodes: list[str], at_s: float) -> Step:
    """Cut off one process, a group, or nodes from all cores."""
    action = source.choice(("cut", "cut", "cut-one-way"))
    all_members = [*CORES, *nodes]
    match source.choice(("one", "group", "island", "core-from-cores", "pair")):
        case "one":
            return Step(at_s, action, _one_of_all(source, nodes), (), _seconds(source))
        case "group":
            return Step(at_s, action, _some(source, all_members), (), _seconds(source))
        case "island":
            return Step(at_s, action, _some(source, nodes), CORES, _seconds(source))
        case "core-from-cores":
            return Step(at_s, action, _one_core(source), CORES, _seconds(source))
        case _:
            one, other = source.sample(all_members, 2)
            return Step(at_s, action, (one,), (other,), _seconds(source))


def _draw_link_conditions(source: random.Random, nodes: list[str], at_s: float) -> Step:
    if source.random() < SLOW_LINK_SHARE:
        return Step(at_s, "slow", _one_of_all(source, nodes), (), _seconds(source))
    return Step(at_s, "storm", for_s=_seconds(source), amount=round(source.uniform(0.02, 0.4), 3))


def _draw_freeze(source: random.Random, nodes: list[str], at_s: float) -> Step:
    for_s = LONG_FREEZE_S if source.random() < LONG_FREEZE_SHARE else _seconds(source)
    members = _one_of_all(source, nodes)
    if source.random() < GROUP_FREEZE_SHARE:
        members = _some(source, [*CORES, *nodes])
    return Step(at_s, "freeze", members, (), for_s)


def _draw_kill(source: random.Random, nodes: list[str], at_s: float) -> Step:
    """Kill one process, all cores, or everything."""
    action = source.choice(("kill", "lose-power"))
    for_s = round(_seconds(source) * 0.5, 2)
    members = source.choice(
        (_one_of_all(source, nodes), _one_core(source), CORES, (*CORES, *nodes), tuple(nodes))
    )
    return Step(at_s, action, members, (), for_s)


def _draw_disk(source: random.Random, _nodes: list[str], at_s: float) -> Step:
    action = source.choice(("fill-disk", "break-disk"))
    return Step(at_s, action, _some(source, list(CORES)), (), _seconds(source))


def _draw_loss(source: random.Random, _nodes: list[str], at_s: float) -> Step:
    action = source.choice(("lose-disk", "replace", "tear", "lose-disk-on-acknowledgement"))
    if action == "lose-disk-on-acknowledgement":
        return Step(at_s, action)
    return Step(at_s, action, _one_core(source), (), round(_seconds(source) * 0.5, 2))


KINDS: tuple[tuple[DrawFault, int], ...] = (
    (_draw_partition, 5),
    (_draw_link_conditions, 2),
    (_draw_freeze, 3),
    (_draw_kill, 3),
    (_draw_disk, 2),
    (_draw_loss, 3),
)
