"""One what-if run: the simulated machines of a deployment and their connections."""

from __future__ import annotations

import time
from collections.abc import Callable
from random import Random
from typing import Any

from zincvale.daemons.node_daemon import DEMAND_INTERVAL_S
from zincvale.model.control_tables import Directory, Intent, MemberRow, Members, Role
from zincvale.model.errors import InvalidInputError
from zincvale.model.identifiers import (
    Address,
    ServerId,
)
from zincvale.simulator.what_if.attempt import CallersContext
from zincvale.simulator.what_if.callers import VirtualCallers, make_node_picker
from zincvale.simulator.what_if.claims import ClaimTable
from zincvale.simulator.what_if.clock import VirtualClock
from zincvale.simulator.what_if.control_machine import ControlMachine
from zincvale.simulator.what_if.faults import schedule_faults
from zincvale.simulator.what_if.figures import (
    FigureTable,
    MoveFigures,
    RunFigures,
)
from zincvale.simulator.what_if.intent import IntentStore, resources_of
from zincvale.simulator.what_if.machines import (
    WhatIfScenario,
    make_nodes,
    make_servers,
    make_stores,
)
from zincvale.simulator.what_if.node import VirtualNode
from zincvale.simulator.what_if.servers import VirtualLanguageModel
from zincvale.standins.load.request_plan import Planner
from zincvale.standins.platform.state import NodeReadiness
from zincvale.standins.settings import PolledNode

OPEN_REQUESTS_LIMIT_S = 60.0
"""Longest time for which a run continues after its load, until no request is open."""
FIRST_INTENT_S = 1.0
"""Virtual time at which the deployment's resources are applied: by then the directory knows its
servers."""


class VirtualFleet:
    """Every machine of a deployment in virtual time."""

    def __init__(self, scenario: WhatIfScenario) -> None:
        self.scenario = scenario
        self.clock = VirtualClock()
        self.timings = scenario.timings
        self.figures = FigureTable(scenario.seconds)
        self.refused_changes: list[str] = []
        self.directory = Directory()
        self._random = Random(scenario.seed)
        self.stores = make_stores(scenario, self.clock)
        self.servers = make_servers(scenario, self.clock)
        self.claims = ClaimTable(self.clock)
        self.nodes = make_nodes(scenario, self.clock, self.servers, self.claims)
        self.control = ControlMachine(
            self.clock,
            self.timings,
            self.servers,
            self.stores,
            Random(f"{scenario.seed}/control"),
            self._distribute_directory,
        )
        self.intent = IntentStore(self._distribute_intent)
        self._members_version = 0
        self._readiness = NodeReadiness(
            [PolledNode(name, name) for name in self.nodes],
            scenario.deployment.platform.unready_after_polls,
        )
        self.node_picker = make_node_picker(scenario.seed)

    def run(self) -> RunFigures:
        """Run the scenario to its end and return the figures."""
        wall_started_at = time.perf_counter()
        processor_started_at = time.process_time()
        scenario = self.scenario
        self.control.start()
        self._distribute_members()
        resources = resources_of(scenario.documents)
        self.clock.call_at(FIRST_INTENT_S, lambda: self.apply_resources(resources))
        self._start_reports()
        self._start_platform()
        started_at = self.timings.warm_up_s
        schedule_faults(self, scenario.faults, started_at)
        if scenario.change:
            change = list(scenario.change)
            at = started_at + scenario.apply_at_s
            self.clock.call_at(at, lambda: self._apply_change(change))
        callers = self._start_callers(started_at)
        self.clock.run_until(started_at + scenario.seconds)
        self._run_open_requests(callers)
        wall_s = time.perf_counter() - wall_started_at
        return self._run_figures(wall_s, time.process_time() - processor_started_at)

    # Faults and changes of the intent.

    def set_running(self, name: str, is_up: bool) -> None:
        """Start a node or back end, or kill it."""
        server = self.servers.get(ServerId(name))
        if server is not None:
            if is_up and not server.is_up:
                server.start()
            elif not is_up:
                server.crash()
            return
        node = self.nodes.get(name)
        if node is None:
            return
        if not is_up:
            node.crash()
            self.clock.call_later(self.timings.lease_s, self._distribute_members)
        elif not node.is_up:
            node.start()
            self.clock.call_later(self.timings.node_start_s, lambda: self._join(node))

    def set_slow_factor(self, name: str, factor: float) -> None:
        """Lengthen the steps of a language-model server by a factor; ignore other servers."""
        server = self.servers.get(ServerId(name))
        if isinstance(server, VirtualLanguageModel):
            server.set_slow_factor(factor)

    def merge_spec(self, kind: str, names: tuple[str, ...], spec: dict[str, Any]) -> None:
        """Merge `spec` into the specs of the resources of a kind with these names."""
        self.intent.apply([{"kind": kind, "name": name, "spec": spec} for name in names])

    def apply_resources(self, resources: list[dict[str, Any]]) -> None:
        """Apply the deployment's own resources."""
        self.intent.apply(resources)

    def _apply_change(self, change: list[dict[str, Any]]) -> None:
        try:
            self.intent.apply(change)
        except InvalidInputError as error:
            # The change was valid before the run, so it conflicts with a change made by a fault.
            self.refused_changes.append(str(error))

    # Deliveries between the machines.

    def _distribute_intent(self, intent: Intent) -> None:
        self.clock.call_later(
            self.timings.intent_to_core_s, lambda: self.control.apply_intent(intent)
        )
        for node in self.nodes.values():
            self._schedule_delivery(self.timings.intent_to_node_s, _intent_delivery(node, intent))

    def _distribute_directory(self, directory: Directory) -> None:
        self.directory = directory
        for node in self.nodes.values():
            self._schedule_delivery(
                self.timings.publication_s, _directory_delivery(node, directory)
            )

    def _distribute_members(self) -> None:
        self._members_version += 1
        rows = {node.member: _member_row(node) for node in self.nodes.values() if node.is_up}
        members = Members(self._members_version, rows)
        for node in self.nodes.values():
            node.apply_members(members)

    def _schedule_delivery(self, delay_s: float, action: Callable[[], None]) -> None:
        jitter = self.timings.delivery_jitter
        self.clock.call_later(delay_s * self._random.uniform(1 - jitter, 1 + jitter), action)

    def _join(self, node: VirtualNode) -> None:
        """Apply the newest intent, directory and members to a restarted node."""
        node.apply_intent(self.intent.intent)
        node.apply_directory(self.directory)
        self._distribute_members()

    def _start_reports(self) -> None:
        for index, node in enumerate(self.nodes.values()):
            node.on_urgent_demand = self._send_demand_report
            first_s = DEMAND_INTERVAL_S * (index + 1) / len(self.nodes)
            self.clock.call_later(first_s, self._periodic_reports(node))

    def _periodic_reports(self, node: VirtualNode) -> Callable[[], None]:
        return lambda: self.clock.call_every(
            DEMAND_INTERVAL_S, lambda: self._send_demand_report(node)
        )

    def _send_demand_report(self, node: VirtualNode) -> None:
        if not node.is_up:
            return
        report = node.demand_report()
        self.clock.call_later(self.timings.report_hop_s, lambda: self.control.apply_report(report))

    def _start_platform(self) -> None:
        interval_s = self.scenario.deployment.platform.poll_interval_s
        self.clock.call_every(interval_s, self._poll_nodes)

    def _poll_nodes(self) -> None:
        for name, node in self.nodes.items():
            self._readiness.record_poll(name, node.is_ready)
        ready = [(row.node, row.address) for row in self._readiness.ready_nodes()]
        # On average callers read the platform's list half a poll interval later.
        lag_s = self.scenario.deployment.platform.poll_interval_s / 2
        self.clock.call_later(lag_s, lambda: self.node_picker.replace(ready))

    def _start_callers(self, started_at: float) -> CallersContext:
        scenario = self.scenario
        context = CallersContext(
            clock=self.clock,
            timings=self.timings,
            nodes=self.nodes,
            node_picker=self.node_picker,
            figures=self.figures,
            planner=Planner(scenario.load, scenario.documents, scenario.seed),
            started_at=started_at,
        )
        callers = VirtualCallers(
            context, scenario.load, scenario.seconds, scenario.seed, scenario.rate_factor
        )
        self.clock.call_at(started_at, callers.start)
        return context

    def _run_open_requests(self, callers: CallersContext) -> None:
        end = self.clock.now + OPEN_REQUESTS_LIMIT_S
        while self.clock.now < end and callers.open_conversations:
            self.clock.run_until(self.clock.now + 1.0)

    # Figures of the run.

    def _run_figures(self, wall_s: float, processor_s: float) -> RunFigures:
        stats = [server.stats for server in self.servers.values()]
        moves = MoveFigures(
            loads=sum(count.loads for count in stats),
            unloads=sum(count.unloads for count in stats),
            refused_orders=sum(count.refused_orders for count in stats),
            pulled_bytes=int(sum(store.pulled_bytes for store in self.stores.values())),
            moves=dict(sorted(self.control.completion_counts.items())),
            runs=sum(count.runs for count in stats),
            refusals_by_servers=sum(count.refusals for count in stats),
        )
        return RunFigures(
            routes=self.figures.route_figures(),
            moves=moves,
            servers={
                str(name): {
                    "runs": server.stats.runs,
                    "loads": server.stats.loads,
                    "loaded_bytes": server.stats.loaded_bytes,
                }
                for name, server in self.servers.items()
            },
            virtual_s=self.clock.now,
            wall_s=wall_s,
            processor_s=processor_s,
            series=self.figures.series(),
            interval_s=self.figures.interval_s,
        )


def _intent_delivery(node: VirtualNode, intent: Intent) -> Callable[[], None]:
    return lambda: node.apply_intent(intent)


def _directory_delivery(node: VirtualNode, directory: Directory) -> Callable[[], None]:
    return lambda: node.apply_directory(directory)


def _member_row(node: VirtualNode) -> MemberRow:
    address = Address(str(node.member))
    return MemberRow(node.member, Role.NODE, node.zone, address, address, ready=True)
