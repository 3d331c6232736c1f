"""Operations that a schedule can make the operators perform."""

from __future__ import annotations

import random
from collections.abc import Callable

from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.operators import Operators
from zincvale.simulator.schedules.schedule import Step

CORE_INDEX_PREFIX = "core:"
"""Prefix of a core's index in a schedule, which names cores by index since they are replaced."""
RACING_CHANGES = 3
"""Number of changes that `race` sends on one base version."""
BURST_SIZE = 8
"""Number of changes that `burst` sends."""
BURST_INTERVAL_S = 0.004
"""Interval between two changes of a burst."""

Operation = Callable[[Operators, Cluster, Step], None]


def resolve_members(cluster: Cluster, names: tuple[str, ...]) -> list[str]:
    """Return the member ids for the names in a schedule, where `core:N` is the core at index N."""
    found = []
    for name in names:
        if name.startswith(CORE_INDEX_PREFIX):
            index = int(name.removeprefix(CORE_INDEX_PREFIX))
            found.append(cluster.cores[index % len(cluster.cores)])
        else:
            found.append(name)
    return list(dict.fromkeys(found))


def send_change(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send a change without a base version to a core; `amount` is the probability of its response
    being lost.
    """
    (core,) = resolve_members(cluster, step.members)
    operators.send(operators.new_order(None), core, step.amount)


def send_change_on_base(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send a change based on the version that the core currently shows."""
    (core,) = resolve_members(cluster, step.members)
    operators.send(operators.new_order(operators.known_version(core)), core, step.amount)


def race_changes(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send different changes on one base version to the cores at once."""
    (core,) = resolve_members(cluster, step.members)
    base_version = operators.known_version(core)
    for index in range(RACING_CHANGES):
        member = cluster.cores[index % len(cluster.cores)]
        operators.send(operators.new_order(base_version), member, step.amount)


def send_burst(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send many changes to one core, a few milliseconds apart."""
    (core,) = resolve_members(cluster, step.members)
    simulation = cluster.simulation
    for index in range(BURST_SIZE):
        order = operators.new_order(None)
        simulation.schedule(simulation.now + index * BURST_INTERVAL_S, operators.send, order, core)


def send_invalid_change(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Send an invalid change, which the reducer refuses."""
    (core,) = resolve_members(cluster, step.members)
    operators.send(operators.new_order(None, is_invalid=True), core, step.amount)


def resend_order(operators: Operators, cluster: Cluster, step: Step) -> None:
    """Resend an earlier order to every core at once; `amount` selects the order by its position."""
    if not operators.orders:
        return
    order = operators.orders[int(step.amount * len(operators.orders))]
    for core in cluster.cores:
        operators.send(order, core, resends=0)


OPERATIONS: dict[str, Operation] = {
    "change": send_change,
    "change-on-base": send_change_on_base,
    "race": race_changes,
    "burst": send_burst,
    "bad-change": send_invalid_change,
    "resend": resend_order,
}


def draw_operation(source: random.Random, at_s: float) -> Step:
    """Draw a random operation to be performed at `at_s`."""
    action = source.choices(list(OPERATIONS), weights=(5, 5, 3, 1, 1, 3))[0]
    member = f"{CORE_INDEX_PREFIX}{source.randrange(3)}"
    if action == "resend":
        return Step(at_s, action, amount=source.random())
    loss = source.choice((0.0, 0.0, 1.0))
    return Step(at_s, action, (member,), amount=loss)
