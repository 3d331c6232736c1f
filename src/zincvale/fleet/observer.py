"""Polls the running fleet as operators, callers and the platform do.

The responses go into the rig's journal, for the checks of invariants 6, 9 and 10.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
from tornado import gen

from zincvale.fleet.clients import NO_RESPONSE, RigClient, RigResponse
from zincvale.fleet.invariants.markers import marker_path
from zincvale.fleet.machines import Fleet
from zincvale.fleet.operators import Operators
from zincvale.fleet.rig_journal import RigJournal, boot_time_s
from zincvale.standins.deployment import Machine

READ_INTERVAL_S = 1.0
READY_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 1.0
READ_TIMEOUT_S = 2.0
SHORT_TIMEOUT_S = 0.5


@attrs.define
class Observer:
    """Polls every daemon until `stop` is called.

    Attributes
    ----------
    ready_nodes : the nodes that were ready when last polled.
    """

    fleet: Fleet
    operators: Operators
    client: RigClient
    journal: RigJournal
    ready_nodes: set[str] = attrs.field(factory=set)
    _stopped: bool = False

    def start(self) -> list[Awaitable[None]]:
        """Return the polling loops, which end soon after `stop` is called."""
        return [
            self._repeat(self._poll_cores, READ_INTERVAL_S),
            self._repeat(self._poll_nodes, READY_INTERVAL_S),
            self._repeat(self._probe_nodes, PROBE_INTERVAL_S),
        ]

    def stop(self) -> None:
        """End the polling loops."""
        self._stopped = True

    async def read_complete_intents(self) -> None:
        """Read the complete intent from every core, for the check of invariant 9."""
        await gen.multi(
            [self._read_intent(core, is_complete=True) for core in self.fleet.deployment.cores()]
        )

    async def _repeat(self, poll: Callable[[], Awaitable[None]], interval_s: float) -> None:
        while not self._stopped:
            pause = gen.sleep(interval_s)
            await poll()
            await pause

    async def _poll_cores(self) -> None:
        await gen.multi(
            [self._read_intent(core, is_complete=False) for core in self.fleet.deployment.cores()]
        )

    async def _poll_nodes(self) -> None:
        nodes = self.fleet.deployment.nodes()
        await gen.multi([self._poll_node(node) for node in nodes])
        self.ready_nodes &= {node.name for node in nodes}

    async def _probe_nodes(self) -> None:
        marker = self.operators.newest_marker
        if marker:
            nodes = self.fleet.deployment.nodes()
            await gen.multi([self._probe(node, marker) for node in nodes])

    async def _read_intent(self, core: Machine, *, is_complete: bool) -> None:
        asked_t = boot_time_s()
        address = self.fleet.deployment.api_address(core)
        response = await self.client.get(address, "/v1/intent", READ_TIMEOUT_S)
        self.journal.write(
            "intent-read",
            member=core.name,
            asked_t=asked_t,
            status=response.status,
            version=response.field("version"),
            resources=response.field("resources") if is_complete else None,
        )

    async def _poll_node(self, node: Machine) -> None:
        asked_t = boot_time_s()
        response = await self._ready(node)
        if response.ok:
            self.ready_nodes.add(node.name)
        else:
            self.ready_nodes.discard(node.name)
        self.journal.write("ready", member=node.name, asked_t=asked_t, status=response.status)

    async def _probe(self, node: Machine, marker: int) -> None:
        """Request the marker's path with an empty body: 422 if the marker is in force, else 404."""
        before = await self._ready(node)
        if not before.ok:
            return
        asked_t = boot_time_s()
        address = self.fleet.deployment.api_address(node)
        response = await self.client.post(address, marker_path(marker), {}, SHORT_TIMEOUT_S)
        answered_t = boot_time_s()
        after = await self._ready(node) if response.status != NO_RESPONSE else before
        self.journal.write(
            "probe",
            member=node.name,
            asked_t=asked_t,
            answered_t=answered_t,
            marker=marker,
            status=response.status,
            reason=response.field("reason") or "",
            ready=after.ok,
        )

    async def _ready(self, node: Machine) -> RigResponse:
        address = self.fleet.deployment.api_address(node)
        return await self.client.get(address, "/ready", SHORT_TIMEOUT_S)
