"""The scenario of a what-if run, and the machines of its deployment."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs

from zincvale.controlplane.directory.backend_status import PlatformServer
from zincvale.model.identifiers import (
    Address,
    MemberId,
    PoolName,
    ServerId,
    StoreName,
    ZoneName,
)
from zincvale.model.outcomes import Outcome
from zincvale.model.resources import Document, PoolKind
from zincvale.simulator.what_if.claims import ClaimTable
from zincvale.simulator.what_if.clock import VirtualClock
from zincvale.simulator.what_if.fault_plan import FaultPlan
from zincvale.simulator.what_if.lookup import VirtualLookup
from zincvale.simulator.what_if.node import VirtualNode
from zincvale.simulator.what_if.request import VirtualRequest
from zincvale.simulator.what_if.servers import VirtualLanguageModel, VirtualServer
from zincvale.simulator.what_if.stores import VirtualStore
from zincvale.simulator.what_if.timings import Timings
from zincvale.standins.assemble import DEFAULT_MAX_CONCURRENT_LOADS
from zincvale.standins.deployment import BackEndServer, Deployment
from zincvale.standins.load.spec import LoadSpec


@attrs.frozen
class WhatIfScenario:
    """The inputs of one run.

    Attributes
    ----------
    change : resources that are merged `apply_at_s` after the start of the load; empty for the run
        without the change.
    """

    deployment: Deployment
    documents: list[Document]
    load: LoadSpec
    faults: FaultPlan
    seconds: float
    seed: int
    rate_factor: float = 1.0
    change: tuple[dict[str, Any], ...] = ()
    apply_at_s: float = 0.0
    timings: Timings = Timings()


def make_stores(scenario: WhatIfScenario, clock: VirtualClock) -> dict[StoreName, VirtualStore]:
    """Return the weight stores, with their limits of concurrent loads from the documents."""
    limits = {
        document.name: int(
            (document.spec or {}).get("max_concurrent_loads", DEFAULT_MAX_CONCURRENT_LOADS)
        )
        for document in scenario.documents
        if document.kind == "Store"
    }
    return {
        StoreName(store.name): VirtualStore(
            clock, store.bytes_per_second, limits.get(store.name, DEFAULT_MAX_CONCURRENT_LOADS)
        )
        for store in scenario.deployment.stores
    }


def make_servers(scenario: WhatIfScenario, clock: VirtualClock) -> dict[ServerId, VirtualServer]:
    """Return the back ends, in the state after a cold start."""
    return {
        ServerId(server.name): _make_server(scenario, server, clock)
        for server in scenario.deployment.servers
    }


def _make_server(
    scenario: WhatIfScenario, server: BackEndServer, clock: VirtualClock
) -> VirtualServer:
    deployment = scenario.deployment
    platform_row = PlatformServer(
        ServerId(server.name),
        Address(deployment.server_address(server)),
        PoolName(server.pool),
        ZoneName(server.zone),
        server.kind,
    )
    if server.kind is PoolKind.LOOKUP:
        return VirtualLookup(platform_row, clock, profile=deployment.lookup_profiles[server.pool])
    return VirtualLanguageModel(
        platform_row,
        clock,
        profile=deployment.language_model_profiles[server.pool],
        pull_overhead_s=scenario.timings.pull_overhead_s,
    )


def make_nodes(
    scenario: WhatIfScenario,
    clock: VirtualClock,
    servers: dict[ServerId, VirtualServer],
    claims: ClaimTable,
) -> dict[str, VirtualNode]:
    """Return the nodes, without any intent or directory."""
    return {
        machine.name: VirtualNode(
            MemberId(machine.name),
            ZoneName(machine.zone),
            clock,
            scenario.timings,
            servers,
            claims,
            Random(f"{scenario.seed}/{machine.name}"),
            _ignore_end,
        )
        for machine in scenario.deployment.nodes()
    }


def _ignore_end(request: VirtualRequest, outcome: Outcome, reason: str) -> None:
    """Ignore the end of a request: its outcome is recorded by the caller."""
