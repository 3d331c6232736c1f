"""Plans which links go through a relay, and the address of each relay; without I/O.

Only links that a fault can affect go through a relay: those between the groups of a link fault, in
both directions. All others are direct, so that the rig adds no overhead to them.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from zincvale.fleet.fault_plan import Step
from zincvale.fleet.fault_targets import PLATFORM
from zincvale.fleet.relay_links import Link
from zincvale.standins.deployment import Deployment, Machine

RELAY_HOST_SUFFIX = "250.1"
CONTROL_HOST_SUFFIX = "250.2"
FIRST_RELAY_PORT = 10_000
FIRST_CONTROL_PORT = 9_900
LINKS_PER_PROCESS = 200


@attrs.frozen
class PlannedLink:
    """A relayed link from a daemon to one advertised address of a target."""

    source: str
    target: str
    advertised: str
    link: Link


def needed_pairs(steps: Iterable[Step]) -> set[tuple[str, str]]:
    """Return the (source, target) pairs of names whose links a step affects."""
    pairs: set[tuple[str, str]] = set()
    for step in steps:
        for sources, targets in _ordered_group_pairs(step.groups):
            pairs |= {(a, b) for a in sources for b in targets}
    return pairs


def plan_links(deployment: Deployment, pairs: set[tuple[str, str]]) -> list[PlannedLink]:
    """Return a link for each address that the daemon of a pair dials at its target."""
    planned: list[PlannedLink] = []
    machine_by_name = {machine.name: machine for machine in deployment.machines}
    addresses = addresses_by_name(deployment)
    for source, target in sorted(pairs):
        machine = machine_by_name.get(source)
        if machine is None:
            continue
        for advertised in addresses.get(target, []):
            listen = f"{deployment.ip(RELAY_HOST_SUFFIX)}:{FIRST_RELAY_PORT + len(planned)}"
            link = Link(
                name=f"{source}>{target}@{advertised.rpartition(':')[2]}",
                listen=listen,
                dial=advertised,
                source_host=deployment.ip(machine.host),
            )
            planned.append(PlannedLink(source, target, advertised, link))
    return planned


def address_map(links: Iterable[PlannedLink], source: str) -> dict[str, str]:
    """Return the relay address to dial for each advertised address, for one daemon."""
    return {link.advertised: link.link.listen for link in links if link.source == source}


def addresses_by_name(deployment: Deployment) -> dict[str, list[str]]:
    """Return the addresses that daemons dial, by the name of the process that listens there."""
    addresses: dict[str, list[str]] = {}
    for machine in deployment.machines:
        addresses[machine.name] = _daemon_addresses(deployment, machine)
    for server in deployment.servers:
        addresses[server.name] = [deployment.server_address(server)]
    addresses[PLATFORM] = [deployment.platform_address()]
    return addresses


def control_address(deployment: Deployment, index: int) -> str:
    """Return the control address of relay process number `index`."""
    return f"{deployment.ip(CONTROL_HOST_SUFFIX)}:{FIRST_CONTROL_PORT + index}"


def _daemon_addresses(deployment: Deployment, machine: Machine) -> list[str]:
    return [deployment.peer_address(machine), deployment.api_address(machine)]


def _ordered_group_pairs(
    groups: tuple[tuple[str, ...], ...],
) -> Iterable[tuple[tuple[str, ...], tuple[str, ...]]]:
    for sources in groups:
        for targets in groups:
            if sources is not targets:
                yield sources, targets
