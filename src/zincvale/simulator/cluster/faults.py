"""Faults that a schedule can inject into a cluster."""

from __future__ import annotations

import errno
from collections.abc import Callable

import attrs

from zincvale.model.machine import ShutdownRequested
from zincvale.simulator.cluster.cluster import Cluster
from zincvale.simulator.cluster.network import Link, LinkConditions, one_way_links, two_way_links
from zincvale.simulator.cluster.operations import resolve_members
from zincvale.simulator.cluster.operators import Operators
from zincvale.simulator.cluster.process import Process
from zincvale.simulator.schedules.schedule import Step

Fault = Callable[[Operators, Cluster, Step], None]

DEGRADED_JITTER_S = 0.15
"""Jitter of a link whose conditions are degraded."""
STOP_S = 0.1
"""Time from an orderly stop's last word to the end of the process."""
SLOW_DELAY_S = 0.25
"""Base delay of the messages that a slowed member sends."""


def _block_temporarily(cluster: Cluster, links: frozenset[Link], step: Step) -> None:
    simulation = cluster.simulation
    simulation.network.block(links)
    simulation.schedule(simulation.now + step.for_s, simulation.network.unblock, links)


def partition(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Partition `members` from `others` (by default all other members) in both directions."""
    inside = resolve_members(cluster, step.members)
    others = resolve_members(cluster, step.others) or cluster.all_members()
    outside = [member for member in others if member not in inside]
    _block_temporarily(cluster, two_way_links(inside, outside), step)


def partition_one_way(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Drop every message from `members` to `others` (by default all other members)."""
    inside = resolve_members(cluster, step.members)
    others = resolve_members(cluster, step.others) or cluster.all_members()
    outside = [member for member in others if member not in inside]
    _block_temporarily(cluster, one_way_links(inside, outside), step)


def degrade_all_links(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Lose, duplicate and reorder messages on all links; `amount` is the probability of each loss
    and each duplication."""
    conditions = LinkConditions(step.amount, step.amount, jitter_s=DEGRADED_JITTER_S)
    _degrade_temporarily(cluster, None, conditions, step)


def delay_messages(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Delay every message that `members` send."""
    links = one_way_links(resolve_members(cluster, step.members), cluster.all_members())
    _degrade_temporarily(
        cluster, links, LinkConditions(delay_s=SLOW_DELAY_S, jitter_s=DEGRADED_JITTER_S), step
    )


def _degrade_temporarily(
    cluster: Cluster, links: frozenset[Link] | None, conditions: LinkConditions, step: Step
) -> None:
    simulation = cluster.simulation
    token = simulation.network.set_conditions(links, conditions)
    simulation.schedule(simulation.now + step.for_s, simulation.network.clear_conditions, token)


def freeze(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Freeze processes and resume them after `for_s`."""
    simulation = cluster.simulation
    for member in resolve_members(cluster, step.members):
        process = cluster.running_process(member)
        if process is not None:
            simulation.freeze(process)
            simulation.schedule(simulation.now + step.for_s, simulation.resume, process)


def kill(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Kill processes and restart them after `for_s`."""
    for member in resolve_members(cluster, step.members):
        cluster.kill(member)
        _schedule_start(cluster, member, step)


def stop(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Stop processes in an orderly way, end them soon after and restart them after `for_s`."""
    simulation = cluster.simulation
    for member in resolve_members(cluster, step.members):
        process = cluster.running_process(member)
        if process is not None:
            simulation.feed(process, ShutdownRequested())
            simulation.schedule(simulation.now + STOP_S, _kill_if_same, cluster, process)
            _schedule_start(cluster, member, attrs.evolve(step, for_s=STOP_S + step.for_s))


def lose_power(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Cut the power of machines and restart their daemons after `for_s`."""
    for member in resolve_members(cluster, step.members):
        cluster.lose_power(member)
        _schedule_start(cluster, member, step)


def lose_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Kill cores and restart them with empty disks after `for_s`."""
    for member in resolve_members(cluster, step.members):
        cluster.lose_disk(member)
        _schedule_start(cluster, member, step)


def lose_disk_on_acknowledgement(operators: Operators, _cluster: Cluster, _step: Step) -> None:
    """Make the next core that acknowledges a change lose its disk at the same instant."""
    operators.disks_lost_on_acknowledgement += 1


def replace_core(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Remove cores permanently and start empty ones at new addresses after `for_s`."""
    for member in resolve_members(cluster, step.members):
        _schedule_start(cluster, cluster.replace_core(member), step)


def replace_node(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Remove nodes permanently and start new ones at new addresses after `for_s`."""
    for member in resolve_members(cluster, step.members):
        if member in cluster.nodes:
            _schedule_start(cluster, cluster.replace_node(member), step)


def lose_every_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Make every core lose its disk at once; all restart in recovery mode after `for_s`."""
    simulation = cluster.simulation
    for member in cluster.cores:
        cluster.lose_disk(member)
        simulation.schedule(simulation.now + step.for_s, cluster.start, member, True)


def tear_newest_file(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Cut the power of cores and truncate the newest version file of a key on each disk."""
    for member in resolve_members(cluster, step.members):
        cluster.lose_power(member)
        cluster.get_or_create_machine(member).disk.tear_newest_file()
        _schedule_start(cluster, member, step)


def fill_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Make the disks of cores fail with `ENOSPC` (disk full) for `for_s`."""
    _fail_disk_operations(cluster, step, errno.ENOSPC)


def break_disk(_operators: Operators, cluster: Cluster, step: Step) -> None:
    """Make the disks of cores fail with `EIO` (I/O error) for `for_s`."""
    _fail_disk_operations(cluster, step, errno.EIO)


def _fail_disk_operations(cluster: Cluster, step: Step, failure: int) -> None:
    simulation = cluster.simulation
    for member in resolve_members(cluster, step.members):
        disk = cluster.get_or_create_machine(member).disk
        disk.failure = failure
        simulation.schedule(simulation.now + step.for_s, setattr, disk, "failure", 0)


def _kill_if_same(cluster: Cluster, process: Process) -> None:
    if cluster.running_process(process.member) is process:
        cluster.kill(process.member)


def _schedule_start(cluster: Cluster, member: str, step: Step) -> None:
    simulation = cluster.simulation
    simulation.schedule(simulation.now + step.for_s, _start_if_still_member, cluster, member)


def _start_if_still_member(cluster: Cluster, member: str) -> None:
    if member in cluster.all_members():
        cluster.start(member)


FAULTS: dict[str, Fault] = {
    "cut": partition,
    "cut-one-way": partition_one_way,
    "storm": degrade_all_links,
    "slow": delay_messages,
    "freeze": freeze,
    "kill": kill,
    "stop": stop,
    "lose-power": lose_power,
    "lose-disk": lose_disk,
    "lose-disk-on-acknowledgement": lose_disk_on_acknowledgement,
    "replace": replace_core,
    "replace-node": replace_node,
    "lose-every-disk": lose_every_disk,
    "tear": tear_newest_file,
    "fill-disk": fill_disk,
    "break-disk": break_disk,
}
