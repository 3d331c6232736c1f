"""Operations that a schedule can request of the operators."""

from __future__ import annotations

import random
from collections.abc import Callable

from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.operators import Operators
from zincvale.simulator.schedules.schedule import Step

CORE_INDEX_PREFIX = "core:"
RACERS = 3
BURST = 8
BURST_INTERVAL_S = 0.004

Operation = Callable[[Operators, Cluster, Step], None]


def members_of(cluster: Cluster, names: tuple[str, ...]) -> list[str]:
    """Return members by name, or by index for cores, which are replaced."""
    found = []
    for name in names:
        if name.startswith(CORE_INDEX_PREFIX):
            index = int(name.removeprefix(CORE_INDEX_PREFIX))
            found.append(cluster.cores[index % len(cluster.cores)])
        else:
            found.append(name)
    return list(dict.fromkeys(found))


def change(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send one change, on no base, through a core; `amount` is the loss of responses."""
    (core,) = members_of(cluster, step.members)
    operators.send(operators.new_order(None), core, step.amount)


def change_on_base(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send one change on the version that the core shows."""
    (core,) = members_of(cluster, step.members)
    operators.send(operators.new_order(operators.known_version(core)), core, step.amount)


def race(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send different changes on one version through every core at once."""
    (core,) = members_of(cluster, step.members)
    base = operators.known_version(core)
    for racer in range(RACERS):
        member = cluster.cores[racer % len(cluster.cores)]
        operators.send(operators.new_order(base), member, step.amount)


def burst(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send many changes within milliseconds through one core."""
    (core,) = members_of(cluster, step.members)
    simulation = cluster.simulation
    for index in range(BURST):
        order = operators.new_order(None)
        simulation.schedule(simulation.now + index * BURST_INTERVAL_S, operators.send, order, core)


def bad_change(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send a change that the reducer refuses."""
    (core,) = members_of(cluster, step.members)
    operators.send(operators.new_order(None, is_bad=True), core, step.amount)


def resend(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send an earlier order once more, through every core at once."""
    if not operators.orders:
        return
    order = operators.orders[int(step.amount * len(operators.orders))]
    for core in cluster.cores:
        operators.send(order, core, resends=0)


OPERATIONS: dict[str, Operation] = {
    "change": change,
    "change-on-base": change_on_base,
    "race": race,
    "burst": burst,
    "bad-change": bad_change,
    "resend": resend,
}


def draw_operation(source: random.Random, at_s: float) -> Step:
    """Draw an operation."""
    action = source.choices(list(OPERATIONS), weights=(5, 5, 3, 1, 1, 3))[0]
    member = f"{CORE_INDEX_PREFIX}{source.randrange(3)}"
    if action == "resend":
        return Step(at_s, action, amount=source.random())
    loss = source.choice((0.0, 0.0, 1.0))
    return Step(at_s, action, (member,), amount=loss)
