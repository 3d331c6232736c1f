"""The inputs of a run, which are read and checked before any process starts."""

from __future__ import annotations

from pathlib import Path

import attrs

from zincvale.fleet.demand import find_load, load_with_faults
from zincvale.fleet.fault_file import FaultSchedule, read_faults
from zincvale.fleet.fault_plan import Step, plan_steps
from zincvale.fleet.fault_targets import inventory_of
from zincvale.fleet.run_options import RunOptions, find_deployment
from zincvale.model.resources import Document
from zincvale.standins.deployment import Deployment, load_deployment, load_intent
from zincvale.standins.load.spec import LoadSpec


@attrs.frozen
class RunInputs:
    """The checked inputs of a run; `load` includes the demand that the faults add."""

    options: RunOptions
    folder: Path
    deployment: Deployment
    documents: list[Document]
    schedule: FaultSchedule
    steps: list[Step]
    load: LoadSpec


def read_inputs(options: RunOptions) -> RunInputs:
    """Return the checked inputs of a run; raises `InvalidInputError`."""
    options.check()
    folder = find_deployment(options.deployment)
    deployment = load_deployment(folder)
    if options.network:
        deployment = deployment.moved_to(options.network)
    documents = load_intent(folder, deployment)
    schedule = read_faults(options.faults)
    options = attrs.evolve(options, seconds=options.seconds or schedule.seconds)
    steps = plan_steps(schedule, inventory_of(deployment), options.seed)
    load_file = find_load(folder, options.load)
    load = load_with_faults(load_file, schedule, options.seconds)
    return RunInputs(options, folder, deployment, documents, schedule, steps, load)
