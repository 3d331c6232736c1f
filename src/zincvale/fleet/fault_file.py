"""Fault files: the faults of a run and their times.

A file is `{description, faults: [...]}`; each fault has `at_s` (seconds after the load began) and
`kind`, and the fields of its kind. Targets are selectors (`fault_targets`).
"""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from dataclasses import dataclass, field
from importlib import resources
from pathlib import Path
from typing import Any

import yaml

from zincvale.fleet.fault_kinds import FAULT_BY_KIND, Fault
from zincvale.model.checked import Checked, read_checked
from zincvale.model.errors import InvalidInputError

LIBRARY = "faults"
FILE_SUFFIX = ".yaml"
DEFAULT_SECONDS = 30.0


@dataclass
class FaultFile(Checked):
    """A fault file as written; its faults are read by kind.

    `seconds` is the duration of a run whose options give none.
    """

    description: str = ""
    seconds: float = DEFAULT_SECONDS
    faults: list[dict[str, Any]] = field(default_factory=list)


@dataclass
class FaultSchedule:
    """The checked faults of one run, sorted by time."""

    name: str
    description: str
    seconds: float
    faults: list[Fault]


def read_faults(reference: str) -> FaultSchedule:
    """Return the faults of a file, or of the built-in file of that name; empty means none.

    Raises
    ------
    InvalidInputError
        The file does not exist or is invalid; the error names the fault and the remedy.
    """
    if not reference:
        return FaultSchedule("none", "no faults", DEFAULT_SECONDS, [])
    text = _read_text(reference)
    try:
        data = yaml.safe_load(text) or {}
    except yaml.YAMLError as error:
        raise InvalidInputError(
            f"fault file {reference} is not valid YAML: {error}", "correct the file"
        ) from error
    return schedule_of(data, reference)


def schedule_of(data: object, where: str) -> FaultSchedule:
    """Return the checked faults in the decoded content of a fault file."""
    file = read_checked(FaultFile, data, where)
    faults = [_read_fault(item, f"{where}: fault {n}") for n, item in enumerate(file.faults, 1)]
    faults.sort(key=lambda fault: fault.at_s)
    return FaultSchedule(Path(where).stem, file.description, file.seconds, faults)


def built_in_files() -> list[str]:
    """Return the names of the fault files in the package."""
    folder = resources.files("zincvale.fleet") / LIBRARY
    names = [item.name for item in folder.iterdir() if item.name.endswith(FILE_SUFFIX)]
    return sorted(name.removesuffix(FILE_SUFFIX) for name in names)


def _read_fault(item: Mapping[str, Any], where: str) -> Fault:
    kind = str(item.get("kind", ""))
    fault_class = FAULT_BY_KIND.get(kind)
    if fault_class is None:
        nearest = difflib.get_close_matches(kind, FAULT_BY_KIND, n=1)
        remedy = f"did you mean {nearest[0]!r}?" if nearest else f"use {', '.join(FAULT_BY_KIND)}"
        raise InvalidInputError(f"{where}: unknown kind {kind!r}", remedy)
    fault = read_checked(fault_class, item, f"{where} ({kind})")
    if fault.at_s < 0 or fault.for_s < 0:
        raise InvalidInputError(f"{where} ({kind}): a time is negative", "give 0 s or more")
    return fault


def _read_text(reference: str) -> str:
    path = Path(reference)
    if path.is_file():
        return path.read_text(encoding="utf-8")
    ready = built_in_files()
    if reference in ready:
        library = resources.files("zincvale.fleet") / LIBRARY
        return (library / f"{reference}{FILE_SUFFIX}").read_text(encoding="utf-8")
    raise InvalidInputError(
        f"no fault file {reference!r}", f"name a file, or one of: {', '.join(ready)}"
    )
