"""Waits until the processes of a fleet serve, and applies the first intent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
from tornado import gen

from zincvale.fleet.clients import RigClient
from zincvale.fleet.machines import Fleet
from zincvale.fleet.operators import Operators
from zincvale.fleet.processes import UnexpectedEnd
from zincvale.fleet.rig_journal import boot_time_s
from zincvale.model.errors import StartupError
from zincvale.model.resources import Document

START_WITHIN_S = 40.0
POLL_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 1.0
FIRST_INTENT_WITHIN_S = 30.0
FIRST_INTENT_REJECTED_STATUSES = frozenset({400, 409, 413, 422})
"""Statuses that end the attempts to apply the first intent, as another would fail too.

Unlike `REJECTED_STATUSES` they do not include 404, after which the rig tries again.
"""


@attrs.define
class Startup:
    """Prepares a started fleet for callers."""

    fleet: Fleet
    client: RigClient

    async def wait_for_relays(self, controls: list[str]) -> None:
        """Wait until every relay listens."""
        for control in controls:
            await self._wait(f"relay {control}", control, "/ready")

    async def wait_for_stand_ins(self) -> None:
        """Wait until back ends and platform respond."""
        deployment = self.fleet.deployment
        for server in deployment.servers:
            await self._wait(server.name, deployment.server_address(server), "/status")
        await self._wait("platform", deployment.platform_address(), "/v1/servers")

    async def wait_for_cores(self) -> None:
        """Wait until every core is healthy."""
        for core in self.fleet.deployment.cores():
            await self._wait(core.name, self.fleet.deployment.api_address(core), "/healthz")

    async def wait_for_nodes(self) -> None:
        """Wait until every node is ready."""
        for node in self.fleet.deployment.nodes():
            await self._wait(node.name, self.fleet.deployment.api_address(node), "/ready")

    async def apply_first_intent(self, operators: Operators, documents: list[Document]) -> None:
        """Apply the deployment's resources; raises `StartupError` when they are not accepted."""
        resources = [document.to_dict() for document in documents]
        change = operators.new_change(resources)
        deadline = boot_time_s() + FIRST_INTENT_WITHIN_S
        while boot_time_s() < deadline:
            response = await operators.apply(change, attempts=1)
            if response.ok:
                return
            if response.status in FIRST_INTENT_REJECTED_STATUSES:
                break
            await gen.sleep(POLL_INTERVAL_S)
        raise StartupError(
            f"the first intent was not accepted: {response.status} "
            f"{response.body or response.problem}",
            "see the cores' logs in the run folder (--keep-folder)",
        )

    async def _wait(self, name: str, address: str, path: str) -> None:
        async def is_responding() -> bool:
            return (await self.client.get(address, path, CALL_TIMEOUT_S)).ok

        await wait_until(is_responding, name, self.fleet.table.unexpected_ends)


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    name: str,
    unexpected_ends: Callable[[], list[UnexpectedEnd]],
) -> None:
    """Poll until `condition` holds.

    Raises
    ------
    StartupError
        The condition did not hold in time, or a process ended with an error; the message then
        contains the last part of its output.
    """
    deadline = boot_time_s() + START_WITHIN_S
    while not await condition():
        ended = unexpected_ends()
        if ended:
            raise StartupError(
                f"{ended[0].name} ended with code {ended[0].exit_code}: {ended[0].log_tail}",
                "correct the problem in its output, or pass another --network",
            )
        if boot_time_s() > deadline:
            raise StartupError(
                f"{name} did not serve within {START_WITHIN_S:.0f} s",
                "see its log in the run folder (--keep-folder)",
            )
        await gen.sleep(POLL_INTERVAL_S)
