"""Invariant checks: pure functions over the journals of a run, one module per invariant.

The journals are those of the stand-ins (what really ran, was sent and was received) and of the rig
(faults, and reads as an operator or caller would make them). The daemons' own claims are not used.

It imports `zincvale.model` and no other part of the rig. Read `rows` (the journals' events),
`journals`, `evidence` and `findings`, then `operations` and `outages`, which join rows into orders
and intervals, then any check: each check module defines the number and title of its invariant and
one function `check`.
"""

from __future__ import annotations

from collections.abc import Callable

from zincvale.fleet.invariants import (
    at_most_once,
    changes,
    drains,
    in_force,
    limits,
    refusals,
    repair,
    responses,
    restarts,
    streams,
    unresponsive_control,
)
from zincvale.fleet.invariants.evidence import Evidence, Expectations
from zincvale.fleet.invariants.findings import Breach, CheckResult
from zincvale.fleet.invariants.journals import read_journals

CHECKS: tuple[Callable[[Evidence], CheckResult], ...] = (
    at_most_once.check,
    refusals.check,
    responses.check,
    streams.check,
    changes.check,
    in_force.check,
    drains.check,
    unresponsive_control.check,
    repair.check,
    restarts.check,
    limits.check,
)
"""The checks of all eleven invariants, in the order of their numbers."""


def check_all(evidence: Evidence) -> list[CheckResult]:
    """Run every check on the evidence of a run and return the results, in the same order."""
    return [check(evidence) for check in CHECKS]


__all__ = [
    "CHECKS",
    "Breach",
    "CheckResult",
    "Evidence",
    "Expectations",
    "check_all",
    "read_journals",
]
