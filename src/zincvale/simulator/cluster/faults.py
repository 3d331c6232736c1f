"""Faults that a schedule can inflict on a cluster."""

from __future__ import annotations

import errno
from collections.abc import Callable

from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.network import Link, LinkConditions, both_ways, one_way
from zincvale.simulator.cluster.operations import members_of
from zincvale.simulator.cluster.operators import Operators
from zincvale.simulator.schedules.schedule import Step

Fault = Callable[[Operators, Cluster, Step], None]

STORM_JITTER_S = 0.15
SLOW_DELAY_S = 0.25


def _block_for(cluster: Cluster, links: frozenset[Link], step: Step) -> None:
    simulation = cluster.simulation
    simulation.network.block(links)
    simulation.schedule(simulation.now + step.for_s, simulation.network.unblock, links)


def partition(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Partition `members` from `others` (none named: all other members), both ways."""
    inside = members_of(cluster, step.members)
    others = members_of(cluster, step.others) or cluster.all_members()
    outside = [member for member in others if member not in inside]
    _block_for(cluster, both_ways(inside, outside), step)


def partition_one_way(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Lose everything that `members` send to `others` (none named: all other members)."""
    inside = members_of(cluster, step.members)
    others = members_of(cluster, step.others) or cluster.all_members()
    outside = [member for member in others if member not in inside]
    _block_for(cluster, one_way(inside, outside), step)


def storm(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Lose, repeat and reorder messages everywhere; `amount` is the probability."""
    conditions = LinkConditions(step.amount, step.amount, jitter_s=STORM_JITTER_S)
    _degrade_for(cluster, None, conditions, step)


def slow(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Delay everything that `members` send."""
    links = one_way(members_of(cluster, step.members), cluster.all_members())
    _degrade_for(
        cluster, links, LinkConditions(delay_s=SLOW_DELAY_S, jitter_s=STORM_JITTER_S), step
    )


def _degrade_for(
    cluster: Cluster, links: frozenset[Link] | None, conditions: LinkConditions, step: Step
) -> None:
    simulation = cluster.simulation
    token = simulation.network.set_conditions(links, conditions)
    simulation.schedule(simulation.now + step.for_s, simulation.network.clear_conditions, token)


def freeze(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Stop processes and let them run again."""
    simulation = cluster.simulation
    for member in members_of(cluster, step.members):
        process = cluster.running(member)
        if process is not None:
            simulation.freeze(process)
            simulation.schedule(simulation.now + step.for_s, simulation.resume, process)


def kill(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Kill processes and start them again."""
    for member in members_of(cluster, step.members):
        cluster.kill(member)
        _start_later(cluster, member, step)


def lose_power(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Cut the power of machines and start them again."""
    for member in members_of(cluster, step.members):
        cluster.lose_power(member)
        _start_later(cluster, member, step)


def lose_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Kill cores; they return with empty disks."""
    for member in members_of(cluster, step.members):
        cluster.lose_disk(member)
        _start_later(cluster, member, step)


def lose_disk_on_acknowledgement(operators: Operators, _cluster: Cluster, _step: Step) -> None:
    """The next core that acknowledges a change loses its disk in the same instant."""
    operators.disks_lost_on_acknowledgement += 1


def replace(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """A core is removed for good; an empty one starts at a new address."""
    for member in members_of(cluster, step.members):
        _start_later(cluster, cluster.replace_core(member), step)


def lose_every_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Every core loses its disk at once; they start anew in recovery mode."""
    simulation = cluster.simulation
    for member in cluster.cores:
        cluster.lose_disk(member)
        simulation.schedule(simulation.now + step.for_s, cluster.start, member, True)


def tear(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Cut the power of a core and damage a file that it wrote last."""
    for member in members_of(cluster, step.members):
        cluster.lose_power(member)
        cluster.machine(member).disk.tear_newest()
        _start_later(cluster, member, step)


def fill_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """A core's disk is full for a while."""
    _fail_disk(cluster, step, errno.ENOSPC)


def break_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """A core's disk fails with I/O errors for a while."""
    _fail_disk(cluster, step, errno.EIO)


def _fail_disk(cluster: Cluster, step: Step, failure: int) -> None:
    simulation = cluster.simulation
    for member in members_of(cluster, step.members):
        disk = cluster.machine(member).disk
        disk.failure = failure
        simulation.schedule(simulation.now + step.for_s, setattr, disk, "failure", 0)


def _start_later(cluster: Cluster, member: str, step: Step) -> None:
    simulation = cluster.simulation
    simulation.schedule(simulation.now + step.for_s, _start_if_member, cluster, member)


def _start_if_member(cluster: Cluster, member: str) -> None:
    if member in cluster.all_members():
        cluster.start(member)


FAULTS: dict[str, Fault] = {
    "cut": partition,
    "cut-one-way": partition_one_way,
    "storm": storm,
    "slow": slow,
    "freeze": freeze,
    "kill": kill,
    "lose-power": lose_power,
    "lose-disk": lose_disk,
    "lose-disk-on-acknowledgement": lose_disk_on_acknowledgement,
    "replace": replace,
    "lose-every-disk": lose_every_disk,
    "tear": tear,
    "fill-disk": fill_disk,
    "break-disk": break_disk,
}
