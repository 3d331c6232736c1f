"""Digests of placement: emulated fleets under every load, hollow fleets, and what-if runs."""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs

from tests.golden.decision_log import DecisionLog, calls_observed
from zincvale.controlplane.directory.machine import DirectoryMachine
from zincvale.controlplane.placement.config import PlacementConfig
from zincvale.controlplane.placement.controller import PlacementController
from zincvale.fleet.fault_file import schedule_of
from zincvale.fleet.fault_plan import plan_steps
from zincvale.fleet.fault_targets import inventory_of
from zincvale.fleet.run_options import RunOptions
from zincvale.simulator.placement.emulator import Emulator
from zincvale.simulator.placement.scenarios import (
    LOADS,
    build_arrivals,
    build_events,
    build_fleet,
)
from zincvale.simulator.placement_quality import FLEETS, make_policies
from zincvale.simulator.placement_scale import HollowFleet
from zincvale.simulator.what_if.fault_plan import plan_faults
from zincvale.simulator.what_if.figures import FigureTable
from zincvale.simulator.what_if.inputs import read_what_if
from zincvale.simulator.what_if.machines import WhatIfScenario
from zincvale.simulator.what_if.run import VirtualFleet

EMULATED_S = 300.0
EMULATED_SEED = 5
FAILURE_INTERVAL_S = 100.0
RARE_EVENT_INTERVAL_S = 120.0
"""Intervals between rare events, short enough for several of them within `EMULATED_S`."""
HOLLOW_SIZES = (10, 100)
HOLLOW_S = 5.0
WHAT_IF_S = 9.0
WHAT_IF_FAULTS = (
    {"kind": "kill", "target": "conversation-1", "at_s": 2.0, "for_s": 3.0},
    {"kind": "evacuate", "target": "zone-a", "at_s": 4.0},
)


@contextlib.contextmanager
def _effects_recorded(log: DecisionLog, *machines: Any) -> Any:
    """Record every effect that machines of these classes return, with the machine's time."""
    with contextlib.ExitStack() as stack:
        for machine in machines:
            stack.enter_context(_handle_recorded(log, machine))
        yield


@contextlib.contextmanager
def _handle_recorded(log: DecisionLog, machine: Any) -> Any:
    handle = machine.handle

    def recording_handle(self: Any, event: Any, now: float) -> Any:
        effects = list(handle(self, event, now))
        for effect in effects:
            log.effect(effect, now)
        return effects

    machine.handle = recording_handle
    try:
        yield
    finally:
        machine.handle = handle


def _shortened_load(name: str) -> Any:
    """Return a load whose rare events are frequent enough to occur within the short run."""
    load = LOADS[name]
    return attrs.evolve(
        load,
        day_s=EMULATED_S,
        failure_interval_s=FAILURE_INTERVAL_S if load.failure_interval_s else 0.0,
        crowd_interval_s=RARE_EVENT_INTERVAL_S if load.crowd_interval_s else 0.0,
        rare_interval_s=RARE_EVENT_INTERVAL_S if load.rare_interval_s else 0.0,
    )


def emulated_digest(shape_name: str, load_name: str, policy: str) -> str:
    log = DecisionLog()
    load = _shortened_load(load_name)
    fleet = build_fleet(FLEETS[shape_name], EMULATED_SEED)
    arrivals = build_arrivals(fleet, load, EMULATED_S, EMULATED_SEED + 1)
    events = build_events(fleet, load, EMULATED_S, EMULATED_SEED + 2)
    log.add("scenario", fleet.items, fleet.stores, arrivals, events)
    config = PlacementConfig(day_s=load.day_s)
    with _effects_recorded(log, PlacementController):
        placed = make_policies(EMULATED_SEED, config)[policy](fleet)
        log.add("outcome", Emulator(fleet, arrivals, events).run(placed, EMULATED_S))
    log.add("journal", fleet.journal)
    return log.digest()


def hollow_digest(servers: int) -> str:
    log = DecisionLog()
    with _effects_recorded(log, PlacementController):
        fleet = HollowFleet(servers, seed=1)
        fleet.start()
        fleet.run(HOLLOW_S)
    log.add("orders", fleet.orders)
    return log.digest()


def _scenario(seed: int, faults: tuple[dict[str, Any], ...] = ()) -> WhatIfScenario:
    options = RunOptions("nilebridge", "steady", seconds=WHAT_IF_S, seed=seed)
    scenario = read_what_if(options, "", 0.0).scenario
    steps = plan_steps(
        schedule_of({"faults": list(faults)}, "test"), inventory_of(scenario.deployment), seed
    )
    return attrs.evolve(scenario, faults=plan_faults(steps, frozenset())) if faults else scenario


def what_if_digest(scenario: Callable[[], WhatIfScenario]) -> str:
    log = DecisionLog()

    def add_completed(table: FigureTable, row: Any) -> None:
        log.add("request", row)

    with (
        _effects_recorded(log, PlacementController, DirectoryMachine),
        calls_observed(FigureTable, FigureTable.add_completed, add_completed),
    ):
        figures = VirtualFleet(scenario()).run()
    routes = [[name, route] for name, route in figures.routes.items()]
    log.add("figures", routes, figures.moves, figures.virtual_s, list(figures.series.values()))
    log.add("servers", [[name, list(row.values())] for name, row in figures.servers.items()])
    return log.digest()


def _scenario_with_change() -> WhatIfScenario:
    change = ({"kind": "Server", "name": "overnight-1", "spec": {"drained": True}},)
    return attrs.evolve(_scenario(2), change=change, apply_at_s=3.0)


PLACEMENT_RUNS = {
    f"{shape} {load} {policy}": partial(emulated_digest, shape, load, policy)
    for shape in FLEETS
    for load in LOADS
    for policy in make_policies(EMULATED_SEED, PlacementConfig())
}
HOLLOW_RUNS = {str(servers): partial(hollow_digest, servers) for servers in HOLLOW_SIZES}
WHAT_IF_RUNS = {
    "plain": partial(what_if_digest, partial(_scenario, 1)),
    "changed": partial(what_if_digest, _scenario_with_change),
    "faults": partial(what_if_digest, partial(_scenario, 3, WHAT_IF_FAULTS)),
}
