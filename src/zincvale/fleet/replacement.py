"""Replaces a machine or server by an empty one at a new address."""

from __future__ import annotations

from http import HTTPStatus

from tornado import gen

from zincvale.fleet.fault_context import FaultContext
from zincvale.fleet.fault_plan import Step
from zincvale.standins import assemble
from zincvale.standins.deployment import Machine

RESPONSE_TIMEOUT_S = 5.0
ACCEPTED_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.ACCEPTED})
"""Statuses of a change that is done, or accepted for completion later (RFC 9110, 15.3.3)."""
ATTEMPTS = 20
PAUSE_S = 0.5


async def replace_process(context: FaultContext, step: Step, target: str) -> None:
    """Kill `target` for good and start its empty replacement in the same zone."""
    fleet = context.fleet
    number = next(context.replacement_numbers)
    context.journal_begin(step, target, replacement=f"{target}-r{number}")
    fleet.table.kill(target)
    context.network.set_down(target, is_down=True)
    await context.update_relays()
    if fleet.server(target) is not None:
        await _replace_server(context, target, number)
    elif fleet.is_core(target):
        await _replace_core(context, step, target, number)
    else:
        await _replace_node(context, target, number)


async def _replace_server(context: FaultContext, target: str, number: int) -> None:
    server = context.fleet.add_server_replacement(target, number)
    context.fleet.start_server(server)
    row = assemble.listed_server(context.fleet.deployment, server).to_dict()
    row.pop("server")
    platform = context.fleet.deployment.platform_address()
    await context.client.send("DELETE", platform, f"/admin/servers/{target}")
    await context.client.send("PUT", platform, f"/admin/servers/{server.name}", row)


def _start_replacement(context: FaultContext, target: str, number: int) -> Machine:
    machine = context.fleet.add_replacement(target, number)
    context.fleet.start_daemon(machine)
    context.journal.write(
        "machine-added",
        member=machine.name,
        replaces=target,
        host=context.fleet.deployment.ip(machine.host),
        zone=machine.zone,
    )
    return machine


async def _replace_node(context: FaultContext, target: str, number: int) -> None:
    machine = _start_replacement(context, target, number)
    address = context.fleet.deployment.api_address(machine)
    platform = context.fleet.deployment.platform_address()
    await context.client.send("DELETE", platform, f"/admin/nodes/{target}")
    await context.client.send("PUT", platform, f"/admin/nodes/{machine.name}", {"address": address})


async def _replace_core(context: FaultContext, step: Step, target: str, number: int) -> None:
    machine = _start_replacement(context, target, number)
    context.operators.remove_core(target)
    accepted = await _declare_replacement(context, target, machine)
    if accepted:
        address = context.fleet.deployment.api_address(machine)
        context.operators.add_core(machine.name, address)
        context.journal_end(step, target)
    context.journal.write("replacement", target=target, replacement=machine.name, accepted=accepted)


async def _declare_replacement(context: FaultContext, old: str, machine: Machine) -> bool:
    """Request the replacement of a core from the other cores in turn, until one accepts it."""
    cores = [core for core in context.fleet.deployment.cores() if core.name != machine.name]
    body = {"remove": old, "add": machine.name}
    for attempt in range(ATTEMPTS):
        core = cores[attempt % len(cores)]
        address = context.fleet.deployment.api_address(core)
        response = await context.client.post(address, "/v1/replicas", body, RESPONSE_TIMEOUT_S)
        context.journal.write(
            "replace-answer", core=core.name, status=response.status, body=response.body
        )
        if response.status in ACCEPTED_STATUSES:
            return True
        await gen.sleep(PAUSE_S)
    return False
