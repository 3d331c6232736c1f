"""Reads and checks all inputs of a what-if run before it starts."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs

from zincvale.fleet.run_inputs import RunInputs, read_inputs
from zincvale.fleet.run_options import RunOptions
from zincvale.model.errors import InvalidInputError
from zincvale.simulator.what_if.fault_plan import plan_faults
from zincvale.simulator.what_if.intent import IntentStore, resources_of
from zincvale.simulator.what_if.machines import WhatIfScenario
from zincvale.standins.deployment import read_documents

NEVER_MODELLED = (
    "elections, the loss of a core, what links lose: the explorer's subject; one core leads here",
    "processor time of nodes and back ends: a node takes no longer when it is busy",
    "how fast callers read, and what misbehaving back ends send",
)


@attrs.frozen
class WhatIfInputs:
    """A validated scenario and what it does not model.

    Attributes
    ----------
    scenario : includes the change.
    not_modelled : descriptions of what the figures do not show.
    """

    run: RunInputs
    scenario: WhatIfScenario
    change_file: str
    not_modelled: tuple[str, ...]


def read_what_if(options: RunOptions, change_file: str, apply_at_s: float) -> WhatIfInputs:
    """Return the checked inputs of a run.

    The change is checked against the deployment's intent, by the core's own reducer.

    Raises
    ------
    ZincvaleError
        When an input is invalid: names the file, resource and field, and the remedy.
    """
    run = read_inputs(options)
    if apply_at_s < 0 or apply_at_s > run.options.seconds:
        raise InvalidInputError(
            f"apply-at is {apply_at_s} s", f"give 0 to {run.options.seconds:.0f}, the run's length"
        )
    change = _read_change(run, change_file)
    machine_names = frozenset(machine.name for machine in run.deployment.machines)
    faults = plan_faults(run.steps, machine_names)
    scenario = WhatIfScenario(
        deployment=run.deployment,
        documents=run.documents,
        load=run.load,
        faults=faults,
        seconds=run.options.seconds,
        seed=run.options.seed,
        rate_factor=run.options.rate_factor,
        change=change,
        apply_at_s=apply_at_s,
    )
    not_modelled = (*faults.not_modelled, *NEVER_MODELLED)
    return WhatIfInputs(run, scenario, change_file, not_modelled)


def _read_change(run: RunInputs, change_file: str) -> tuple[dict[str, Any], ...]:
    if not change_file:
        return ()
    path = Path(change_file)
    if not path.is_file():
        raise InvalidInputError(f"no change file {change_file!r}", "name a file of resources")
    change = resources_of(read_documents(path))
    if not change:
        raise InvalidInputError(f"{change_file} holds no resource", "write at least one document")
    intent = IntentStore(lambda intent: None)
    intent.apply(resources_of(run.documents))
    intent.check(change)
    return tuple(change)
