"""Checks the invariants of a run from its journals, without the running fleet."""

from __future__ import annotations

from pathlib import Path

import attrs

from zincvale.fleet.expectations import expectations_of, include_added_machines
from zincvale.fleet.invariants import CheckResult, Evidence, check_all, read_journals
from zincvale.fleet.invariants.rows import LoadStarted, MachineAdded
from zincvale.fleet.rig_journal import RIG_JOURNAL
from zincvale.model.errors import InvalidInputError
from zincvale.model.resources import Document
from zincvale.standins.deployment import Deployment


@attrs.frozen
class InvariantReport:
    """The evidence in the journals of a run, and the results of the checks.

    Attributes
    ----------
    load_started_t : zero point of the report's time axis, in seconds on the journals' clock.
    """

    evidence: Evidence
    checks: list[CheckResult]
    load_started_t: float


def check_journals(
    journals: Path, deployment: Deployment, documents: list[Document]
) -> InvariantReport:
    """Check the journals in a folder against what the deployment promises.

    Raises
    ------
    InvalidInputError
        The folder contains no journal of the rig.
    """
    if not (journals / RIG_JOURNAL).is_file():
        raise InvalidInputError(
            f"{journals} has no {RIG_JOURNAL}",
            "name the journals folder of a run that was kept with --keep-folder",
        )
    expectations = expectations_of(deployment, documents)
    evidence = read_journals(journals, expectations)
    include_added_machines(expectations, evidence.rows_of(MachineAdded))
    started = evidence.rows_of(LoadStarted)
    load_started_t = started[-1].t if started else evidence.start_t()
    return InvariantReport(evidence, check_all(evidence), load_started_t)
