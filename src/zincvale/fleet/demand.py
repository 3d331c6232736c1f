"""The load of a run: a load file, with the changes of demand in the fault file."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

from zincvale.fleet.fault_file import FaultSchedule
from zincvale.fleet.fault_kinds import CrowdFault, PopularityShiftFault, RareModelsFault
from zincvale.model.errors import InvalidInputError
from zincvale.standins.deployment import LOADS_FOLDER
from zincvale.standins.load.spec import Crowd, LoadSpec, RareModels, load_load_spec

LOAD_SUFFIX = ".yaml"


def find_load(deployment_folder: Path, reference: str) -> Path:
    """Return the load file of that path, or of that name in the deployment.

    Raises
    ------
    InvalidInputError
        There is no such load; the remedy lists the loads of the deployment.
    """
    path = Path(reference)
    if path.is_file():
        return path
    folder = deployment_folder / LOADS_FOLDER
    named = folder / f"{reference}{LOAD_SUFFIX}"
    if named.is_file():
        return named
    known = sorted(item.stem for item in folder.glob(f"*{LOAD_SUFFIX}"))
    raise InvalidInputError(f"no load {reference!r}", f"name a file, or one of: {', '.join(known)}")


def load_with_faults(path: Path, schedule: FaultSchedule, seconds: float) -> LoadSpec:
    """Return the load in `path` with the changes of demand of a fault schedule."""
    spec = load_load_spec(path)
    crowds, shifts, bursts = [], [], []
    for fault in schedule.faults:
        lasts_s = fault.for_s or max(0.0, seconds - fault.at_s)
        match fault:
            case CrowdFault(factor=factor, callers=callers):
                crowds.append(Crowd(fault.at_s, lasts_s, factor, list(callers)))
            case PopularityShiftFault():
                shifts.append(fault.at_s)
            case RareModelsFault(caller=caller, rate_per_second=rate, tail_share=share):
                bursts.append(RareModels(fault.at_s, lasts_s, caller, rate, share))
    for name in [*(n for crowd in crowds for n in crowd.callers), *(b.caller for b in bursts)]:
        spec.caller(name)
    popularity = replace(
        spec.popularity, shifts_at_s=sorted([*spec.popularity.shifts_at_s, *shifts])
    )
    return replace(
        spec,
        crowds=[*spec.crowds, *crowds],
        rare_models=[*spec.rare_models, *bursts],
        popularity=popularity,
    )
