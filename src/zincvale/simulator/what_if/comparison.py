"""Runs a what-if scenario without its change and with it."""

from __future__ import annotations

import gc
import multiprocessing
import time
from concurrent.futures import ProcessPoolExecutor

import attrs

from zincvale.simulator.what_if.figures import RunFigures
from zincvale.simulator.what_if.inputs import WhatIfInputs
from zincvale.simulator.what_if.machines import WhatIfScenario
from zincvale.simulator.what_if.report import Comparison
from zincvale.simulator.what_if.run import VirtualFleet

PARALLEL_MIN_SECONDS = 600.0
"""Shortest load, in seconds, for which starting a second process is worthwhile."""
GC_THRESHOLD_OBJECTS = 200_000
"""Allocations minus deallocations after which the garbage collector runs."""


@attrs.frozen
class RunResult:
    """The figures of one run, and the messages of changes that it refused."""

    figures: RunFigures
    refused_changes: tuple[str, ...]


def compare(inputs: WhatIfInputs, jobs: int = 1) -> Comparison:
    """Run the scenario without its change and, if there is one, with it."""
    started_at = time.perf_counter()
    scenarios = [attrs.evolve(inputs.scenario, change=())]
    if inputs.scenario.change:
        scenarios.append(inputs.scenario)
    if jobs > 1 and len(scenarios) > 1 and inputs.scenario.seconds >= PARALLEL_MIN_SECONDS:
        results = _run_in_processes(scenarios)
    else:
        results = [run_scenario(scenario) for scenario in scenarios]
    return Comparison(
        inputs=inputs,
        before=results[0].figures,
        after=results[1].figures if len(results) > 1 else None,
        wall_s=time.perf_counter() - started_at,
        refused_changes=results[-1].refused_changes,
    )


def run_scenario(scenario: WhatIfScenario) -> RunResult:
    """Run a scenario once; equal scenarios give equal figures, except for the times measured."""
    thresholds = gc.get_threshold()
    # Few of the simulation's objects are in reference cycles, so that rare collections suffice.
    gc.set_threshold(GC_THRESHOLD_OBJECTS, *thresholds[1:])
    try:
        fleet = VirtualFleet(scenario)
        figures = fleet.run()
    finally:
        gc.set_threshold(*thresholds)
    return RunResult(figures, tuple(fleet.refused_changes))


def _run_in_processes(scenarios: list[WhatIfScenario]) -> list[RunResult]:
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(scenarios), mp_context=context) as pool:
        return list(pool.map(run_scenario, scenarios))
