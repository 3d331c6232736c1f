"""Hand-written scenarios of known failure modes, each run under several seeds.

The seed decides which core owns a register and which one leads a role. A scenario is therefore run
with each core in the principal part.
"""

from __future__ import annotations

from collections.abc import Callable

from zincvale.simulator.schedules.drawing import CORES
from zincvale.simulator.schedules.schedule import Schedule, Step

NODES = 3
"""Number of nodes in a scenario."""
FIRST_SEED = 9001
SEEDS_PER_CORE = 3
"""Number of seeds under which a scenario runs with the same core in the principal part."""

Scenario = Callable[[int], tuple[Step, ...]]
"""Returns the steps of a scenario in which the core at the given index has the principal part."""

_NODES = tuple(f"node-{index + 1}" for index in range(NODES))


def _other_cores(core_index: int) -> tuple[str, ...]:
    return tuple(core for core in CORES if core != CORES[core_index])


def _change(at_s: float, core: str) -> Step:
    return Step(at_s, "change", (core,))


def cut_holder_and_restarted_grantors(core_index: int) -> tuple[Step, ...]:
    """A core, which may lead the role, is partitioned and the other cores restart at once."""
    one = CORES[core_index]
    return (
        Step(3.0, "cut", (one,), CORES, 9.0),
        Step(3.05, "kill", _other_cores(core_index), (), 0.1),
    )


def cut_node_and_restarted_cores(core_index: int) -> tuple[Step, ...]:
    """A node is partitioned, every core restarts, and a change is sent immediately afterwards."""
    return (
        _change(0.5, CORES[core_index]),
        Step(2.0, "cut", (_NODES[core_index],), (), 4.0),
        Step(2.02, "kill", CORES, (), 0.03),
        _change(2.1, CORES[core_index]),
        _change(2.4, CORES[(core_index + 1) % 3]),
    )


def cut_node_and_restarted_majority(core_index: int) -> tuple[Step, ...]:
    """A node is partitioned, two cores restart, and the third gets a change immediately."""
    return (
        _change(0.5, CORES[core_index]),
        Step(2.0, "cut", (_NODES[core_index],), (), 4.0),
        Step(2.01, "kill", _other_cores(core_index), (), 0.02),
        _change(2.05, CORES[core_index]),
        _change(2.3, CORES[core_index]),
    )


def stale_node_and_restarted_cores(core_index: int) -> tuple[Step, ...]:
    """A node misses a change, and every core restarts when the partition of the node ends."""
    return (
        _change(0.5, CORES[core_index]),
        Step(2.0, "cut", (_NODES[core_index],), (), 4.0),
        _change(2.1, CORES[core_index]),
        Step(5.85, "kill", CORES, (), 0.05),
    )


def disk_lost_after_acknowledgement(core_index: int) -> tuple[Step, ...]:
    """A core misses a change, and another that stores it loses its disk after acknowledging it."""
    one, (other, third) = CORES[core_index], _other_cores(core_index)
    return (
        _change(0.5, one),
        Step(1.0, "cut", (third,), (), 3.0),
        _change(3.0, other),
        Step(4.2, "lose-disk", (other,), (), 0.2),
        Step(4.25, "cut", (one,), (), 3.0),
        _change(4.9, third),
        _change(6.0, other),
    )


def change_below_a_majority(core_index: int) -> tuple[Step, ...]:
    """A partitioned owner stores changes on its own disk only, while the other cores continue."""
    one = CORES[core_index]
    return (
        _change(0.5, one),
        Step(1.999, "cut", (one,), CORES, 4.0),
        _change(2.0, one),
        _change(2.3, one),
        _change(3.2, _other_cores(core_index)[0]),
        _change(4.5, _other_cores(core_index)[1]),
    )


def second_loss_after_repair(core_index: int) -> tuple[Step, ...]:
    """Each core loses its disk, the next one as soon as the previous replica has been replaced."""
    one, (other, third) = CORES[core_index], _other_cores(core_index)
    return (
        _change(0.5, one),
        Step(1.0, "lose-disk", (one,), (), 0.5),
        _change(2.0, other),
        Step(14.0, "lose-disk", (other,), (), 0.5),
        _change(15.0, third),
        Step(28.0, "lose-disk", (third,), (), 0.5),
        _change(29.0, one),
    )


def seeds_replaced_one_by_one(core_index: int) -> tuple[Step, ...]:
    """Every initial core is replaced, one by one, by an empty one at a new address."""
    replacements = tuple(
        Step(1.0 + 16.0 * index, "replace", ("core:0",), (), 1.0) for index in (0, 1, 2)
    )
    changes = tuple(
        _change(0.5 + 8.0 * index, CORES[(core_index + index) % 3]) for index in range(6)
    )
    return (*replacements, *changes)


def twenty_silent_seconds(core_index: int) -> tuple[Step, ...]:
    """A core freezes for 20 s while changes go through another, then gets a change itself."""
    return (
        Step(1.0, "freeze", (CORES[core_index],), (), 20.0),
        *(_change(at_s, _other_cores(core_index)[0]) for at_s in (2.0, 5.0, 10.0, 15.0)),
        Step(21.01, "change-on-base", (CORES[core_index],)),
    )


def cut_in_two(core_index: int) -> tuple[Step, ...]:
    """A core and a node are partitioned from the rest; both sides get changes."""
    inside = (CORES[core_index], _NODES[core_index])
    return (
        Step(1.0, "cut", inside, (), 6.0),
        *(_change(at_s, CORES[index]) for index, at_s in enumerate((1.5, 1.6, 1.7))),
        Step(3.0, "race", (CORES[core_index],)),
    )


def power_lost_everywhere(core_index: int) -> tuple[Step, ...]:
    """Every machine loses power right after changes are acknowledged, and again after a resend."""
    return (
        _change(0.5, CORES[core_index]),
        Step(1.0, "burst", (CORES[core_index],)),
        Step(1.1, "lose-power", (*CORES, *_NODES), (), 0.3),
        _change(2.5, CORES[(core_index + 1) % 3]),
        Step(5.5, "resend", amount=0.1),
        Step(6.0, "lose-power", (*CORES, *_NODES), (), 0.1),
    )


def orders_resent_to_new_owners(core_index: int) -> tuple[Step, ...]:
    """Cores are killed one after the other, while they get racing changes and resent orders."""
    kills = tuple(
        Step(1.5 + 3.0 * index, "kill", (CORES[(core_index + index) % 3],), (), 2.5)
        for index in range(3)
    )
    resends = tuple(Step(3.0 + index, "resend", amount=0.07 * index) for index in range(7))
    return (
        Step(0.5, "burst", (CORES[core_index],)),
        Step(1.0, "race", (CORES[core_index],)),
        *kills,
        *resends,
        Step(10.5, "race", (CORES[core_index],)),
    )


def owner_returns(core_index: int) -> tuple[Step, ...]:
    """An owner is partitioned while changes continue, returns, and becomes the owner again."""
    one, (other, third) = CORES[core_index], _other_cores(core_index)
    return (
        _change(0.5, one),
        Step(1.0, "cut", (one,), (), 4.0),
        _change(2.5, other),
        _change(4.0, third),
        Step(6.0, "freeze", (other,), (), 3.0),
        _change(8.0, one),
        Step(9.5, "freeze", (third,), (), 3.0),
        _change(11.5, one),
    )


def every_disk_lost(core_index: int) -> tuple[Step, ...]:
    """Every core loses its disk; the acknowledged changes are recovered from the nodes."""
    return (
        _change(0.5, CORES[core_index]),
        _change(1.0, CORES[core_index]),
        Step(3.0, "lose-every-disk", for_s=0.5),
        _change(16.0, CORES[core_index]),
        _change(18.0, CORES[(core_index + 1) % 3]),
    )


def most_nodes_cut(core_index: int) -> tuple[Step, ...]:
    """Most nodes are partitioned together from all other members, while changes continue."""
    return (
        _change(0.5, CORES[core_index]),
        Step(2.0, "cut", _NODES[:2], (), 8.0),
        _change(5.0, CORES[core_index]),
        _change(6.0, _other_cores(core_index)[0]),
    )


def most_nodes_frozen(core_index: int) -> tuple[Step, ...]:
    """Most nodes are frozen together, while changes continue, and wake together."""
    return (
        _change(0.5, CORES[core_index]),
        Step(2.0, "freeze", _NODES[1:], (), 8.0),
        _change(5.0, CORES[core_index]),
        _change(9.9, _other_cores(core_index)[0]),
    )


def most_nodes_lost(core_index: int) -> tuple[Step, ...]:
    """Most nodes are lost for good, and every core is killed before they are replaced."""
    return (
        _change(0.5, CORES[core_index]),
        Step(1.0, "replace-node", _NODES[:2], (), 4.0),
        Step(2.0, "kill", CORES, (), 0.3),
        _change(6.0, CORES[core_index]),
    )


def every_node_lost(core_index: int) -> tuple[Step, ...]:
    """Every node is lost for good, and none is replaced before changes continue."""
    return (
        _change(0.5, CORES[core_index]),
        Step(1.0, "replace-node", _NODES, (), 9.0),
        _change(1.1, CORES[core_index]),
        _change(4.0, _other_cores(core_index)[0]),
    )


SCENARIOS: dict[str, Scenario] = {
    "cut-holder-and-restarted-grantors": cut_holder_and_restarted_grantors,
    "cut-node-and-restarted-cores": cut_node_and_restarted_cores,
    "cut-node-and-restarted-majority": cut_node_and_restarted_majority,
    "stale-node-and-restarted-cores": stale_node_and_restarted_cores,
    "disk-lost-after-acknowledgement": disk_lost_after_acknowledgement,
    "change-below-a-majority": change_below_a_majority,
    "second-loss-after-repair": second_loss_after_repair,
    "seeds-replaced-one-by-one": seeds_replaced_one_by_one,
    "twenty-silent-seconds": twenty_silent_seconds,
    "cut-in-two": cut_in_two,
    "owner-returns": owner_returns,
    "every-disk-lost": every_disk_lost,
    "power-lost-everywhere": power_lost_everywhere,
    "orders-resent-to-new-owners": orders_resent_to_new_owners,
    "most-nodes-cut": most_nodes_cut,
    "most-nodes-frozen": most_nodes_frozen,
}
NODE_LOSS_SCENARIOS: dict[str, Scenario] = {
    "most-nodes-lost": most_nodes_lost,
    "every-node-lost": every_node_lost,
}
"""Scenarios for clusters whose nodes are ready with a lease only (`ReadinessRule.LEASE`)."""
LEASE_SCENARIOS: dict[str, Scenario] = SCENARIOS | NODE_LOSS_SCENARIOS


def directed_schedules(name: str) -> list[Schedule]:
    """Return the schedules of a scenario: each core in the principal part, under several seeds.

    The seed decides which core owns which register.
    """
    schedules = []
    for index in range(len(CORES) * SEEDS_PER_CORE):
        core_index = index % len(CORES)
        steps = LEASE_SCENARIOS[name](core_index)
        length_s = max(step.at_s + step.for_s for step in steps) + 0.5
        ordered = tuple(sorted(steps, key=lambda step: step.at_s))
        schedules.append(Schedule(FIRST_SEED + index, NODES, length_s, False, ordered))
    return schedules
